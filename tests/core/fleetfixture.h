#pragma once

#include "environmentdocument.h"
#include "fleetview.h"
#include "instancelist.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarkeel {

/** Sizes of a fleet that is spread evenly over regions and zones. */
struct FleetSize
{
  std::size_t mRegions = 1;
  std::size_t mZonesPerRegion = 3;
  std::size_t mEntries = 3;
  std::size_t mAgents = 12;
  std::size_t mPools = 1;
};

inline ZoneName
ZoneAt(const FleetSize& aSize, std::size_t aIndex)
{
  const std::size_t zones = aSize.mRegions * aSize.mZonesPerRegion;
  return ZoneName("zone-" + std::to_string(aIndex % zones));
}

inline RegionName
RegionAt(const FleetSize& aSize, std::size_t aIndex)
{
  const std::size_t zones = aSize.mRegions * aSize.mZonesPerRegion;
  return RegionName("region-" +
                    std::to_string(aIndex % zones / aSize.mZonesPerRegion));
}

inline PoolName
PoolAt(std::size_t aIndex)
{
  return PoolName("pool-" + std::to_string(aIndex));
}

/** @return A list with the fleet's entries and agents, all live. */
inline InstanceList
MakeFleet(const FleetSize& aSize, std::uint64_t aRevision)
{
  const std::size_t zones = aSize.mRegions * aSize.mZonesPerRegion;
  InstanceList list;
  list.mRevision = aRevision;
  for (std::size_t index = 0; index < aSize.mEntries; ++index) {
    InstanceRecord record;
    record.mId = InstanceId("entry-" + std::to_string(index));
    record.mZone = ZoneAt(aSize, index);
    record.mRegion = RegionAt(aSize, index);
    list.mInstances.push_back(record);
  }
  for (std::size_t index = 0; index < aSize.mAgents; ++index) {
    InstanceRecord record;
    record.mId = InstanceId("agent-" + std::to_string(index));
    record.mRole = InstanceRole::Agent;
    record.mZone = ZoneAt(aSize, index);
    record.mRegion = RegionAt(aSize, index);
    record.mAddress = "10.0.0.1:" + std::to_string(20000 + index);
    record.mPool = PoolAt(index / zones % aSize.mPools);
    list.mInstances.push_back(record);
  }
  return list;
}

/** @return All zones of the fleet, in service. */
inline std::vector<ZoneEntry>
MakeZones(const FleetSize& aSize)
{
  std::vector<ZoneEntry> zones;
  const std::size_t count = aSize.mRegions * aSize.mZonesPerRegion;
  for (std::size_t index = 0; index < count; ++index) {
    zones.push_back(
      { ZoneAt(aSize, index), RegionAt(aSize, index), ZoneState::In });
  }
  return zones;
}

/** @return Settings of the fleet's entry with the given index. */
inline FleetViewSettings
SettingsOfEntry(const FleetSize& aSize, std::size_t aIndex)
{
  FleetViewSettings settings;
  settings.mSelf = InstanceId("entry-" + std::to_string(aIndex));
  settings.mZone = ZoneAt(aSize, aIndex);
  settings.mRegion = RegionAt(aSize, aIndex);
  return settings;
}

} // namespace medlarkeel
