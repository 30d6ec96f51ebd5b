#pragma once

#include "../settings.h"
#include "../types.h"
#include "restoreguard.h"
#include "serverexclusion.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace medlarkeel {

/** A backend server's own description in the platform's list. */
struct BackendEntry
{
  InstanceId mId;
  PoolName mPool;
  Endpoint mEndpoint;
  ZoneName mZone;
  bool mIsDraining = false;
  /** Time for which the backend server is still cold when the entry is read. */
  Milliseconds mColdRemaining{ 0 };
  /** Number of requests that the server processes concurrently; 0 when it isn't
   * known. */
  std::uint32_t mSlots = 0;
  /** Wall clock time at which the process started, if the entry has it. */
  std::optional<Milliseconds> mStartedAt;
  /** Position of the list in which the entry last changed. */
  DirectoryPosition mPosition;
};

/** @return Hash of the process that the entry describes. */
ProcessHash
ProcessHashOf(const BackendEntry& aEntry);

/** A backend server in the list, with the state that this process adds. */
struct ListedBackend
{
  BackendEntry mEntry;
  ProcessHash mProcessHash = 0;
  /** Digest of the id, the endpoint, the start time, whether the server is
   * draining or cold, and mColdExtendedAt. */
  std::uint64_t mDigest = 0;
  /** The server is cold before this time. */
  Timestamp mColdUntil;
  /** Position of the last entry of the era that extended the cold time; not
   * known when the server isn't cold. */
  DirectoryPosition mColdExtendedAt;
  /** Time at which the server is removed from the list unless its entry
   * reappears. */
  std::optional<Timestamp> mRemoveAt;
};

/** A server of a pool, and why it gets no new requests if it gets none. */
struct PoolServer
{
  const ListedBackend* mServer = nullptr;
  std::optional<ServerExclusion> mExclusion;
};

/** Effect of a change of the list on one backend server. */
enum class BackendChange
{
  None,
  Refreshed,
  Added,
  Restarted,
  Draining,
  /** A cold server is cold for longer than its earlier entry said. */
  ColdExtended,
  /** The server is listed as ready by a copy of the list, and was withdrawn
   * before the list was restored from it. */
  Withheld,
  Removed,
  RemovalDelayed
};

/**
 * The platform's list of backend servers as last read. Entries that are missing
 * shortly after an outage of the list are kept for a grace period, since their
 * leases may have expired only because of the outage.
 */
class BackendList
{
public:
  /** Adds or updates an entry. It is ignored if it is older than the known
   * entry or not newer than the removal of its id. */
  BackendChange Put(const BackendEntry& aEntry, Timestamp aNow);

  /**
   * Removes an entry, or schedules its removal during the grace period.
   *
   * @param aPosition Position of the removal.
   */
  BackendChange Remove(const InstanceId& aId,
                       const DirectoryPosition& aPosition,
                       Timestamp aNow);

  /** @return A digest of a server's entry; 0 when it isn't listed. */
  std::uint64_t DigestOf(const InstanceId& aId) const;

  /**
   * Removes all servers that aren't listed, or schedules their removal during
   * the grace period. Entries that are later than the list stay.
   *
   * @param aPosition Position of the list that was read.
   * @return The affected servers.
   */
  std::vector<std::pair<InstanceId, BackendChange>> RemoveUnlisted(
    const std::set<InstanceId>& aListed,
    const DirectoryPosition& aPosition,
    Timestamp aNow);

  /**
   * Begins a new era, in which the list was restored from an older copy; see
   * RestoreGuard::Begin().
   */
  void BeginEra(const DirectoryPosition& aBase,
                Timestamp aHoldUntil,
                Timestamp aNow)
  {
    mGuard.Begin(aBase, aHoldUntil, aNow);
  }

  /** Ends the time earlier in which withdrawn items are withheld. */
  void ShortenHold(Timestamp aHoldUntil) { mGuard.ShortenHold(aHoldUntil); }

  /**
   * Starts the grace period after an outage of the list.
   *
   * @param aGracePeriod Time from now on for which missing entries are kept.
   * @param aMaximumDelay Maximum time for which an entry is kept after its
   * removal was published.
   */
  void StartGracePeriod(Timestamp aNow,
                        Microseconds aGracePeriod,
                        Microseconds aMaximumDelay);

  /** Removes entries whose delayed removal is due. @return The removed ids. */
  std::vector<InstanceId> RemoveExpired(Timestamp aNow);

  /**
   * Sets whether an availability zone is listed as evacuated; servers in
   * evacuated zones get no requests.
   *
   * @param aPosition Position of the change; its revision is 0 when it isn't
   * known.
   */
  void SetEvacuated(const ZoneName& aZone,
                    bool aIsEvacuated,
                    const DirectoryPosition& aPosition = {},
                    Timestamp aNow = {});

  /** @return The zones that are listed as evacuated, with the positions of
   * their evacuations. */
  const std::map<ZoneName, DirectoryPosition>& EvacuatedZones() const
  {
    return mEvacuated;
  }

  /** @return Whether an availability zone's evacuation is in force. */
  bool IsEvacuated(const ZoneName& aZone, Timestamp aNow) const
  {
    return mGuard.IsEvacuated(aZone, mEvacuated.count(aZone) != 0, aNow);
  }

  /** @return Whether, since a restore, the list's next entries of a server
   * decide whether it is used. Other entries don't relay them, since they
   * change nothing there. */
  bool HasUndecidedServers(Timestamp aNow) const;

  /** Records that another process responds at the server's address. */
  void RecordMisdirected(const InstanceId& aId);

  /**
   * Records that a server announced its shutdown in an answer. This applies as
   * long as the process runs, even if its entry expires and reappears.
   *
   * @return Whether this wasn't known before.
   */
  bool RecordShuttingDown(ProcessHash aProcess);

  /** Records servers that announced their shutdown to another entry. The record
   * expires unless it is repeated. */
  void RecordShuttingDownByPeer(const std::vector<ProcessHash>& aProcesses,
                                Timestamp aNow);

  /** @return Listed servers that announced their shutdown to this process and
   * whose entries in the list don't show it yet. */
  std::vector<ProcessHash> ShuttingDownProcesses() const;

  /** @return The servers of a pool that may get new requests. */
  std::vector<const ListedBackend*> Usable(const PoolName& aPool,
                                           Timestamp aNow) const;

  /** @return All servers of a pool, in the order of Usable(). */
  std::vector<PoolServer> InPool(const PoolName& aPool, Timestamp aNow) const;

  /** @return A digest of the servers' digests and the evacuated zones. It is
   * independent of revisions and thus equal in all processes that know the same
   * state. */
  std::uint64_t Digest() const;

  /** @return The server; null when it isn't listed. */
  const ListedBackend* Find(const InstanceId& aId) const;

  /** @return The server with that process; null when it isn't listed. */
  const ListedBackend* FindProcess(ProcessHash aProcess) const;

  std::size_t size() const { return mBackends.size(); }

private:
  using BackendMap = std::map<InstanceId, ListedBackend>;

  /** Removes a server, or schedules its removal if aRemoveAt is in the future
   * and the server isn't draining. */
  BackendChange RemoveOrSchedule(BackendMap::iterator aPlace,
                                 const DirectoryPosition& aPosition,
                                 Timestamp aNow,
                                 Timestamp aRemoveAt);
  /** @return Why a listed server gets no new requests; nothing if it may. */
  std::optional<ServerExclusion> ExclusionOf(const ListedBackend& aBackend,
                                             Timestamp aNow) const;
  bool IsShuttingDown(ProcessHash aProcess, Timestamp aNow) const;
  void RecordState(const BackendEntry& aEntry,
                   ProcessHash aProcess,
                   Timestamp aNow);

  BackendMap mBackends;
  RestoreGuard mGuard;
  std::map<InstanceId, DirectoryPosition> mRemovedAt;
  std::map<ZoneName, DirectoryPosition> mEvacuated;
  std::set<InstanceId> mMisdirected;
  std::unordered_set<ProcessHash> mShuttingDown;
  /** Expiry times of what other entries reported. */
  std::unordered_map<ProcessHash, Timestamp> mShuttingDownByPeer;
  Timestamp mGracePeriodEnd;
  Microseconds mMaximumRemovalDelay{ 0 };
};

} // namespace medlarkeel
