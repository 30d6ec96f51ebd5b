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
    mScheduler.SetPool(mPool,
                       { MakeClass("confirmation", 0, 0.0),
                         MakeClass("draft", 1, 0.0),
                         MakeClass("review", 2, 0.1) },
                       At(0));
  }

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

} // namespace

BOOST_AUTO_TEST_SUITE(backendscheduler)

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
