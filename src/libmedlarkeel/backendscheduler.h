#pragma once

#include "coldstartlimit.h"
#include "environmentdocument.h"
#include "floorshare.h"
#include "loadreport.h"
#include "reservation.h"
#include "reservationqueue.h"
#include "serviceestimator.h"
#include "servicerate.h"
#include "slotprojection.h"
#include "slottable.h"
#include "types.h"

#include <boost/outcome/result.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace medlarkeel {

/** Bounds of the scheduler that the document doesn't set. */
struct SchedulerLimits
{
  /** Time that a grant waits for its commit. */
  Milliseconds mGrantValidity{ 1000 };
  /** Pause after which the backend server is taken to be cold. */
  Milliseconds mLongPause{ 10000 };
  /** Time between two reviews of queued and running work. */
  Milliseconds mReviewInterval{ 100 };
  /** Quantile of the own length at which a deadline must still be met. */
  double mOwnLengthQuantile = 0.5;
  /** Quantile of the length of the work that goes first. */
  double mAheadLengthQuantile = 0.5;
  /** Part of the whole that is left when work is near its end. */
  double mNearEndPart = 0.25;
  /** Part of a target that is left for the way to the backend server. */
  double mTargetReserve = 0.1;
};

using CommitResult = BOOST_OUTCOME_V2_NAMESPACE::
  result<void, Refusal, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/**
 * Decides what one backend server takes and in which order. Tiers are strict.
 * Inside a tier, work that can still meet its target comes before late work,
 * and then the earliest due time first. Each class with a floor share is owed
 * a part of the dispatches while it waits.
 *
 * Not thread-safe: the driver serialises all calls and carries out the
 * actions that they return.
 */
class BackendScheduler
{
public:
  using IsWithdrawn = std::function<bool(const TeamName&, const KeyId&)>;

  explicit BackendScheduler(Incarnation aIncarnation,
                            SchedulerLimits aLimits = {});

  /** Takes the document's figures; queued and running work goes on. */
  SchedulerActions SetPool(const Pool& aPool,
                           const std::vector<ServiceClass>& aClasses,
                           Timestamp aNow);

  /** Queues, grants or refuses a reservation; its id must be new. */
  SchedulerActions Reserve(const Reservation& aReservation, Timestamp aNow);

  /**
   * Starts the work of a grant; on success the driver sends it to the engine.
   *
   * @return A refusal "not run" when the grant is void: expired, revoked or
   *         of another incarnation. The next Tick gives its slot to others.
   */
  CommitResult Commit(GrantId aGrant, Incarnation aIncarnation, Timestamp aNow);

  void RecordFirstToken(GrantId aGrant, Timestamp aNow);

  /** @param aCount Tokens since the last call, the first token included. */
  void RecordTokens(GrantId aGrant, std::uint32_t aCount, Timestamp aNow);

  /**
   * Frees the slot of committed work. Lost work that was committed since the
   * last cold start begins another.
   */
  SchedulerActions Finish(GrantId aGrant, FinishKind aKind, Timestamp aNow);

  /**
   * Drops a reservation whose caller left. Committed work keeps its slot
   * until the driver calls Finish: it cancels repeatable work at the engine
   * and lets other work run to its end.
   */
  SchedulerActions Cancel(ReservationId aId, Timestamp aNow);

  /** Expires grants and reviews deadlines; see NextWakeup. */
  SchedulerActions Tick(Timestamp aNow);

  /** @return When Tick is needed; nothing while all is idle. */
  std::optional<Timestamp> NextWakeup() const;

  /**
   * @param aAccepting Whether new work is taken. Otherwise queued work and
   *        uncommitted grants are handed back as not run.
   * @param aReason Reason of the refusals while nothing is accepted.
   */
  SchedulerActions SetAccepting(bool aAccepting,
                                RefusalReason aReason,
                                Timestamp aNow);

  /**
   * Refuses queued and granted work of withdrawn keys.
   *
   * @param aRunning Whether running work is cut; work that may not be
   *        repeated always finishes.
   */
  SchedulerActions WithdrawKeys(const IsWithdrawn& aIsWithdrawn,
                                WithdrawnStreams aRunning,
                                Timestamp aNow);

  /** Voids all grants; a long gap is taken as a cold start. */
  SchedulerActions ResumeAfterPause(Microseconds aGap, Timestamp aNow);

  /**
   * Begins a cold start and voids all grants. The driver reports the work
   * that was lost by Finish.
   */
  SchedulerActions BackendRestarted(Timestamp aNow);

  /** Begins a cold start: the engine's prefix cache is gone. */
  SchedulerActions CacheLost(Timestamp aNow);

  /** @return Load as other processes hear of it. */
  LoadSnapshot Load(Timestamp aNow) const;

private:
  void BeginColdStart(Timestamp aNow);
  void Review(Timestamp aNow, SchedulerActions& aActions);
  void ExpireGrants(Timestamp aNow, SchedulerActions& aActions);
  void WatchProgress(Timestamp aNow);
  void CutOverdue(Timestamp aNow, SchedulerActions& aActions);
  void DropUnreachable(Timestamp aNow, SchedulerActions& aActions);
  void EnforceQueueLimit(Timestamp aNow, SchedulerActions& aActions);
  void Dispatch(Timestamp aNow, SchedulerActions& aActions);

  void Grant(const QueuedReservation& aEntry,
             bool aFloor,
             Timestamp aNow,
             SchedulerActions& aActions);
  const QueuedReservation* FloorTurn(Timestamp aNow) const;
  bool WouldBreakDeadline(const QueuedReservation& aFloor,
                          Timestamp aNow) const;
  std::size_t ReachableAbove(TierRank aTier, SlotProjection aProjection) const;

  bool IsReachable(const QueuedReservation& aEntry, Timestamp aStart) const;
  SlotProjection Project(Timestamp aNow, const std::set<GrantId>& aFreed) const;
  std::vector<GrantId> Preemptible(TierRank aTier, Timestamp aNow) const;
  bool IsNearEnd(const Slot& aSlot, Timestamp aNow) const;
  std::set<GrantId> FreedFor(const QueuedReservation& aEntry,
                             const std::vector<Microseconds>& aAhead,
                             Timestamp aNow) const;
  void Preempt(GrantId aGrant, Timestamp aNow, SchedulerActions& aActions);

  void RefuseQueued(ReservationId aId,
                    RefusalReason aReason,
                    Milliseconds aRetryAfter,
                    SchedulerActions& aActions);
  void RevokeGrant(GrantId aGrant,
                   RefusalReason aReason,
                   Milliseconds aRetryAfter,
                   SchedulerActions& aActions);
  void Cut(GrantId aGrant,
           RefusalReason aReason,
           Milliseconds aRetryAfter,
           SchedulerActions& aActions);
  void RevokeAllGrants(RefusalReason aReason,
                       Timestamp aNow,
                       SchedulerActions& aActions);
  Milliseconds RetryAfter(TierRank aTier, Timestamp aNow) const;
  QueuedReservation Schedule(const Reservation& aReservation,
                             const ServiceClass& aClass,
                             Timestamp aNow) const;
  std::set<ReservationId> MissingTargets(Timestamp aNow) const;

  const Incarnation mIncarnation;
  const SchedulerLimits mLimits;
  Pool mPool;
  std::map<ClassName, ServiceClass> mClasses;
  bool mAccepting = true;
  RefusalReason mClosedReason = RefusalReason::Leaving;

  ReservationQueue mQueue;
  SlotTable mSlots;
  FloorShare mFloors;
  ColdStartLimit mLimit;
  ServiceEstimator mEstimator;
  ServiceRate mRate;

  std::uint64_t mLastGrant = 0;
  std::uint64_t mLastSequence = 0;
  Timestamp mLastReview{};
  Timestamp mLastColdStart = Timestamp::min();
  /** Whether a slot came free that Tick has not yet given away. */
  bool mReviewDue = false;
  /** Whether a cold start began and older grants are void. */
  bool mGrantsVoid = false;
};

} // namespace medlarkeel
