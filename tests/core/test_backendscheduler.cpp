#include "backendscheduler.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace medlarkeel {

namespace {

constexpr Incarnation kIncarnation{ 7 };

Timestamp
At(std::int64_t aMilliseconds)
{
  return Timestamp(Milliseconds(aMilliseconds));
}

ServiceClass
MakeClass(const std::string& aName, int aTier, double aFloor)
{
  ServiceClass serviceClass;
  serviceClass.mName = ClassName(aName);
  serviceClass.mTier = TierRank{ aTier };
  serviceClass.mFloorShare = aFloor;
  return serviceClass;
}

Reservation
MakeReservation(std::uint64_t aId, const std::string& aClass)
{
  Reservation reservation;
  reservation.mId = ReservationId{ aId };
  reservation.mTeam = TeamName("team");
  reservation.mKey = KeyId("key");
  reservation.mClass = ClassName(aClass);
  reservation.mRepeatable = true;
  return reservation;
}

/** A scheduler with one slot, two waiting places and three tiers. */
struct Fixture
{
  explicit Fixture(std::size_t aColdStart = 1, std::size_t aQueueLimit = 2)
  {
    mPool.mConcurrency = 8;
    mPool.mColdStartConcurrency = aColdStart;
    mPool.mQueueLimit = aQueueLimit;
    mScheduler.SetPool(mPool, mClasses, At(0));
  }

  std::vector<ServiceClass> mClasses{ MakeClass("confirmation", 0, 0.0),
                                      MakeClass("draft", 1, 0.0),
                                      MakeClass("review", 2, 0.1) };
  Pool mPool;
  BackendScheduler mScheduler{ kIncarnation };
};

template<typename Action>
std::vector<Action>
Only(const SchedulerActions& aActions)
{
  std::vector<Action> found;
  for (const SchedulerAction& action : aActions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

constexpr std::int64_t kRun = 100;

/**
 * One slot that runs work of equal length, back to back. Output lengths are
 * known after a few runs.
 */
struct OneSlot : Fixture
{
  OneSlot()
    : Fixture(1, 8)
  {
    mPool.mConcurrency = 1;
    mScheduler.SetPool(mPool, mClasses, At(0));
    for (int run = 0; run < 10; ++run) {
      for (const ServiceClass& serviceClass : mClasses) {
        Reserve(serviceClass.mName.Text(), std::nullopt);
        Take(RunToEnd());
      }
    }
  }

  /** Commits the granted reservation, if there is one. */
  void Take(const SchedulerActions& aActions)
  {
    for (const GrantAction& action : Only<GrantAction>(aActions)) {
      mRunning = action;
      const bool isTaken =
        mScheduler.Commit(action.mGrant, kIncarnation, At(mNow)).has_value();
      BOOST_TEST(isTaken);
    }
    for (const RefuseAction& action : Only<RefuseAction>(aActions)) {
      mRefused.push_back(action);
    }
  }

  SchedulerActions RunToEnd()
  {
    const GrantId grant = mRunning.mGrant;
    mScheduler.RecordFirstToken(grant, At(mNow + 20));
    mScheduler.RecordTokens(grant, 1, At(mNow + 20));
    mScheduler.RecordTokens(grant, 8, At(mNow + kRun));
    mNow += kRun;
    return mScheduler.Finish(grant, FinishKind::Succeeded, At(mNow));
  }

  void Reserve(const std::string& aClass, std::optional<std::int64_t> aDeadline)
  {
    Reservation reservation = MakeReservation(++mLastId, aClass);
    if (aDeadline) {
      reservation.mDeadline = At(*aDeadline);
    }
    Take(mScheduler.Reserve(reservation, At(mNow)));
  }

  std::int64_t mNow = 0;
  std::uint64_t mLastId = 0;
  GrantAction mRunning;
  std::vector<RefuseAction> mRefused;
};

/** One slot before two waiting places, and drafts with a target. */
struct SlotWithTarget : OneSlot
{
  SlotWithTarget()
  {
    mClasses[1].mFirstByteTarget = kTarget;
    mPool.mQueueLimit = 2;
    mScheduler.SetPool(mPool, mClasses, At(mNow));
  }

  static constexpr Milliseconds kTarget{ 230 };

  /** Reserves a draft some milliseconds after the slot was last given. */
  void Draft(std::int64_t aAfter)
  {
    mNow += aAfter;
    Reserve("draft", mNow + 50 * kRun);
    mNow -= aAfter;
  }
};

/** A server that has run full windows until its limit was reached. */
struct WarmServer : Fixture
{
  WarmServer()
    : Fixture(1, 64)
  {
    for (int round = 0; round < 20; ++round) {
      Begin();
      FirstTokens(20);
      Tokens(10, 100);
      End(FinishKind::Succeeded);
    }
    BOOST_TEST(Limit() == 8U);
  }

  /** Fills the slots and refuses the rest. */
  void Begin()
  {
    SchedulerActions actions;
    for (int index = 0; index < 8; ++index) {
      const auto more =
        mScheduler.Reserve(MakeReservation(++mLastId, "draft"), At(mNow));
      actions.insert(actions.end(), more.begin(), more.end());
    }
    mGrants = Only<GrantAction>(actions);
    for (const GrantAction& grant : mGrants) {
      BOOST_CHECK(mScheduler.Commit(grant.mGrant, kIncarnation, At(mNow)));
    }
    mScheduler.SetAccepting(false, RefusalReason::Leaving, At(mNow));
    mScheduler.SetAccepting(true, RefusalReason::Leaving, At(mNow));
  }

  void FirstTokens(std::int64_t aElapsed)
  {
    mNow += aElapsed;
    for (const GrantAction& grant : mGrants) {
      mScheduler.RecordFirstToken(grant.mGrant, At(mNow));
      mScheduler.RecordTokens(grant.mGrant, 1, At(mNow));
    }
  }

  void Tokens(std::uint32_t aCount, std::int64_t aElapsed)
  {
    mNow += aElapsed;
    for (const GrantAction& grant : mGrants) {
      mScheduler.RecordTokens(grant.mGrant, aCount, At(mNow));
    }
  }

  void End(FinishKind aKind)
  {
    for (const GrantAction& grant : mGrants) {
      mScheduler.Finish(grant.mGrant, aKind, At(mNow));
    }
  }

  std::size_t Limit() const { return mScheduler.Load(At(mNow)).mLimit; }

  std::int64_t mNow = 0;
  std::uint64_t mLastId = 0;
  std::vector<GrantAction> mGrants;
};

} // namespace

BOOST_AUTO_TEST_SUITE(backendscheduler)

BOOST_AUTO_TEST_CASE(AFloorYieldsToDeadlinesButNotForEver)
{
  OneSlot slot;
  slot.Reserve("confirmation", std::nullopt);
  slot.Reserve("review", std::nullopt);
  const std::uint64_t review = slot.mLastId;
  int passedBy = 0;
  while (slot.mRunning.mId.mValue != review && passedBy < 100) {
    slot.Reserve("confirmation", slot.mNow + 2 * kRun + kRun / 2);
    slot.Take(slot.RunToEnd());
    ++passedBy;
  }
  BOOST_TEST(passedBy > 11);
  BOOST_TEST(passedBy <= 21);
}

BOOST_AUTO_TEST_CASE(WorkThatMissesItsDeadlineIsRefusedBeforeItWaits)
{
  OneSlot slot;
  slot.Reserve("draft", std::nullopt);
  slot.Reserve("draft", slot.mNow + kRun + kRun / 2);
  BOOST_TEST_REQUIRE(slot.mRefused.size() == 1U);
  const Refusal& refusal = slot.mRefused.front().mRefusal;
  BOOST_CHECK(refusal.mReason == RefusalReason::DeadlineUnreachable);
  BOOST_CHECK(refusal.mExecuted == Executed::No);
  BOOST_TEST(refusal.mRetryAfter.count() >= kRun);
  slot.Reserve("draft", slot.mNow + 3 * kRun);
  slot.Reserve("review", std::nullopt);
  BOOST_TEST(slot.mRefused.size() == 1U);
}

BOOST_AUTO_TEST_CASE(WorkThatCanMeetItsTargetGoesBeforeLateWork)
{
  SlotWithTarget slot;
  slot.Draft(0);
  slot.Draft(0);
  slot.Draft(0);
  const std::uint64_t late = slot.mLastId;
  slot.Take(slot.RunToEnd());
  slot.Draft(50);
  const std::uint64_t inTime = slot.mLastId;
  slot.Take(slot.RunToEnd());
  BOOST_TEST(slot.mRunning.mId.mValue == inTime);
  slot.Take(slot.RunToEnd());
  BOOST_TEST(slot.mRunning.mId.mValue == late);
  BOOST_TEST(slot.mRefused.empty());
}

BOOST_AUTO_TEST_CASE(AFullQueueRefusesWhatWouldMissItsTarget)
{
  SlotWithTarget slot;
  slot.Draft(0);
  slot.Draft(0);
  const std::uint64_t missing = slot.mLastId;
  slot.Reserve("confirmation", std::nullopt);
  slot.Take(slot.RunToEnd());
  slot.Draft(45);
  slot.Draft(80);
  BOOST_TEST_REQUIRE(slot.mRefused.size() == 1U);
  BOOST_TEST(slot.mRefused.back().mId.mValue == missing);
  slot.Draft(85);
  BOOST_TEST_REQUIRE(slot.mRefused.size() == 2U);
  BOOST_TEST(slot.mRefused.back().mId.mValue == slot.mLastId);
  BOOST_CHECK(slot.mRefused.back().mRefusal.mReason ==
              RefusalReason::Overloaded);
}

BOOST_AUTO_TEST_CASE(RunningLowerWorkMakesWayForADeadlineAbove)
{
  OneSlot slot;
  slot.Reserve("draft", std::nullopt);
  Reservation urgent = MakeReservation(900, "confirmation");
  urgent.mDeadline = At(slot.mNow + kRun + kRun / 2);
  const auto actions = slot.mScheduler.Reserve(urgent, At(slot.mNow));
  const auto cuts = Only<CutAction>(actions);
  BOOST_TEST_REQUIRE(cuts.size() == 1U);
  BOOST_CHECK(cuts.front().mId == slot.mRunning.mId);
  BOOST_TEST(Only<RefuseAction>(actions).empty());
  const auto next = Only<GrantAction>(slot.mScheduler.Finish(
    slot.mRunning.mGrant, FinishKind::Cancelled, At(slot.mNow + 5)));
  BOOST_TEST_REQUIRE(next.size() == 1U);
  BOOST_CHECK(next.front().mId == urgent.mId);
}

BOOST_AUTO_TEST_CASE(ALongOutputCorrectsTheEstimateOfTheWait)
{
  OneSlot slot;
  slot.Reserve("confirmation", std::nullopt);
  const GrantId running = slot.mRunning.mGrant;
  const Timestamp begin = At(slot.mNow);
  slot.Reserve("confirmation", slot.mNow + 4 * kRun);
  BOOST_TEST(slot.mRefused.empty());
  slot.mScheduler.RecordFirstToken(running, begin + Milliseconds(20));
  slot.mScheduler.RecordTokens(running, 1, begin + Milliseconds(20));
  slot.mScheduler.RecordTokens(running, 18, begin + Milliseconds(200));
  slot.Take(slot.mScheduler.Tick(begin + Milliseconds(200)));
  BOOST_TEST_REQUIRE(slot.mRefused.size() == 1U);
  BOOST_CHECK(slot.mRefused.front().mRefusal.mReason ==
              RefusalReason::DeadlineUnreachable);
}

BOOST_AUTO_TEST_CASE(SlowPrefillsInARowBeginAColdStart)
{
  WarmServer server;
  server.Begin();
  server.FirstTokens(300);
  BOOST_TEST(server.Limit() == 1U);
}

BOOST_AUTO_TEST_CASE(LostWorkBeginsAColdStart)
{
  WarmServer server;
  server.Begin();
  server.End(FinishKind::Lost);
  BOOST_TEST(server.Limit() == 1U);
}

BOOST_AUTO_TEST_CASE(FailuresOfOneWindowHalveTheLimitOnce)
{
  WarmServer server;
  server.Begin();
  server.End(FinishKind::Failed);
  BOOST_TEST(server.Limit() == 4U);
}

BOOST_AUTO_TEST_CASE(ASlowEngineIsSeenByItsTokens)
{
  WarmServer server;
  server.Begin();
  server.FirstTokens(20);
  server.Tokens(10, 400);
  BOOST_TEST(server.Limit() == 4U);
}

BOOST_AUTO_TEST_CASE(ASilentEngineIsSeenWithoutAnyReport)
{
  WarmServer server;
  server.Begin();
  server.FirstTokens(20);
  server.mScheduler.Tick(At(server.mNow + 400));
  BOOST_TEST(server.Limit() == 8U);
  server.mScheduler.Tick(At(server.mNow + 600));
  BOOST_TEST(server.Limit() == 4U);
}

BOOST_AUTO_TEST_CASE(AGrantIsCommittedOnceAndOnlyInTime)
{
  Fixture fixture;
  BackendScheduler& scheduler = fixture.mScheduler;
  const auto grants =
    Only<GrantAction>(scheduler.Reserve(MakeReservation(1, "draft"), At(0)));
  BOOST_TEST_REQUIRE(grants.size() == 1U);
  const GrantId grant = grants.front().mGrant;
  BOOST_TEST(!scheduler.Commit(grant, Incarnation{ 6 }, At(1)).has_value());
  BOOST_TEST(scheduler.Commit(grant, kIncarnation, At(1)).has_value());
  BOOST_TEST(!scheduler.Commit(grant, kIncarnation, At(2)).has_value());
  scheduler.Finish(grant, FinishKind::Succeeded, At(3));

  const auto late =
    Only<GrantAction>(scheduler.Reserve(MakeReservation(2, "draft"), At(10)));
  BOOST_TEST_REQUIRE(late.size() == 1U);
  const auto refused =
    scheduler.Commit(late.front().mGrant, kIncarnation, At(1010));
  BOOST_TEST_REQUIRE(!refused.has_value());
  BOOST_CHECK(refused.error().mReason == RefusalReason::GrantExpired);
  BOOST_CHECK(refused.error().mExecuted == Executed::No);
}

BOOST_AUTO_TEST_CASE(TheLowestTierIsShedFirstAndTheNewestOfIt)
{
  Fixture fixture;
  BackendScheduler& scheduler = fixture.mScheduler;
  scheduler.Reserve(MakeReservation(1, "confirmation"), At(0));
  scheduler.Reserve(MakeReservation(2, "draft"), At(1));
  scheduler.Reserve(MakeReservation(3, "draft"), At(2));
  const auto actions =
    scheduler.Reserve(MakeReservation(4, "confirmation"), At(3));
  const auto shed = Only<RefuseAction>(actions);
  BOOST_TEST_REQUIRE(shed.size() == 1U);
  BOOST_TEST(shed.front().mId.mValue == 3U);
  BOOST_CHECK(shed.front().mRefusal.mReason == RefusalReason::Shed);
  BOOST_CHECK(shed.front().mRefusal.mExecuted == Executed::No);
}

BOOST_AUTO_TEST_CASE(AWithdrawnKeyEndsQueuedAndGrantedWork)
{
  Fixture fixture;
  BackendScheduler& scheduler = fixture.mScheduler;
  const auto grants =
    Only<GrantAction>(scheduler.Reserve(MakeReservation(1, "draft"), At(0)));
  scheduler.Reserve(MakeReservation(2, "draft"), At(1));
  const auto refused = Only<RefuseAction>(
    scheduler.WithdrawKeys([](const TeamName&, const KeyId&) { return true; },
                           WithdrawnStreams::Finish,
                           At(2)));
  BOOST_TEST(refused.size() == 2U);
  const auto commit =
    scheduler.Commit(grants.front().mGrant, kIncarnation, At(3));
  BOOST_TEST(!commit.has_value());
  BOOST_TEST(scheduler.Load(At(3)).mRunning == 0U);
}

BOOST_AUTO_TEST_CASE(AClosedAgentHandsBackWhatHasNotRun)
{
  Fixture fixture;
  BackendScheduler& scheduler = fixture.mScheduler;
  const auto running =
    Only<GrantAction>(scheduler.Reserve(MakeReservation(1, "draft"), At(0)));
  BOOST_TEST(
    scheduler.Commit(running.front().mGrant, kIncarnation, At(0)).has_value());
  scheduler.Reserve(MakeReservation(2, "draft"), At(1));
  const auto refused = Only<RefuseAction>(
    scheduler.SetAccepting(false, RefusalReason::ZoneOut, At(2)));
  BOOST_TEST_REQUIRE(refused.size() == 1U);
  BOOST_TEST(refused.front().mId.mValue == 2U);
  const auto later =
    Only<RefuseAction>(scheduler.Reserve(MakeReservation(3, "draft"), At(3)));
  BOOST_TEST_REQUIRE(later.size() == 1U);
  BOOST_CHECK(later.front().mRefusal.mReason == RefusalReason::ZoneOut);
  BOOST_TEST(scheduler.Load(At(3)).mRunning == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
