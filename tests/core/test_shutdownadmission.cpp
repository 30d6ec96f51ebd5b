#include "forwarding/shutdownadmission.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

ForwardRoute
Route(RepeatRule aRule, bool aIsStream, bool aIsResumable = false)
{
  ForwardRoute route;
  route.mRepeatRule = aRule;
  route.mIsStream = aIsStream;
  route.mIsResumable = aIsResumable;
  return route;
}

const ForwardRoute kOnce = Route(RepeatRule::AtMostOnce, false);
const ForwardRoute kAgain = Route(RepeatRule::Repeatable, false);
const ForwardRoute kStream = Route(RepeatRule::AtMostOnce, true);

bool
CanEnd(const ForwardRoute& aRoute,
       int aTimeLimitMs,
       int aTimeLeftMs,
       std::optional<int> aRecentMs)
{
  ShutdownRequest request;
  request.mTimeLimit = Milliseconds(aTimeLimitMs);
  request.mTimeLeft = Milliseconds(aTimeLeftMs);
  if (aRecentMs) {
    request.mRecentDuration = Milliseconds(*aRecentMs);
  }
  return CanEndBeforeShutdown(aRoute, request);
}

} // namespace

BOOST_AUTO_TEST_SUITE(shutdownadmission)

BOOST_AUTO_TEST_CASE(RequestThatEndsByItsTimeLimitIsBegun)
{
  for (const ForwardRoute& route : { kOnce, kAgain, kStream }) {
    BOOST_TEST(CanEnd(route, 3000, 3000, std::nullopt));
    BOOST_TEST(!CanEnd(route, 3000, 2999, std::nullopt));
    BOOST_TEST(!CanEnd(route, 3000, -10, std::nullopt));
  }
}

// A booking is begun whose end its caller may never learn (review/3).
BOOST_AUTO_TEST_CASE(RequestThatMayRunOnceIsNotBegunOnAnEstimate)
{
  BOOST_TEST(!CanEnd(kOnce, 8000, 7600, 10));
  BOOST_TEST(CanEnd(kAgain, 8000, 7600, 10));
}

// Streams are refused through the whole shutdown although most end soon.
BOOST_AUTO_TEST_CASE(StreamIsBegunIfTwiceTheRecentDurationIsLeft)
{
  BOOST_TEST(CanEnd(kStream, 12'000, 4000, 2000));
  BOOST_TEST(!CanEnd(kStream, 12'000, 3999, 2000));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
