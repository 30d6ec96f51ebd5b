#include "forwarding/requestedpause.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace medlarkeel {

namespace {

constexpr std::int64_t kMaximumPauseMs = 300'000;
constexpr std::int64_t kInvalidValuePauseMs = 1000;

} // namespace

BOOST_AUTO_TEST_SUITE(requestedpause)

BOOST_AUTO_TEST_CASE(SecondsWithAndWithoutFractionAreParsed)
{
  BOOST_TEST(ParseRequestedPause("2").mTime.count() == 2000);
  BOOST_TEST(ParseRequestedPause("0.25").mTime.count() == 250);
  BOOST_TEST(ParseRequestedPause("0").mTime.count() == 0);
  BOOST_TEST(ParseRequestedPause("2").mIsInRange);
}

// A server that sends a very large number would otherwise stay unused for that
// time. 400 digits exceed the range of double.
BOOST_AUTO_TEST_CASE(LargeNumbersAreLimitedToTheMaximum)
{
  const std::string many(400, '9');
  for (const std::string& text : { std::string("86400"), many }) {
    const RequestedPause pause = ParseRequestedPause(text);
    BOOST_TEST(pause.mTime.count() == kMaximumPauseMs);
    BOOST_TEST(!pause.mIsInRange);
  }
}

BOOST_AUTO_TEST_CASE(InvalidValuesGiveOneSecond)
{
  for (const char* text : { "",
                            "-3",
                            "soon",
                            "1e9",
                            ".",
                            "1.2.3",
                            "Fri, 04 Dec 2026 10:00:00 GMT" }) {
    const RequestedPause pause = ParseRequestedPause(text);
    BOOST_TEST(pause.mTime.count() == kInvalidValuePauseMs);
    BOOST_TEST(!pause.mIsInRange);
  }
}

BOOST_AUTO_TEST_CASE(AnyTextGivesAPauseWithinTheBounds)
{
  rc::check("the pause is from 0 to the maximum", [](const std::string& aText) {
    const auto time = ParseRequestedPause(aText).mTime.count();
    RC_ASSERT(time >= 0 && time <= kMaximumPauseMs);
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
