#include "directoryfollower.h"

#include "../rendezvous.h"

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

/** @return A digest of an era; 0 for era 0. */
std::uint64_t
EraDigest(DirectoryEra aEra)
{
  return aEra.mValue == 0 ? 0 : HashText("era", aEra.mValue);
}

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
    case DirectoryError::EarlierEra:
      return "earlier-era";
  }
  return "unknown";
}

FollowerSettings
FollowerSettingsFor(Milliseconds aChangeBound, Milliseconds aHeartbeat)
{
  /** Pauses per bound. This leaves time for a call that delivers no changes and
   * for the full read after it. */
  constexpr int kPausesPerBound = 4;
  /** Leaves a second for a server's leaving to reach all entries. */
  constexpr Milliseconds kMaximumPause{ 500 };
  /** Time in which servers register again. */
  constexpr Milliseconds kRegistrationTime{ 2000 };
  FollowerSettings settings;
  settings.mPause = std::min(aChangeBound / kPausesPerBound, kMaximumPause);
  settings.mHeartbeat = aHeartbeat;
  settings.mOutageThreshold = aHeartbeat * 2;
  settings.mMaximumRemovalDelay = aChangeBound * 3 / kPausesPerBound;
  settings.mRestoreHoldTime =
    aHeartbeat * 2 + kRegistrationTime + settings.mPause;
  return settings;
}

DirectoryFollower::DirectoryFollower(const FollowerSettings& aSettings)
  : mSettings(aSettings)
  , mEra(aSettings.mRestoreHoldTime)
  , mRetryDelay(aSettings.mFirstRetryDelay)
{
}

std::uint64_t
DirectoryFollower::Digest() const
{
  return mBackends.Digest() + EraDigest(mEra.LastRead());
}

DirectoryCall
DirectoryFollower::CallAt(Timestamp aNow) const
{
  const bool isReadSmaller =
    mNext.mKind == DirectoryCall::Kind::Watch && !mMayBeStale &&
    mBackends.size() > mSettings.mMaximumReplayedServers &&
    aNow - mPositionAt > mSettings.mHeartbeat;
  return isReadSmaller ? DirectoryCall{ DirectoryCall::Kind::ReadAll,
                                        Milliseconds(0),
                                        mNext.mPosition }
                       : mNext;
}

FollowerUpdate
DirectoryFollower::RecordRead(const DirectoryResult& aResult,
                              Timestamp aNow,
                              ReadFreshness aFreshness)
{
  FollowerUpdate update;
  if (!aResult) {
    RecordFailedRead(update, aResult.error(), aNow);
    return update;
  }
  const DirectoryChanges& contents = aResult.value();
  if (contents.mPosition.mEra < mEra.Current()) {
    mHasReadEarlierEra = true;
    RecordFailure(update, DirectoryError::EarlierEra, aNow);
    return update;
  }
  RecordContact(update, aNow);
  BeginRead(contents.mPosition, update, aNow);
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
       mBackends.RemoveUnlisted(listed, contents.mPosition, aNow)) {
    update.mBackends.push_back(std::move(change));
  }
  const std::map<ZoneName, DirectoryPosition> before =
    mBackends.EvacuatedZones();
  for (const auto& [zone, position] : before) {
    if (evacuated.count(zone) == 0) {
      Apply(ZoneEvacuation{ zone, false, contents.mPosition }, aNow, update);
    }
  }
  mMayBeStale = aFreshness == ReadFreshness::MayBeStale && !contents.mIsNewest;
  mHasRead = true;
  const Milliseconds pause = mMayBeStale ? Milliseconds(0) : mSettings.mPause;
  mNext = { DirectoryCall::Kind::Watch, pause, contents.mPosition };
  mPositionAt = aNow;
  mDeltaLog.Restart(contents.mPosition);
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
  const DirectoryEra era = contents.mPosition.mEra;
  EnterEra(era, aNow, update, aNow);
  if (mEra.IsReadDue()) {
    // The answer doesn't continue what is known.
    return update;
  }
  if (era != mEra.Current()) {
    RecordFailure(update, DirectoryError::EarlierEra, aNow);
    return update;
  }
  if (contents.mChanges.empty() && mBackends.size() > 0) {
    mNext = { DirectoryCall::Kind::ReadAll, Milliseconds(0), { era, 0 } };
    return update;
  }
  RecordContact(update, aNow);
  mMayBeStale = false;
  // Peers may have relayed later changes while the call was in progress.
  const DirectoryPosition known = mNext.mPosition;
  std::vector<RelayedChange> relayedChanges;
  for (const DirectoryChange& change : contents.mChanges) {
    const auto* zone = std::get_if<ZoneEvacuation>(&change);
    if (zone != nullptr && zone->mPosition.IsKnown() &&
        zone->mPosition.IsAtMost(known)) {
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
  const DirectoryPosition position = LaterOf(known, contents.mPosition);
  if (hasDelayed) {
    // Peers have to call the directory for a delayed removal.
    mDeltaLog.Restart(position);
  } else {
    update.mDeltaParts =
      mDeltaLog.Add(known, position, std::move(relayedChanges), aNow);
  }
  mNext = { DirectoryCall::Kind::Watch, mSettings.mPause, position };
  mPositionAt = aNow;
  return update;
}

FollowerUpdate
DirectoryFollower::RecordDocuments(const DirectoryChanges& aChanges,
                                   Timestamp aNow)
{
  FollowerUpdate update;
  const DirectoryEra era = aChanges.mPosition.mEra;
  EnterEra(era, aNow, update, aNow);
  if (era != mEra.Current()) {
    return update;
  }
  for (const DirectoryChange& change : aChanges.mChanges) {
    const bool isZone = std::holds_alternative<ZoneEvacuation>(change);
    // The full read that is due decides which evacuations are in the list.
    if (!isZone || !mEra.IsReadDue()) {
      Apply(change, aNow, update);
    }
  }
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
  FollowerUpdate update;
  EnterEra(aDelta.mTo.mEra, aNow, update, aNow);
  if (mHasRead && mEra.IsReadDue() && aDelta.mTo.mEra == mEra.Current()) {
    ApplyBeforeRead(aDelta, aNow, update);
    return update;
  }
  const DirectoryPosition known = mNext.mPosition;
  if (!mHasRead || !known.IsKnown() || !aDelta.mTo.IsAfter(known)) {
    return std::nullopt;
  }
  for (const RelayedChange& change : aDelta.mChanges) {
    if (PositionOf(change).IsAfter(known)) {
      std::visit(Overloaded{ [&](const auto& aChange) {
                   Apply(DirectoryChange(aChange), aNow, update);
                 } },
                 change);
    }
  }
  // Each change is newer than what it replaces, so it applies in any case.
  // After a gap the position stays, since earlier changes may be missing.
  if (aDelta.mFrom.IsAtMost(known)) {
    mNext.mPosition = aDelta.mTo;
    mPositionAt = aNow;
    mDeltaAppliedAt = aNow;
  }
  return update;
}

void
DirectoryFollower::RecordPeerState(const DirectoryPosition& aPosition,
                                   std::uint64_t aDigest,
                                   Timestamp aNow)
{
  if (mHasRead && mNext.mPosition.IsKnown() &&
      aPosition.IsAfter(mNext.mPosition) && aDigest == Digest()) {
    mNext.mPosition = aPosition;
    mPositionAt = aNow;
    mDeltaAppliedAt = aNow;
  }
}

void
DirectoryFollower::ApplyBeforeRead(const DirectoryDelta& aDelta,
                                   Timestamp aNow,
                                   FollowerUpdate& aUpdate)
{
  for (const RelayedChange& change : aDelta.mChanges) {
    if (const auto* zone = std::get_if<ZoneEvacuation>(&change)) {
      DirectoryPosition& applied = mZonesBeforeRead[zone->mZone];
      if (zone->mPosition.IsAtMost(applied)) {
        continue;
      }
      applied = zone->mPosition;
    }
    std::visit(Overloaded{ [&](const auto& aChange) {
                 Apply(DirectoryChange(aChange), aNow, aUpdate);
               } },
               change);
  }
}

std::optional<FollowerUpdate>
DirectoryFollower::RecordPeerEra(DirectoryEra aEra,
                                 Milliseconds aAge,
                                 Timestamp aNow)
{
  FollowerUpdate update;
  if (EnterEra(aEra, aNow - aAge, update, aNow)) {
    return update;
  }
  mBackends.ShortenHold(mEra.HoldUntil());
  return std::nullopt;
}

bool
DirectoryFollower::EnterEra(DirectoryEra aEra,
                            Timestamp aBeganAt,
                            FollowerUpdate& aUpdate,
                            Timestamp aNow)
{
  if (!mEra.Record(aEra, aBeganAt)) {
    return false;
  }
  const DirectoryPosition unread{ aEra, 0 };
  mNext.mPosition = unread;
  if (mHasRead) {
    mNext = { DirectoryCall::Kind::ReadAll, Milliseconds(0), unread };
    mDeltaLog.Restart(unread);
    mBackends.BeginEra(unread, mEra.HoldUntil(), aNow);
    mZonesBeforeRead.clear();
    aUpdate.mNewEra = { aEra, false, HoldTime(aNow) };
  }
  return true;
}

void
DirectoryFollower::BeginRead(const DirectoryPosition& aBase,
                             FollowerUpdate& aUpdate,
                             Timestamp aNow)
{
  EnterEra(aBase.mEra, aNow, aUpdate, aNow);
  if (mEra.IsReadDue() && mHasRead) {
    mBackends.BeginEra(aBase, mEra.HoldUntil(), aNow);
    // Servers that registered after the copy was taken register again. A
    // removal waits for half of the time after an outage: with 1,500 ms and
    // answers that take 250 ms it was in force after more than 2,000 ms.
    mBackends.StartGracePeriod(
      aNow, mSettings.mGracePeriod, mSettings.mMaximumRemovalDelay / 2);
    aUpdate.mNewEra = { aBase.mEra, true, HoldTime(aNow) };
  }
  mEra.RecordRead();
}

Milliseconds
DirectoryFollower::HoldTime(Timestamp aNow) const
{
  return std::max(
    Milliseconds(0),
    std::chrono::duration_cast<Milliseconds>(mEra.HoldUntil() - aNow));
}

void
DirectoryFollower::RecordFailure(FollowerUpdate& aUpdate,
                                 DirectoryError aError,
                                 Timestamp aNow)
{
  if (aError == DirectoryError::HistoryCompacted) {
    mNext = { DirectoryCall::Kind::ReadAll,
              Milliseconds(0),
              { mEra.Current(), 0 } };
    return;
  }
  aUpdate.mError = aError;
  aUpdate.mHasLostContact = !mHasFailed;
  mHasFailed = true;
  mFailedAt = aNow;
  mFailedCallStartedAt = mCallStartedAt;
  mNext = { DirectoryCall::Kind::ReadAll, mRetryDelay, mNext.mPosition };
  mRetryDelay = std::min(mRetryDelay * 2, mSettings.mMaximumRetryDelay);
}

void
DirectoryFollower::RecordFailedRead(FollowerUpdate& aUpdate,
                                    DirectoryError aError,
                                    Timestamp aNow)
{
  RecordFailure(aUpdate, aError, aNow);
  if (aError == DirectoryError::HistoryCompacted) {
    // Another full read is no answer to one that failed.
    mNext.mDelay = mRetryDelay;
    mRetryDelay = std::min(mRetryDelay * 2, mSettings.mMaximumRetryDelay);
  }
}

void
DirectoryFollower::RecordContact(FollowerUpdate& aUpdate, Timestamp aNow)
{
  const Timestamp known = std::max(mLastContact, mPeerConfirmedAt);
  if (mHasRead && aNow - known > mSettings.mOutageThreshold) {
    mBackends.StartGracePeriod(
      aNow, GracePeriod(aNow), mSettings.mMaximumRemovalDelay);
  }
  aUpdate.mHasRestoredContact = mHasFailed;
  aUpdate.mOutage = mHasRead ? aNow - known : Microseconds(0);
  mHasFailed = false;
  mRetryDelay = mSettings.mFirstRetryDelay;
  mLastContact = aNow;
}

Microseconds
DirectoryFollower::GracePeriod(Timestamp aNow) const
{
  if (!mHasFailed || !mFailedCallStartedAt) {
    return mSettings.mGracePeriod;
  }
  const Timestamp latest =
    *mFailedCallStartedAt + mSettings.mMaximumGraceAfterFailure;
  return std::clamp<Microseconds>(
    latest - aNow, Microseconds(0), mSettings.mGracePeriod);
}

void
DirectoryFollower::ApplyZone(const ZoneEvacuation& aZone,
                             Timestamp aNow,
                             FollowerUpdate& aUpdate)
{
  // Calls of different kinds overtake each other.
  if (aZone.mPosition.IsKnown()) {
    DirectoryPosition& last = mZoneChanges[aZone.mZone];
    if (last.IsAfter(aZone.mPosition)) {
      return;
    }
    last = aZone.mPosition;
  }
  const bool wasEvacuated = mBackends.IsEvacuated(aZone.mZone, aNow);
  mBackends.SetEvacuated(
    aZone.mZone, aZone.mIsEvacuated, aZone.mPosition, aNow);
  const bool isEvacuated = mBackends.IsEvacuated(aZone.mZone, aNow);
  if (wasEvacuated != isEvacuated) {
    aUpdate.mZones.push_back({ aZone.mZone, isEvacuated, aZone.mPosition });
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
  std::visit(
    Overloaded{
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
             mBackends.Remove(aRemoval.mId, aRemoval.mPosition, aNow));
      },
      [&](const ZoneEvacuation& aZone) { ApplyZone(aZone, aNow, aUpdate); },
      [&](const UnreadableItem& aItem) {
        aUpdate.mUnreadable.push_back(aItem);
      } },
    aChange);
}

} // namespace medlarkeel
