#include "forwarding/permitissuer.h"
#include "forwarding/retryschedule.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace medlarkeel {

namespace {

constexpr ProcessHash kServer = 7;
constexpr RequestRate kTwoPerSecond{ 2.0 };

Timestamp
At(int aMilliseconds)
{
  return Timestamp(Seconds(1000)) + Milliseconds(aMilliseconds);
}

/** @return Permits that are issued when one is asked for each 10 ms. */
int
CountIssued(PermitIssuer& aIssuer, RequestRate aRate, int aFromMs, int aToMs)
{
  int issued = 0;
  for (int atMs = aFromMs; atMs < aToMs; atMs += 10) {
    issued += aIssuer.Decide(kServer, aRate, At(atMs)).mIsGranted ? 1 : 0;
  }
  return issued;
}

} // namespace

BOOST_AUTO_TEST_SUITE(permitissuer)

BOOST_AUTO_TEST_CASE(IssuesItsRateWithoutAnInitialBurst)
{
  PermitIssuer issuer;
  BOOST_TEST(!issuer.Decide(kServer, kTwoPerSecond, At(0)).mIsGranted);
  BOOST_TEST(CountIssued(issuer, kTwoPerSecond, 0, 10'000) == 19);
}

BOOST_AUTO_TEST_CASE(IssuesLessThanOnePerSecond)
{
  PermitIssuer issuer;
  BOOST_TEST(CountIssued(issuer, RequestRate{ 0.1 }, 0, 95'000) == 9);
}

BOOST_AUTO_TEST_CASE(IdleTimeLeavesASmallBurst)
{
  PermitIssuer issuer;
  issuer.Decide(kServer, kTwoPerSecond, At(0));
  BOOST_TEST(CountIssued(issuer, kTwoPerSecond, 60'000, 60'100) == 2);
}

BOOST_AUTO_TEST_CASE(DeniedEntriesAskAgainAtDifferentTimes)
{
  PermitIssuer issuer;
  std::set<std::int64_t> delays;
  for (int i = 0; i < 6; ++i) {
    const PermitDecision decision =
      issuer.Decide(kServer, kTwoPerSecond, At(0));
    BOOST_TEST(!decision.mIsGranted);
    BOOST_TEST(decision.mRetryDelay.count() >= 500);
    BOOST_TEST(decision.mRetryDelay.count() <= 4001);
    delays.insert(decision.mRetryDelay.count());
  }
  BOOST_TEST(delays.size() >= 4U);
}

BOOST_AUTO_TEST_CASE(RetriesOfRefusedCallersFollowTheRate)
{
  RetrySchedule schedule;
  BOOST_TEST(schedule.NextDelay(At(300), kTwoPerSecond, At(0)).count() == 300);
  BOOST_TEST(schedule.NextDelay(At(300), kTwoPerSecond, At(0)).count() == 800);
  BOOST_TEST(schedule.NextDelay(At(300), kTwoPerSecond, At(10)).count() ==
             1290);
  BOOST_TEST(schedule.NextDelay(At(9000), kTwoPerSecond, At(9000)).count() ==
             0);
  BOOST_TEST(schedule.NextDelay(At(0), RequestRate{ 0.0 }, At(9000)).count() ==
             60'000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
