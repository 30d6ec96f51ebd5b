// The part of BackendScheduler that picks what starts, waits and goes.

#include "backendscheduler.h"

#include <algorithm>
#include <tuple>

namespace medlarkeel {

void
BackendScheduler::Dispatch(Timestamp aNow, SchedulerActions& aActions)
{
  while (!mQueue.IsEmpty() && mSlots.Size() < mLimit.Limit()) {
    const QueuedReservation& head = mQueue.Head();
    const QueuedReservation* floor = FloorTurn(aNow);
    if (floor == nullptr || floor == &head) {
      Grant(head, false, aNow, aActions);
    } else {
      Grant(*floor, true, aNow, aActions);
    }
  }
}

void
BackendScheduler::Grant(const QueuedReservation& aEntry,
                        bool aFloor,
                        Timestamp aNow,
                        SchedulerActions& aActions)
{
  Slot slot;
  slot.mGrant.mValue = ++mLastGrant;
  slot.mReservation = aEntry.mReservation;
  slot.mTier = aEntry.mTier;
  slot.mExpires = aNow + mLimits.mGrantValidity;
  slot.mLastProgress = aNow;
  slot.mFloor = aFloor;
  const ReservationId id = slot.mReservation.mId;
  const ClassName name = slot.mReservation.mClass;
  aActions.push_back(GrantAction{ id, slot.mGrant, slot.mExpires });
  mSlots.Add(std::move(slot));
  mQueue.Remove(id);
  mFloors.RecordDispatch(
    name, [this](const ClassName& aClass) { return mQueue.IsWaiting(aClass); });
  if (mSlots.Size() >= mLimit.Limit()) {
    mSlots.MarkFull();
  }
  mRate.Observe(true, aNow);
}

const QueuedReservation*
BackendScheduler::FloorTurn(Timestamp aNow) const
{
  const auto isWaiting = [this](const ClassName& aClass) {
    return mQueue.IsWaiting(aClass);
  };
  if (const auto overdue = mFloors.Overdue(isWaiting)) {
    return mQueue.First(*overdue);
  }
  const auto due = mFloors.Due(isWaiting);
  if (!due) {
    return nullptr;
  }
  const QueuedReservation* first = mQueue.First(*due);
  return WouldBreakDeadline(*first, aNow) ? nullptr : first;
}

bool
BackendScheduler::WouldBreakDeadline(const QueuedReservation& aFloor,
                                     Timestamp aNow) const
{
  if (!mQueue.HasDeadlines()) {
    return false;
  }
  const SlotProjection without = Project(aNow, {});
  SlotProjection with = without;
  with.Place(
    mEstimator.Total(aFloor.mReservation, mLimits.mAheadLengthQuantile));
  return ReachableAbove(aFloor.mTier, with) <
         ReachableAbove(aFloor.mTier, without);
}

std::size_t
BackendScheduler::ReachableAbove(TierRank aTier,
                                 SlotProjection aProjection) const
{
  std::size_t reachable = 0;
  for (const QueuedReservation* entry : mQueue.InOrder()) {
    if (!(entry->mTier < aTier)) {
      break;
    }
    if (IsReachable(*entry, aProjection.NextStart())) {
      ++reachable;
      aProjection.Place(
        mEstimator.Total(entry->mReservation, mLimits.mAheadLengthQuantile));
    }
  }
  return reachable;
}

bool
BackendScheduler::IsReachable(const QueuedReservation& aEntry,
                              Timestamp aStart) const
{
  const Reservation& reservation = aEntry.mReservation;
  if (!reservation.mDeadline) {
    return true;
  }
  const Microseconds length =
    mEstimator.Total(reservation, mLimits.mOwnLengthQuantile);
  return aStart + length <= *reservation.mDeadline;
}

SlotProjection
BackendScheduler::Project(Timestamp aNow, const std::set<GrantId>& aFreed) const
{
  std::vector<Timestamp> busyUntil;
  busyUntil.reserve(mSlots.Size());
  for (const auto& [grant, slot] : mSlots.All()) {
    const bool isFree = slot.mCut || aFreed.count(grant) != 0;
    busyUntil.push_back(isFree
                          ? aNow
                          : aNow + mEstimator.Remaining(
                                     slot, aNow, mLimits.mAheadLengthQuantile));
  }
  return SlotProjection(std::move(busyUntil), mLimit.Limit(), aNow);
}

void
BackendScheduler::DropUnreachable(Timestamp aNow, SchedulerActions& aActions)
{
  if (!mQueue.HasDeadlines()) {
    return;
  }
  std::vector<Microseconds> ahead;
  std::vector<const QueuedReservation*> unreachable;
  SlotProjection projection = Project(aNow, {});
  for (const QueuedReservation* entry : mQueue.InOrder()) {
    if (!IsReachable(*entry, projection.NextStart())) {
      const std::set<GrantId> freed = FreedFor(*entry, ahead, aNow);
      if (freed.empty()) {
        unreachable.push_back(entry);
        continue;
      }
      for (const GrantId grant : freed) {
        Preempt(grant, aNow, aActions);
      }
      projection = Project(aNow, {});
      projection.PlaceAll(ahead);
    }
    ahead.push_back(
      mEstimator.Total(entry->mReservation, mLimits.mAheadLengthQuantile));
    projection.Place(ahead.back());
  }
  for (const QueuedReservation* entry : unreachable) {
    const Milliseconds retryAfter = RetryAfter(entry->mTier, aNow);
    RefuseQueued(entry->mReservation.mId,
                 RefusalReason::DeadlineUnreachable,
                 retryAfter,
                 aActions);
  }
}

std::set<GrantId>
BackendScheduler::FreedFor(const QueuedReservation& aEntry,
                           const std::vector<Microseconds>& aAhead,
                           Timestamp aNow) const
{
  std::set<GrantId> freed;
  if (!IsReachable(aEntry, aNow)) {
    return freed;
  }
  for (const GrantId grant : Preemptible(aEntry.mTier, aNow)) {
    freed.insert(grant);
    SlotProjection projection = Project(aNow, freed);
    projection.PlaceAll(aAhead);
    if (IsReachable(aEntry, projection.NextStart())) {
      return freed;
    }
  }
  return {};
}

void
BackendScheduler::EnforceQueueLimit(Timestamp aNow, SchedulerActions& aActions)
{
  while (mQueue.SizeWithoutFloors(mFloors) >
         mPool.mQueueLimit + mSlots.CutCount()) {
    const QueuedReservation* candidate =
      mQueue.ShedCandidate(mFloors, MissingTargets(aNow));
    const std::vector<GrantId> lower = Preemptible(candidate->mTier, aNow);
    if (!lower.empty()) {
      Preempt(lower.front(), aNow, aActions);
      Dispatch(aNow, aActions);
      continue;
    }
    const bool isNewest = candidate->mSequence == mLastSequence;
    const Milliseconds retryAfter = RetryAfter(candidate->mTier, aNow);
    RefuseQueued(candidate->mReservation.mId,
                 isNewest ? RefusalReason::Overloaded : RefusalReason::Shed,
                 retryAfter,
                 aActions);
  }
}

std::set<ReservationId>
BackendScheduler::MissingTargets(Timestamp aNow) const
{
  std::set<ReservationId> missing;
  std::vector<Microseconds> behind;
  TierRank tier;
  SlotProjection projection = Project(aNow, {});
  for (const QueuedReservation* entry : mQueue.InOrder()) {
    if (tier < entry->mTier) {
      projection.PlaceAll(behind);
      behind.clear();
      tier = entry->mTier;
    }
    const Microseconds length =
      mEstimator.Total(entry->mReservation, mLimits.mAheadLengthQuantile);
    if (projection.NextStart() > entry->mLatestStart) {
      missing.insert(entry->mReservation.mId);
      behind.push_back(length);
    } else {
      projection.Place(length);
    }
  }
  return missing;
}

void
BackendScheduler::CutOverdue(Timestamp aNow, SchedulerActions& aActions)
{
  if (mQueue.IsEmpty()) {
    return;
  }
  const TierRank waiting = mQueue.Head().mTier;
  for (const auto& [grant, slot] : mSlots.All()) {
    const Reservation& reservation = slot.mReservation;
    const bool isOverdue =
      reservation.mDeadline && *reservation.mDeadline < aNow;
    const bool mayGo = slot.mCommitted && reservation.mRepeatable &&
                       !(slot.mTier < waiting) && !slot.mFloor;
    if (isOverdue && mayGo && !IsNearEnd(slot, aNow)) {
      Cut(grant,
          RefusalReason::DeadlineUnreachable,
          RetryAfter(slot.mTier, aNow),
          aActions);
    }
  }
}

std::vector<GrantId>
BackendScheduler::Preemptible(TierRank aTier, Timestamp aNow) const
{
  std::vector<const Slot*> slots;
  for (const auto& [grant, slot] : mSlots.All()) {
    const bool isLower = aTier < slot.mTier;
    const bool isRunning = slot.mCommitted.has_value();
    const bool mayGo =
      !isRunning || (slot.mReservation.mRepeatable && !IsNearEnd(slot, aNow));
    if (isLower && mayGo && !slot.mFloor && !slot.mCut) {
      slots.push_back(&slot);
    }
  }
  const auto order = [](const Slot* aSlot) {
    return std::make_tuple(-aSlot->mTier.mValue,
                           aSlot->mCommitted.has_value(),
                           ~aSlot->mGrant.mValue);
  };
  std::sort(slots.begin(),
            slots.end(),
            [&order](const Slot* aLeft, const Slot* aRight) {
              return order(aLeft) < order(aRight);
            });
  std::vector<GrantId> grants;
  grants.reserve(slots.size());
  for (const Slot* slot : slots) {
    grants.push_back(slot->mGrant);
  }
  return grants;
}

bool
BackendScheduler::IsNearEnd(const Slot& aSlot, Timestamp aNow) const
{
  if (!aSlot.mCommitted || !mEstimator.Knows(aSlot.mReservation.mClass)) {
    return false;
  }
  const Microseconds elapsed = aNow - *aSlot.mCommitted;
  const Microseconds left =
    mEstimator.Remaining(aSlot, aNow, mLimits.mAheadLengthQuantile);
  const auto whole = static_cast<double>((elapsed + left).count());
  return static_cast<double>(left.count()) <= mLimits.mNearEndPart * whole;
}

void
BackendScheduler::Preempt(GrantId aGrant,
                          Timestamp aNow,
                          SchedulerActions& aActions)
{
  const Slot* slot = mSlots.Find(aGrant);
  const Milliseconds retryAfter = RetryAfter(slot->mTier, aNow);
  if (slot->mCommitted) {
    Cut(aGrant, RefusalReason::Shed, retryAfter, aActions);
  } else {
    RevokeGrant(aGrant, RefusalReason::Shed, retryAfter, aActions);
  }
}

} // namespace medlarkeel
