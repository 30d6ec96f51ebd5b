#include "forwarding/requestedpause.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace medlarkeel {

namespace {

constexpr std::int64_t kBoundMs = 300'000;
constexpr std::int64_t kUnreadableMs = 1000;

} // namespace

BOOST_AUTO_TEST_SUITE(requestedpause)

BOOST_AUTO_TEST_CASE(SecondsWithAndWithoutFractionAreRead)
{
  BOOST_TEST(ParseRequestedPause("2").mTime.count() == 2000);
  BOOST_TEST(ParseRequestedPause("0.25").mTime.count() == 250);
  BOOST_TEST(ParseRequestedPause("0").mTime.count() == 0);
  BOOST_TEST(ParseRequestedPause("2").mIsUsual);
}

BOOST_AUTO_TEST_CASE(HugeNumbersAreBounded)
{
  const std::string many(400, '9');
  for (const std::string& text : { std::string("86400"), many }) {
    const RequestedPause pause = ParseRequestedPause(text);
    BOOST_TEST(pause.mTime.count() == kBoundMs);
    BOOST_TEST(!pause.mIsUsual);
  }
}

BOOST_AUTO_TEST_CASE(WhatIsNoNumberCountsAsOneSecond)
{
  for (const char* text : { "",
                            "-3",
                            "soon",
                            "1e9",
                            ".",
                            "1.2.3",
                            "Fri, 04 Dec 2026 10:00:00 GMT" }) {
    const RequestedPause pause = ParseRequestedPause(text);
    BOOST_TEST(pause.mTime.count() == kUnreadableMs);
    BOOST_TEST(!pause.mIsUsual);
  }
}

BOOST_AUTO_TEST_CASE(AnyTextGivesABoundedTime)
{
  rc::check("the time is from 0 to the bound", [](const std::string& aText) {
    const auto time = ParseRequestedPause(aText).mTime.count();
    RC_ASSERT(time >= 0 && time <= kBoundMs);
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
