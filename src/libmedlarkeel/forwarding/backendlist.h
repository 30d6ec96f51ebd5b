#pragma once

#include "../settings.h"
#include "../types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarkeel {

/** What a backend server says of itself in the platform's list. */
struct BackendEntry
{
  InstanceId mId;
  PoolName mPool;
  Endpoint mEndpoint;
  ZoneName mZone;
  bool mIsDraining = false;
  /** How much longer the backend server is cold, when the entry was read. */
  Milliseconds mColdRemaining{ 0 };
  /** Wall clock time at which the process started, if it says so. */
  std::optional<Milliseconds> mStartedAt;
  /** Version of the entry in the list. */
  std::uint64_t mRevision = 0;
};

/** A backend server as this process knows it. */
struct ListedBackend
{
  BackendEntry mEntry;
  /** The server is cold before this time. */
  Timestamp mColdUntil;
  /** The server is taken off the list at this time unless it reappears. */
  std::optional<Timestamp> mRemoveAt;
};

/** Differences that a change of the list made. */
enum class BackendChange
{
  None,
  Refreshed,
  Added,
  Restarted,
  Draining,
  Removed,
  RemovalDelayed
};

/**
 * The platform's list of backend servers as last read. Entries that are
 * missing shortly after the list was out of reach are kept for a while: their
 * leases may have run out only because the list was down.
 */
class BackendList
{
public:
  /** Takes over an entry. An older revision than the known one is ignored. */
  BackendChange Put(const BackendEntry& aEntry, Timestamp aNow);

  /**
   * Takes a removal over.
   *
   * @param aRevision Revision of the removal; 0 when it isn't known.
   */
  BackendChange Remove(const InstanceId& aId,
                       std::uint64_t aRevision,
                       Timestamp aNow);

  /** Removes all but the listed ones. @return Those that were affected. */
  std::vector<std::pair<InstanceId, BackendChange>> KeepOnly(
    const std::set<InstanceId>& aListed,
    std::uint64_t aRevision,
    Timestamp aNow);

  /**
   * Notes that the list can be read again after a time without contact.
   *
   * @param aHold How long missing entries are kept from now on.
   */
  void RecordRegained(Timestamp aNow, Microseconds aHold);

  /** Removes entries whose delay is over. @return The ids removed. */
  std::vector<InstanceId> RemoveExpired(Timestamp aNow);

  /** Sets which availability zones get no work. */
  void SetEvacuated(const ZoneName& aZone, bool aIsEvacuated);

  const std::set<ZoneName>& EvacuatedZones() const { return mEvacuated; }

  /** Notes that another process answers at the server's address. */
  void RecordMisdirected(const InstanceId& aId);

  /** @return The servers of a pool that may get new work. */
  std::vector<const ListedBackend*> Usable(const PoolName& aPool) const;

  /** @return A digest of what the list says, but for the age of its entries;
   * the same at all processes that know the same. */
  std::uint64_t Digest() const;

  /** @return The server, or nothing when it isn't listed. */
  const ListedBackend* Find(const InstanceId& aId) const;

  std::size_t size() const { return mBackends.size(); }

private:
  std::map<InstanceId, ListedBackend> mBackends;
  std::map<InstanceId, std::uint64_t> mRemovedRevisions;
  std::set<ZoneName> mEvacuated;
  std::set<InstanceId> mMisdirected;
  Timestamp mHoldUntil;
};

} // namespace medlarkeel
