#include "backendscheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarkeel {

namespace {

/** Time after arrival at which work without any target is due. */
constexpr Seconds kDefaultDue{ 60 };
constexpr Milliseconds kShortestRetryAfter{ 100 };
constexpr Milliseconds kDefaultRetryAfter{ 1000 };
constexpr Milliseconds kLongestRetryAfter{ 60000 };
/** Longest queue delay that a load report states. */
constexpr Seconds kLongestWait{ 3600 };
/** Shortest silence of running work that counts as trouble. */
constexpr Milliseconds kShortestStall{ 500 };
/** Silence that counts as trouble, in expected waits for the next token. */
constexpr int kStallFactor = 8;

Refusal
NotRun(RefusalReason aReason, Milliseconds aRetryAfter)
{
  Refusal refusal;
  refusal.mReason = aReason;
  refusal.mExecuted = Executed::No;
  refusal.mRetryAfter = aRetryAfter;
  return refusal;
}

} // namespace

BackendScheduler::BackendScheduler(Incarnation aIncarnation,
                                   SchedulerLimits aLimits)
  : mIncarnation(aIncarnation)
  , mLimits(aLimits)
{
}

SchedulerActions
BackendScheduler::SetPool(const Pool& aPool,
                          const std::vector<ServiceClass>& aClasses,
                          Timestamp aNow)
{
  mPool = aPool;
  mClasses.clear();
  for (const ServiceClass& serviceClass : aClasses) {
    mClasses.emplace(serviceClass.mName, serviceClass);
  }
  mEstimator.SetKind(aPool.mKind);
  mFloors.SetShares(aClasses);
  mLimit.SetBounds(aPool.mColdStartConcurrency, aPool.mConcurrency);
  mLimit.SetColdTime(aPool.mColdStartTime, aNow);
  SchedulerActions actions;
  Review(aNow, actions);
  return actions;
}

SchedulerActions
BackendScheduler::Reserve(const Reservation& aReservation, Timestamp aNow)
{
  SchedulerActions actions;
  const auto refuse = [&](RefusalReason aReason) {
    const Refusal refusal = NotRun(aReason, kDefaultRetryAfter);
    actions.push_back(RefuseAction{ aReservation.mId, refusal });
  };
  if (!mAccepting) {
    refuse(mClosedReason);
    return actions;
  }
  const auto found = mClasses.find(aReservation.mClass);
  if (found == mClasses.end()) {
    refuse(RefusalReason::ConfigurationUnknown);
    return actions;
  }
  QueuedReservation entry = Schedule(aReservation, found->second, aNow);
  entry.mSequence = ++mLastSequence;
  mQueue.Push(std::move(entry));
  Review(aNow, actions);
  return actions;
}

CommitResult
BackendScheduler::Commit(GrantId aGrant,
                         Incarnation aIncarnation,
                         Timestamp aNow)
{
  Slot* slot = mSlots.Find(aGrant);
  const bool isOwn = aIncarnation == mIncarnation;
  if (!isOwn || mGrantsVoid || slot == nullptr || slot->mCommitted) {
    return NotRun(RefusalReason::GrantExpired, kShortestRetryAfter);
  }
  if (aNow >= slot->mExpires) {
    mSlots.Remove(aGrant);
    mRate.Observe(mSlots.Size() > 0, aNow);
    mReviewDue = true;
    return NotRun(RefusalReason::GrantExpired, kShortestRetryAfter);
  }
  slot->mCommitted = aNow;
  slot->mLastProgress = aNow;
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void
BackendScheduler::RecordFirstToken(GrantId aGrant, Timestamp aNow)
{
  Slot* slot = mSlots.Find(aGrant);
  if (slot == nullptr || !slot->mCommitted || slot->mFirstToken) {
    return;
  }
  slot->mFirstToken = aNow;
  slot->mLastProgress = aNow;
  const PrefillVerdict verdict = mEstimator.Speed().RecordFirstToken(
    slot->mReservation.mPromptTokens, aNow - *slot->mCommitted);
  if (verdict == PrefillVerdict::Slow) {
    mLimit.RecordTrouble(*slot->mCommitted, aNow);
  }
  if (verdict == PrefillVerdict::CacheLost) {
    mEstimator.Speed().ForgetPrefill();
    BeginColdStart(aNow);
  }
}

void
BackendScheduler::RecordTokens(GrantId aGrant,
                               std::uint32_t aCount,
                               Timestamp aNow)
{
  Slot* slot = mSlots.Find(aGrant);
  if (slot == nullptr || !slot->mCommitted || aCount == 0) {
    return;
  }
  const bool isFirst = slot->mTokens == 0;
  const Timestamp last = slot->mLastProgress;
  slot->mTokens += aCount;
  slot->mLastProgress = aNow;
  if (isFirst) {
    return;
  }
  mEstimator.Speed().RecordTokens(aCount, aNow - last);
  if (mEstimator.Speed().IsSlow()) {
    mLimit.RecordTrouble(*slot->mCommitted, aNow);
  }
}

SchedulerActions
BackendScheduler::Finish(GrantId aGrant, FinishKind aKind, Timestamp aNow)
{
  SchedulerActions actions;
  const Slot* slot = mSlots.Find(aGrant);
  if (slot == nullptr || !slot->mCommitted) {
    return actions;
  }
  if (aKind == FinishKind::Succeeded) {
    mEstimator.RecordSuccess(*slot, aNow);
    mLimit.RecordSuccess(*slot->mCommitted, slot->mFull);
  }
  if (aKind == FinishKind::Failed) {
    mLimit.RecordTrouble(*slot->mCommitted, aNow);
  }
  if (aKind == FinishKind::Lost && *slot->mCommitted > mLastColdStart) {
    mEstimator.Speed().ForgetPrefill();
    BeginColdStart(aNow);
  }
  mRate.RecordRelease(aNow);
  mSlots.Remove(aGrant);
  mRate.Observe(mSlots.Size() > 0, aNow);
  Review(aNow, actions);
  return actions;
}

SchedulerActions
BackendScheduler::Cancel(ReservationId aId, Timestamp aNow)
{
  SchedulerActions actions;
  Slot* slot = mSlots.Find(aId);
  if (slot != nullptr && slot->mCommitted) {
    slot->mCut = slot->mReservation.mRepeatable;
  } else if (slot != nullptr) {
    mSlots.Remove(slot->mGrant);
    mRate.Observe(mSlots.Size() > 0, aNow);
  } else if (!mQueue.Remove(aId)) {
    return actions;
  }
  Review(aNow, actions);
  return actions;
}

SchedulerActions
BackendScheduler::Tick(Timestamp aNow)
{
  SchedulerActions actions;
  WatchProgress(aNow);
  Review(aNow, actions);
  return actions;
}

std::optional<Timestamp>
BackendScheduler::NextWakeup() const
{
  if (mReviewDue) {
    return mLastReview;
  }
  if (mQueue.IsEmpty() && mSlots.Size() == 0) {
    return std::nullopt;
  }
  Timestamp next = mLastReview + mLimits.mReviewInterval;
  for (const auto& [grant, slot] : mSlots.All()) {
    if (!slot.mCommitted) {
      next = std::min(next, slot.mExpires);
    }
  }
  return next;
}

SchedulerActions
BackendScheduler::SetAccepting(bool aAccepting,
                               RefusalReason aReason,
                               Timestamp aNow)
{
  SchedulerActions actions;
  mAccepting = aAccepting;
  mClosedReason = aReason;
  if (aAccepting) {
    return actions;
  }
  for (const QueuedReservation* entry : mQueue.InOrder()) {
    const ReservationId id = entry->mReservation.mId;
    RefuseQueued(id, aReason, kShortestRetryAfter, actions);
  }
  RevokeAllGrants(aReason, aNow, actions);
  return actions;
}

SchedulerActions
BackendScheduler::WithdrawKeys(const IsWithdrawn& aIsWithdrawn,
                               WithdrawnStreams aRunning,
                               Timestamp aNow)
{
  SchedulerActions actions;
  const auto hits = [&](const Reservation& aReservation) {
    return !aReservation.mKey.IsEmpty() &&
           aIsWithdrawn(aReservation.mTeam, aReservation.mKey);
  };
  for (const QueuedReservation* entry : mQueue.InOrder()) {
    if (hits(entry->mReservation)) {
      const ReservationId id = entry->mReservation.mId;
      RefuseQueued(id, RefusalReason::KeyWithdrawn, Milliseconds(0), actions);
    }
  }
  std::vector<GrantId> granted;
  for (const auto& [grant, slot] : mSlots.All()) {
    if (!hits(slot.mReservation)) {
      continue;
    }
    if (!slot.mCommitted) {
      granted.push_back(grant);
    } else if (aRunning == WithdrawnStreams::Cut &&
               slot.mReservation.mRepeatable) {
      Cut(grant, RefusalReason::KeyWithdrawn, Milliseconds(0), actions);
    }
  }
  for (const GrantId grant : granted) {
    RevokeGrant(grant, RefusalReason::KeyWithdrawn, Milliseconds(0), actions);
  }
  Review(aNow, actions);
  return actions;
}

SchedulerActions
BackendScheduler::ResumeAfterPause(Microseconds aGap, Timestamp aNow)
{
  SchedulerActions actions;
  RevokeAllGrants(RefusalReason::GrantExpired, aNow, actions);
  if (aGap >= mLimits.mLongPause) {
    BeginColdStart(aNow);
  }
  Review(aNow, actions);
  return actions;
}

SchedulerActions
BackendScheduler::BackendRestarted(Timestamp aNow)
{
  mEstimator.Speed().ForgetPrefill();
  return CacheLost(aNow);
}

SchedulerActions
BackendScheduler::CacheLost(Timestamp aNow)
{
  SchedulerActions actions;
  BeginColdStart(aNow);
  Review(aNow, actions);
  return actions;
}

void
BackendScheduler::BeginColdStart(Timestamp aNow)
{
  mLastColdStart = aNow;
  mLimit.Restart(aNow);
  mGrantsVoid = true;
  mReviewDue = true;
}

LoadSnapshot
BackendScheduler::Load(Timestamp aNow) const
{
  LoadSnapshot load;
  load.mRunning = mSlots.Size();
  load.mQueued = mQueue.Size();
  load.mLimit = mLimit.Limit();
  load.mAccepting = mAccepting;
  if (mQueue.IsEmpty() && mSlots.Size() < load.mLimit) {
    return load;
  }
  const auto rate = mRate.PerSecond(aNow);
  if (rate && *rate > 0.0) {
    const double ahead = static_cast<double>(mQueue.Size()) + 1.0;
    const double seconds =
      std::min(ahead / *rate, static_cast<double>(kLongestWait.count()));
    load.mQueueDelay = std::chrono::duration_cast<Microseconds>(
      std::chrono::duration<double>(seconds));
  }
  return load;
}

void
BackendScheduler::Review(Timestamp aNow, SchedulerActions& aActions)
{
  mLastReview = aNow;
  mReviewDue = false;
  if (mGrantsVoid) {
    RevokeAllGrants(RefusalReason::BackendFailed, aNow, aActions);
    mGrantsVoid = false;
  }
  ExpireGrants(aNow, aActions);
  mQueue.MarkLate(aNow);
  DropUnreachable(aNow, aActions);
  Dispatch(aNow, aActions);
  EnforceQueueLimit(aNow, aActions);
  CutOverdue(aNow, aActions);
}

void
BackendScheduler::ExpireGrants(Timestamp aNow, SchedulerActions& aActions)
{
  for (const GrantId grant : mSlots.Uncommitted()) {
    if (aNow >= mSlots.Find(grant)->mExpires) {
      RevokeGrant(
        grant, RefusalReason::GrantExpired, kShortestRetryAfter, aActions);
    }
  }
}

void
BackendScheduler::WatchProgress(Timestamp aNow)
{
  const EngineSpeed& speed = mEstimator.Speed();
  for (const auto& [grant, slot] : mSlots.All()) {
    if (!slot.mCommitted || slot.mCut) {
      continue;
    }
    const auto expected = slot.mFirstToken
                            ? speed.TokenGap()
                            : speed.FirstToken(slot.mReservation.mPromptTokens);
    if (!expected) {
      continue;
    }
    const Microseconds stall =
      std::max<Microseconds>(kShortestStall, *expected * kStallFactor);
    if (aNow - slot.mLastProgress > stall) {
      mLimit.RecordTrouble(*slot.mCommitted, aNow);
    }
  }
}

Milliseconds
BackendScheduler::RetryAfter(TierRank aTier, Timestamp aNow) const
{
  const auto rate = mRate.PerSecond(aNow);
  if (!rate || *rate <= 0.0) {
    return kDefaultRetryAfter;
  }
  const auto entries = mQueue.InOrder();
  const auto ahead = std::count_if(
    entries.begin(), entries.end(), [aTier](const QueuedReservation* aEntry) {
      return !(aTier < aEntry->mTier);
    });
  const double milliseconds =
    (static_cast<double>(ahead) + 1.0) * 1000.0 / *rate;
  const double capped =
    std::min(milliseconds, static_cast<double>(kLongestRetryAfter.count()));
  const auto wait =
    Milliseconds(static_cast<Milliseconds::rep>(std::ceil(capped)));
  return std::max(kShortestRetryAfter, wait);
}

QueuedReservation
BackendScheduler::Schedule(const Reservation& aReservation,
                           const ServiceClass& aClass,
                           Timestamp aNow) const
{
  QueuedReservation entry;
  entry.mReservation = aReservation;
  entry.mTier = aClass.mTier;
  entry.mArrival = aNow;
  const auto target = aClass.mFirstByteTarget ? aClass.mFirstByteTarget
                                              : aClass.mCompletionTarget;
  entry.mDue = aNow + target.value_or(kDefaultDue);
  if (!aReservation.mDeadline) {
    return entry;
  }
  if (!target) {
    entry.mDue = *aReservation.mDeadline;
    return entry;
  }
  entry.mDue = std::min(entry.mDue, *aReservation.mDeadline);
  const Microseconds needed =
    aClass.mFirstByteTarget
      ? mEstimator.FirstByte(aReservation, mLimits.mOwnLengthQuantile)
      : mEstimator.Total(aReservation, mLimits.mOwnLengthQuantile);
  const auto allowed = std::chrono::duration_cast<Microseconds>(
    *target * (1.0 - mLimits.mTargetReserve));
  entry.mLatestStart = aNow + allowed - needed;
  return entry;
}

void
BackendScheduler::RefuseQueued(ReservationId aId,
                               RefusalReason aReason,
                               Milliseconds aRetryAfter,
                               SchedulerActions& aActions)
{
  mQueue.Remove(aId);
  aActions.push_back(RefuseAction{ aId, NotRun(aReason, aRetryAfter) });
}

void
BackendScheduler::RevokeGrant(GrantId aGrant,
                              RefusalReason aReason,
                              Milliseconds aRetryAfter,
                              SchedulerActions& aActions)
{
  const ReservationId id = mSlots.Find(aGrant)->mReservation.mId;
  mSlots.Remove(aGrant);
  aActions.push_back(RefuseAction{ id, NotRun(aReason, aRetryAfter) });
}

void
BackendScheduler::RevokeAllGrants(RefusalReason aReason,
                                  Timestamp aNow,
                                  SchedulerActions& aActions)
{
  for (const GrantId grant : mSlots.Uncommitted()) {
    RevokeGrant(grant, aReason, kShortestRetryAfter, aActions);
  }
  mRate.Observe(mSlots.Size() > 0, aNow);
}

void
BackendScheduler::Cut(GrantId aGrant,
                      RefusalReason aReason,
                      Milliseconds aRetryAfter,
                      SchedulerActions& aActions)
{
  Slot* slot = mSlots.Find(aGrant);
  if (slot->mCut) {
    return;
  }
  slot->mCut = true;
  Refusal refusal = NotRun(aReason, aRetryAfter);
  refusal.mExecuted = slot->mFirstToken ? Executed::Yes : Executed::Unknown;
  aActions.push_back(CutAction{ slot->mReservation.mId, refusal });
}

} // namespace medlarkeel
