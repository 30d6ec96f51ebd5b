#include "directoryfollower.h"

#include <algorithm>

namespace medlarkeel {

namespace {

template<typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

const char*
DirectoryErrorText(DirectoryError aError)
{
  switch (aError) {
    case DirectoryError::Unreachable:
      return "unreachable";
    case DirectoryError::Refused:
      return "refused";
    case DirectoryError::HistoryCompacted:
      return "history-gone";
    case DirectoryError::Unreadable:
      return "unreadable";
  }
  return "unknown";
}

FollowerSettings
FollowerSettingsFor(Milliseconds aChangeBound, Milliseconds aHeartbeat)
{
  /** Pauses per bound. This leaves time for a call that delivers no changes and
   * for the full read after it. */
  constexpr int kPausesPerBound = 4;
  FollowerSettings settings;
  settings.mPause = aChangeBound / kPausesPerBound;
  settings.mOutageThreshold = aHeartbeat * 2;
  settings.mMaximumRemovalDelay = aChangeBound * 3 / kPausesPerBound;
  return settings;
}

DirectoryFollower::DirectoryFollower(const FollowerSettings& aSettings)
  : mSettings(aSettings)
  , mRetryDelay(aSettings.mFirstRetryDelay)
{
}

std::uint64_t
DirectoryFollower::Digest() const
{
  return mBackends.Digest() + (mDocument ? mDocument->mVersion : 0);
}

FollowerUpdate
DirectoryFollower::RecordRead(const DirectoryResult& aResult,
                              Timestamp aNow,
                              ReadFreshness aFreshness)
{
  FollowerUpdate update;
  if (!aResult) {
    RecordFailure(update, aResult.error(), aNow);
    return update;
  }
  RecordContact(update, aNow);
  const DirectoryChanges& contents = aResult.value();
  std::set<InstanceId> listed;
  std::set<ZoneName> evacuated;
  for (const DirectoryChange& change : contents.mChanges) {
    Apply(change, aNow, update);
    if (const auto* entry = std::get_if<BackendEntry>(&change)) {
      listed.insert(entry->mId);
    }
    const auto* zone = std::get_if<ZoneEvacuation>(&change);
    if (zone != nullptr && zone->mIsEvacuated) {
      evacuated.insert(zone->mZone);
    }
  }
  for (auto& change :
       mBackends.RemoveUnlisted(listed, contents.mRevision, aNow)) {
    update.mBackends.push_back(std::move(change));
  }
  const std::set<ZoneName> before = mBackends.EvacuatedZones();
  for (const ZoneName& zone : before) {
    if (evacuated.count(zone) == 0) {
      Apply(ZoneEvacuation{ zone, false }, aNow, update);
    }
  }
  mMayBeStale = aFreshness == ReadFreshness::MayBeStale;
  mHasRead = true;
  const Milliseconds pause = mMayBeStale ? Milliseconds(0) : mSettings.mPause;
  mNext = { DirectoryCall::Kind::Watch, pause, contents.mRevision };
  mDeltaLog.Restart(contents.mRevision);
  return update;
}

FollowerUpdate
DirectoryFollower::RecordWatch(const DirectoryResult& aResult, Timestamp aNow)
{
  FollowerUpdate update;
  if (!aResult) {
    RecordFailure(update, aResult.error(), aNow);
    return update;
  }
  const DirectoryChanges& contents = aResult.value();
  if (contents.mChanges.empty() && mBackends.size() > 0) {
    mNext = { DirectoryCall::Kind::ReadAll, Milliseconds(0), 0 };
    return update;
  }
  RecordContact(update, aNow);
  mMayBeStale = false;
  // Peers may have relayed later changes while the call was in progress.
  const std::uint64_t known = mNext.mRevision;
  std::vector<RelayedChange> relayedChanges;
  for (const DirectoryChange& change : contents.mChanges) {
    const auto* zone = std::get_if<ZoneEvacuation>(&change);
    if (zone != nullptr && zone->mRevision != 0 && zone->mRevision <= known) {
      continue;
    }
    if (auto relayable = ApplyForRelay(change, aNow, update)) {
      relayedChanges.push_back(std::move(*relayable));
    }
  }
  const bool hasDelayed = std::any_of(
    update.mBackends.begin(), update.mBackends.end(), [](const auto& aChange) {
      return aChange.second == BackendChange::RemovalDelayed;
    });
  const std::uint64_t revision = std::max(known, contents.mRevision);
  if (update.mHasNewDocument || hasDelayed) {
    // Peers have to call the directory for a document or a delayed removal.
    mDeltaLog.Restart(revision);
  } else {
    mDeltaLog.Add(known, revision, std::move(relayedChanges), aNow);
  }
  mNext = { DirectoryCall::Kind::Watch, mSettings.mPause, revision };
  return update;
}

std::optional<RelayedChange>
DirectoryFollower::ApplyForRelay(const DirectoryChange& aChange,
                                 Timestamp aNow,
                                 FollowerUpdate& aUpdate)
{
  if (const auto* entry = std::get_if<BackendEntry>(&aChange)) {
    const std::uint64_t before = mBackends.DigestOf(entry->mId);
    Apply(aChange, aNow, aUpdate);
    return before != mBackends.DigestOf(entry->mId)
             ? std::optional<RelayedChange>(*entry)
             : std::nullopt;
  }
  Apply(aChange, aNow, aUpdate);
  if (const auto* removal = std::get_if<BackendRemoval>(&aChange)) {
    return RelayedChange(*removal);
  }
  if (const auto* zone = std::get_if<ZoneEvacuation>(&aChange)) {
    return RelayedChange(*zone);
  }
  return std::nullopt;
}

std::optional<FollowerUpdate>
DirectoryFollower::RecordRelayedDelta(const DirectoryDelta& aDelta,
                                      Timestamp aNow)
{
  const std::uint64_t known = mNext.mRevision;
  const bool follows =
    mHasRead && known != 0 && aDelta.mFrom <= known && known < aDelta.mTo;
  if (!follows) {
    return std::nullopt;
  }
  FollowerUpdate update;
  for (const RelayedChange& change : aDelta.mChanges) {
    const std::uint64_t revision = std::visit(
      Overloaded{ [](const auto& aChange) { return aChange.mRevision; } },
      change);
    if (revision > known) {
      std::visit(Overloaded{ [&](const auto& aChange) {
                   Apply(DirectoryChange(aChange), aNow, update);
                 } },
                 change);
    }
  }
  mNext.mRevision = aDelta.mTo;
  mDeltaAppliedAt = aNow;
  return update;
}

void
DirectoryFollower::RecordFailure(FollowerUpdate& aUpdate,
                                 DirectoryError aError,
                                 Timestamp aNow)
{
  if (aError == DirectoryError::HistoryCompacted) {
    mNext = { DirectoryCall::Kind::ReadAll, Milliseconds(0), 0 };
    return;
  }
  aUpdate.mHasLostContact = !mHasFailed;
  mHasFailed = true;
  mFailedAt = aNow;
  mNext = { DirectoryCall::Kind::ReadAll, mRetryDelay, mNext.mRevision };
  mRetryDelay = std::min(mRetryDelay * 2, mSettings.mMaximumRetryDelay);
}

void
DirectoryFollower::RecordContact(FollowerUpdate& aUpdate, Timestamp aNow)
{
  const Timestamp known = std::max(mLastContact, mPeerConfirmedAt);
  if (mHasRead && aNow - known > mSettings.mOutageThreshold) {
    mBackends.StartGracePeriod(
      aNow, mSettings.mGracePeriod, mSettings.mMaximumRemovalDelay);
  }
  aUpdate.mHasRestoredContact = mHasFailed;
  aUpdate.mOutage = mHasRead ? aNow - known : Microseconds(0);
  mHasFailed = false;
  mRetryDelay = mSettings.mFirstRetryDelay;
  mLastContact = aNow;
}

void
DirectoryFollower::ApplyZone(const ZoneEvacuation& aZone,
                             FollowerUpdate& aUpdate)
{
  const bool wasEvacuated = mBackends.EvacuatedZones().count(aZone.mZone) != 0;
  mBackends.SetEvacuated(aZone.mZone, aZone.mIsEvacuated);
  if (wasEvacuated != aZone.mIsEvacuated) {
    aUpdate.mZones.push_back(aZone);
  }
}

void
DirectoryFollower::Apply(const DirectoryChange& aChange,
                         Timestamp aNow,
                         FollowerUpdate& aUpdate)
{
  const auto note = [&](const InstanceId& aId, BackendChange aKind) {
    if (aKind != BackendChange::None && aKind != BackendChange::Refreshed) {
      aUpdate.mBackends.emplace_back(aId, aKind);
    }
  };
  std::visit(Overloaded{
               [&](const ForwardingDocumentPointer& aDocument) {
                 if (!mDocument || mDocument->mVersion < aDocument->mVersion) {
                   mDocument = aDocument;
                   aUpdate.mHasNewDocument = true;
                 }
               },
               [&](const BackendEntry& aEntry) {
                 note(aEntry.mId, mBackends.Put(aEntry, aNow));
               },
               [&](const BackendRemoval& aRemoval) {
                 note(aRemoval.mId,
                      mBackends.Remove(aRemoval.mId, aRemoval.mRevision, aNow));
               },
               [&](const ZoneEvacuation& aZone) { ApplyZone(aZone, aUpdate); },
               [&](const UnreadableItem& aItem) {
                 aUpdate.mUnreadable.push_back(aItem);
               } },
             aChange);
}

} // namespace medlarkeel
