#include "backendlist.h"

#include "../rendezvous.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Maximum number of removed ids whose positions are stored, to ignore older
 * entries that arrive late. */
constexpr std::size_t kMaximumRemovedIds = 1024;

/** Maximum number of processes that are stored as shutting down. */
constexpr std::size_t kMaximumShuttingDown = 4096;

/** Time after which a shutdown that another entry reported expires. The entry
 * repeats it in each report while the server is listed, and reports may be lost
 * for seconds. */
constexpr Microseconds kMaximumPeerReportAge = std::chrono::seconds(10);

bool
IsRestart(const BackendEntry& aBefore, const BackendEntry& aAfter)
{
  return aBefore.mStartedAt != aAfter.mStartedAt ||
         aBefore.mEndpoint.mAddress != aAfter.mEndpoint.mAddress ||
         aBefore.mEndpoint.mPort != aAfter.mEndpoint.mPort;
}

/** @return Whether a new entry extends the cold time. Its end is compared with
 * a tolerance, since entries are read with varying delays. */
bool
ExtendsColdTime(const ListedBackend& aKnown,
                const BackendEntry& aEntry,
                Timestamp aNow)
{
  constexpr Milliseconds kReadDelays{ 1000 };
  const Milliseconds before = aKnown.mEntry.mColdRemaining;
  const Milliseconds after = aEntry.mColdRemaining;
  const bool isNewer = aEntry.mPosition.IsAfter(aKnown.mEntry.mPosition);
  return isNewer && before.count() > 0 && after.count() > 0 &&
         (after > before || aNow + after > aKnown.mColdUntil + kReadDelays);
}

std::uint64_t
EntryDigest(const BackendEntry& aEntry,
            const DirectoryPosition& aColdExtendedAt)
{
  const auto start = static_cast<std::uint64_t>(
    aEntry.mStartedAt.value_or(Milliseconds(0)).count());
  const std::uint64_t state = (aEntry.mIsDraining ? 1U : 0U) +
                              (aEntry.mColdRemaining.count() > 0 ? 2U : 0U);
  const std::string name = aEntry.mId.Text() + EndpointText(aEntry.mEndpoint);
  const std::uint64_t digest = HashText(name, start + state);
  return aColdExtendedAt.IsKnown()
           ? HashText(name, digest + aColdExtendedAt.mRevision)
           : digest;
}

} // namespace

ProcessHash
ProcessHashOf(const BackendEntry& aEntry)
{
  const auto start = static_cast<std::uint64_t>(
    aEntry.mStartedAt.value_or(Milliseconds(0)).count());
  return static_cast<ProcessHash>(
    HashText(aEntry.mId.Text() + EndpointText(aEntry.mEndpoint), start));
}

BackendChange
BackendList::Put(const BackendEntry& aEntry, Timestamp aNow)
{
  const auto removed = mRemovedAt.find(aEntry.mId);
  if (removed != mRemovedAt.end() &&
      aEntry.mPosition.IsAtMost(removed->second)) {
    return BackendChange::None;
  }
  const auto found = mBackends.find(aEntry.mId);
  if (found != mBackends.end() &&
      found->second.mEntry.mPosition.IsAfter(aEntry.mPosition)) {
    return BackendChange::None;
  }
  const bool isKnown = found != mBackends.end();
  const bool isRestart = isKnown && IsRestart(found->second.mEntry, aEntry);
  const ProcessHash process = ProcessHashOf(aEntry);
  const bool mayBeFromCopy = mGuard.MayBeFromCopy(aEntry.mPosition, aNow);
  if (isRestart && mayBeFromCopy && mGuard.IsWithdrawn(process)) {
    // The copy has the process that the known one has replaced.
    return BackendChange::None;
  }
  const bool wasDraining = isKnown && found->second.mEntry.mIsDraining;
  const bool wasWithheld =
    isKnown && mGuard.IsWithheld(found->second.mProcessHash, aNow);
  const bool isExtended =
    isKnown && !isRestart && ExtendsColdTime(found->second, aEntry, aNow);
  if (isRestart) {
    mMisdirected.erase(aEntry.mId);
    mGuard.RecordWithdrawn(found->second.mProcessHash);
  }
  RecordState(aEntry, process, aNow);
  ListedBackend& backend = mBackends[aEntry.mId];
  backend.mEntry = aEntry;
  backend.mProcessHash = process;
  if (isExtended) {
    backend.mColdExtendedAt = aEntry.mPosition;
  } else if (isRestart || aEntry.mColdRemaining.count() <= 0 ||
             backend.mColdExtendedAt.mEra != aEntry.mPosition.mEra) {
    backend.mColdExtendedAt = {};
  }
  backend.mDigest = EntryDigest(aEntry, backend.mColdExtendedAt);
  const Timestamp coldUntil = aNow + aEntry.mColdRemaining;
  // A copy may be from before the cold time was extended.
  backend.mColdUntil = isKnown && !isRestart && mayBeFromCopy
                         ? std::max(backend.mColdUntil, coldUntil)
                         : coldUntil;
  backend.mRemoveAt.reset();
  if (aEntry.mIsDraining) {
    return wasDraining ? BackendChange::Refreshed : BackendChange::Draining;
  }
  if (mGuard.IsWithheld(process, aNow)) {
    return wasWithheld && !wasDraining ? BackendChange::Refreshed
                                       : BackendChange::Withheld;
  }
  if (!isKnown) {
    return BackendChange::Added;
  }
  if (isRestart) {
    return BackendChange::Restarted;
  }
  return isExtended ? BackendChange::ColdExtended : BackendChange::Refreshed;
}

void
BackendList::RecordState(const BackendEntry& aEntry,
                         ProcessHash aProcess,
                         Timestamp aNow)
{
  if (aEntry.mIsDraining) {
    mGuard.RecordWithdrawn(aProcess);
  } else if (!mGuard.MayBeFromCopy(aEntry.mPosition, aNow)) {
    mGuard.RecordReady(aProcess);
  }
}

BackendChange
BackendList::Remove(const InstanceId& aId,
                    const DirectoryPosition& aPosition,
                    Timestamp aNow)
{
  const auto found = mBackends.find(aId);
  if (found == mBackends.end() ||
      (aPosition.IsKnown() &&
       found->second.mEntry.mPosition.IsAfter(aPosition))) {
    return BackendChange::None;
  }
  return RemoveOrSchedule(
    found,
    aPosition,
    aNow,
    std::min(mGracePeriodEnd, aNow + mMaximumRemovalDelay));
}

BackendChange
BackendList::RemoveOrSchedule(BackendMap::iterator aPlace,
                              const DirectoryPosition& aPosition,
                              Timestamp aNow,
                              Timestamp aRemoveAt)
{
  const InstanceId id = aPlace->first;
  ListedBackend& backend = aPlace->second;
  if (aNow < aRemoveAt && !backend.mEntry.mIsDraining &&
      !mGuard.IsWithheld(backend.mProcessHash, aNow)) {
    backend.mRemoveAt =
      std::min(backend.mRemoveAt.value_or(aRemoveAt), aRemoveAt);
    return BackendChange::RemovalDelayed;
  }
  if (mRemovedAt.size() >= kMaximumRemovedIds) {
    mRemovedAt.clear();
  }
  mRemovedAt[id] = aPosition;
  mGuard.RecordWithdrawn(backend.mProcessHash);
  mMisdirected.erase(id);
  mBackends.erase(aPlace);
  return BackendChange::Removed;
}

std::vector<std::pair<InstanceId, BackendChange>>
BackendList::RemoveUnlisted(const std::set<InstanceId>& aListed,
                            const DirectoryPosition& aPosition,
                            Timestamp aNow)
{
  std::vector<InstanceId> missing;
  for (const auto& [id, backend] : mBackends) {
    const bool isLater = backend.mEntry.mPosition.IsAfter(aPosition);
    if (aListed.count(id) == 0 && !isLater) {
      missing.push_back(id);
    }
  }
  std::vector<std::pair<InstanceId, BackendChange>> changes;
  for (const InstanceId& id : missing) {
    const BackendChange change =
      RemoveOrSchedule(mBackends.find(id), aPosition, aNow, mGracePeriodEnd);
    if (change != BackendChange::None) {
      changes.emplace_back(id, change);
    }
  }
  return changes;
}

void
BackendList::StartGracePeriod(Timestamp aNow,
                              Microseconds aGracePeriod,
                              Microseconds aMaximumDelay)
{
  mGracePeriodEnd = aNow + aGracePeriod;
  mMaximumRemovalDelay = aMaximumDelay;
}

std::vector<InstanceId>
BackendList::RemoveExpired(Timestamp aNow)
{
  std::vector<InstanceId> expired;
  for (const auto& [id, backend] : mBackends) {
    if (backend.mRemoveAt && *backend.mRemoveAt <= aNow) {
      expired.push_back(id);
    }
  }
  for (const InstanceId& id : expired) {
    mGuard.RecordWithdrawn(mBackends.at(id).mProcessHash);
    mBackends.erase(id);
    mMisdirected.erase(id);
  }
  return expired;
}

void
BackendList::SetEvacuated(const ZoneName& aZone,
                          bool aIsEvacuated,
                          const DirectoryPosition& aPosition,
                          Timestamp aNow)
{
  const bool wasEvacuated = IsEvacuated(aZone, aNow);
  const auto listed = mEvacuated.find(aZone);
  if (aIsEvacuated) {
    mGuard.RecordEvacuation(aZone, aPosition, wasEvacuated, aNow);
    mEvacuated[aZone] = aPosition;
  } else {
    const DirectoryPosition listedAt =
      listed == mEvacuated.end() ? aPosition : listed->second;
    mGuard.RecordEvacuationEnd(aZone, listedAt, aPosition, wasEvacuated, aNow);
    mEvacuated.erase(aZone);
  }
}

bool
BackendList::HasUndecidedServers(Timestamp aNow) const
{
  return mGuard.HasBegun() &&
         std::any_of(
           mBackends.begin(), mBackends.end(), [&](const auto& aBackend) {
             const ListedBackend& backend = aBackend.second;
             const bool isWithheld =
               !backend.mEntry.mIsDraining &&
               mGuard.IsWithheld(backend.mProcessHash, aNow);
             return isWithheld || backend.mRemoveAt;
           });
}

void
BackendList::RecordMisdirected(const InstanceId& aId)
{
  if (mBackends.count(aId) != 0) {
    mMisdirected.insert(aId);
  }
}

bool
BackendList::RecordShuttingDown(ProcessHash aProcess)
{
  if (mShuttingDown.size() >= kMaximumShuttingDown) {
    mShuttingDown.clear();
  }
  return mShuttingDown.insert(aProcess).second;
}

void
BackendList::RecordShuttingDownByPeer(
  const std::vector<ProcessHash>& aProcesses,
  Timestamp aNow)
{
  if (mShuttingDownByPeer.size() >= kMaximumShuttingDown) {
    mShuttingDownByPeer.clear();
  }
  for (const ProcessHash process : aProcesses) {
    mShuttingDownByPeer[process] = aNow + kMaximumPeerReportAge;
  }
}

std::vector<ProcessHash>
BackendList::ShuttingDownProcesses() const
{
  std::vector<ProcessHash> shuttingDown;
  for (const auto& [id, backend] : mBackends) {
    if (!backend.mEntry.mIsDraining &&
        mShuttingDown.count(backend.mProcessHash) != 0) {
      shuttingDown.push_back(backend.mProcessHash);
    }
  }
  return shuttingDown;
}

bool
BackendList::IsShuttingDown(ProcessHash aProcess, Timestamp aNow) const
{
  const auto reportedUntil = mShuttingDownByPeer.find(aProcess);
  return mShuttingDown.count(aProcess) != 0 ||
         (reportedUntil != mShuttingDownByPeer.end() &&
          aNow < reportedUntil->second);
}

std::optional<ServerExclusion>
BackendList::ExclusionOf(const ListedBackend& aBackend, Timestamp aNow) const
{
  const BackendEntry& entry = aBackend.mEntry;
  if (entry.mIsDraining) {
    return ServerExclusion::Draining;
  }
  if (mGuard.IsWithheld(aBackend.mProcessHash, aNow)) {
    return ServerExclusion::Withheld;
  }
  if (IsEvacuated(entry.mZone, aNow)) {
    return ServerExclusion::ZoneOut;
  }
  if (mMisdirected.count(entry.mId) != 0) {
    return ServerExclusion::Misdirected;
  }
  if (IsShuttingDown(aBackend.mProcessHash, aNow)) {
    return ServerExclusion::Leaving;
  }
  if (aBackend.mRemoveAt && aNow >= *aBackend.mRemoveAt) {
    return ServerExclusion::Removed;
  }
  return std::nullopt;
}

std::vector<const ListedBackend*>
BackendList::Usable(const PoolName& aPool, Timestamp aNow) const
{
  std::vector<const ListedBackend*> usable;
  for (const auto& [id, backend] : mBackends) {
    if (backend.mEntry.mPool == aPool && !ExclusionOf(backend, aNow)) {
      usable.push_back(&backend);
    }
  }
  return usable;
}

std::vector<PoolServer>
BackendList::InPool(const PoolName& aPool, Timestamp aNow) const
{
  std::vector<PoolServer> servers;
  for (const auto& [id, backend] : mBackends) {
    if (backend.mEntry.mPool == aPool) {
      servers.push_back({ &backend, ExclusionOf(backend, aNow) });
    }
  }
  return servers;
}

std::uint64_t
BackendList::Digest() const
{
  // A sum is independent of the order of the servers.
  std::uint64_t digest = 0;
  for (const auto& [id, backend] : mBackends) {
    digest += backend.mDigest;
  }
  for (const auto& [zone, position] : mEvacuated) {
    digest += HashText(zone.Text());
  }
  return digest;
}

std::uint64_t
BackendList::DigestOf(const InstanceId& aId) const
{
  const ListedBackend* backend = Find(aId);
  return backend == nullptr ? 0 : backend->mDigest;
}

const ListedBackend*
BackendList::FindProcess(ProcessHash aProcess) const
{
  const auto found = std::find_if(
    mBackends.begin(), mBackends.end(), [aProcess](const auto& aBackend) {
      return aBackend.second.mProcessHash == aProcess;
    });
  return found == mBackends.end() ? nullptr : &found->second;
}

const ListedBackend*
BackendList::Find(const InstanceId& aId) const
{
  const auto found = mBackends.find(aId);
  return found == mBackends.end() ? nullptr : &found->second;
}

} // namespace medlarkeel
