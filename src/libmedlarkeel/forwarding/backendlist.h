#pragma once

#include "../settings.h"
#include "../types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace medlarkeel {

/** Names one life of a backend server's process: another process under the
 * same id or at the same address has another one. */
using BootHash = std::uint32_t;

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
  /** Requests that the server works on at once; 0 when it isn't known. */
  std::uint32_t mSlots = 0;
  /** Wall clock time at which the process started, if it says so. */
  std::optional<Milliseconds> mStartedAt;
  /** Version of the entry in the list. */
  std::uint64_t mRevision = 0;
};

/** @return The life of a process that an entry stands for. */
BootHash
BootOf(const BackendEntry& aEntry);

/** A backend server as this process knows it. */
struct ListedBackend
{
  BackendEntry mEntry;
  BootHash mBoot = 0;
  /** Of what the entry says, but for its age. */
  std::uint64_t mDigest = 0;
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

  /** @return A digest of what the list says of one server; 0 when it isn't
   * listed. */
  std::uint64_t DigestOf(const InstanceId& aId) const;

  /** Removes all but the listed ones. @return Those that were affected. */
  std::vector<std::pair<InstanceId, BackendChange>> KeepOnly(
    const std::set<InstanceId>& aListed,
    std::uint64_t aRevision,
    Timestamp aNow);

  /**
   * Notes that the list can be read again after a time without contact.
   *
   * @param aHold How long missing entries are kept from now on.
   * @param aMostDelay How long after its removal was published an entry is
   * kept at most.
   */
  void RecordRegained(Timestamp aNow,
                      Microseconds aHold,
                      Microseconds aMostDelay);

  /** Removes entries whose delay is over. @return The ids removed. */
  std::vector<InstanceId> RemoveExpired(Timestamp aNow);

  /** Sets which availability zones get no work. */
  void SetEvacuated(const ZoneName& aZone, bool aIsEvacuated);

  const std::set<ZoneName>& EvacuatedZones() const { return mEvacuated; }

  /** Notes that another process answers at the server's address. */
  void RecordMisdirected(const InstanceId& aId);

  /**
   * Notes that a server said in an answer that it is shutting down. This holds
   * for the rest of its life, also when its entry lapses and comes back.
   *
   * @return Whether this is new.
   */
  bool RecordLeaving(BootHash aBoot);

  /** Notes servers that another entry heard this of; holds for a while. */
  void RecordToldLeaving(const std::vector<BootHash>& aBoots, Timestamp aNow);

  /** @return Listed servers that told this entry that they are shutting down
   * while their entries don't say so. */
  std::vector<BootHash> LeavingBoots() const;

  /** @return The servers of a pool that may get new work. */
  std::vector<const ListedBackend*> Usable(const PoolName& aPool,
                                           Timestamp aNow) const;

  /** @return A digest of what the list says, but for the age of its entries;
   * the same at all processes that know the same. */
  std::uint64_t Digest() const;

  /** @return The server, or nothing when it isn't listed. */
  const ListedBackend* Find(const InstanceId& aId) const;

  std::size_t size() const { return mBackends.size(); }

private:
  using BackendMap = std::map<InstanceId, ListedBackend>;

  /** Removes a server now, or at a later time. */
  BackendChange RemoveAt(BackendMap::iterator aPlace,
                         std::uint64_t aRevision,
                         Timestamp aNow,
                         Timestamp aRemoveAt);

  BackendMap mBackends;
  std::map<InstanceId, std::uint64_t> mRemovedRevisions;
  std::set<ZoneName> mEvacuated;
  std::set<InstanceId> mMisdirected;
  std::unordered_set<BootHash> mLeaving;
  /** Until when what other entries told holds. */
  std::unordered_map<BootHash, Timestamp> mToldLeaving;
  Timestamp mHoldUntil;
  Microseconds mMostDelay{ 0 };
};

} // namespace medlarkeel
