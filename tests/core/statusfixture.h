#pragma once

#include "nodestatus.h"

#include <string>

namespace medlarkeel {

/** @return The status of an entry at which all classes met their level. */
inline NodeStatus
EntryStatus(const std::string& aId)
{
  NodeStatus status;
  status.mId = InstanceId(aId);
  status.mZone = ZoneName("xela-a");
  status.mRegion = RegionName("gt-occidente");
  status.mIncarnation = { 7 };
  status.mUptime = Milliseconds(60000);
  status.mDocument = { { 3, 42, "abcd" }, Milliseconds(1500), std::nullopt };
  status.mZones = { { status.mZone, status.mRegion, ZoneState::In } };
  ClassStatus confirmation{ ClassName("confirmation"), { 0 }, 0.97, {} };
  confirmation.mCounters = { 100, 98, 0, 0, { { "shed", 2 } } };
  ClassStatus draft{ ClassName("draft"), { 2 }, 0.9, {} };
  draft.mCounters = { 200, 190, 9000, 1000, {} };
  ClassStatus bulk{ ClassName("bulk"), { 6 }, 0.5, {} };
  status.mClasses = { confirmation, draft, bulk };
  status.mTeams = { { TeamName("market"), { 200, 195, 210, 5, 0 } },
                    { TeamName("families"), { 100, 93, 100, 0, 0 } } };
  status.mZoneChanges = { { status.mZone, ZoneState::Out, 5000, 2 },
                          { status.mZone, ZoneState::In, 9000, 3 } };
  return status;
}

} // namespace medlarkeel
