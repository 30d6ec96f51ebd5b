#include "forwarding/serverlimits.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace medlarkeel {

namespace {

constexpr ProcessHash kProcess = 7;
constexpr RequestRate kOnePerSecond{ 1.0 };

Timestamp
At(int aMilliseconds)
{
  return Timestamp(Seconds(1000)) + Milliseconds(aMilliseconds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(serverlimits)

BOOST_AUTO_TEST_CASE(ParsesDecimalRates)
{
  BOOST_TEST(ParseRequestRate("12")->mPerSecond == 12.0);
  BOOST_TEST(ParseRequestRate("0.25")->mPerSecond == 0.25);
  BOOST_TEST(ParseRequestRate("0")->mPerSecond == 0.01);
  BOOST_TEST(ParseRequestRate(std::string(400, '9'))->mPerSecond == 1e6);
}

BOOST_AUTO_TEST_CASE(RejectsUnusableRates)
{
  for (const char* text :
       { "", "-1", "1e3", "nan", "inf", ".5", "1,5", "1, 2", "1 2", "x" }) {
    BOOST_TEST_CONTEXT(text)
    {
      BOOST_TEST(!ParseRequestRate(text));
    }
  }
}

BOOST_AUTO_TEST_CASE(ReportsOnlyChanges)
{
  ServerLimits limits;
  BOOST_TEST((limits.RecordStated(kProcess, kOnePerSecond, At(0)) ==
              LimitChange::Added));
  BOOST_TEST((limits.RecordStated(kProcess, kOnePerSecond, At(10)) ==
              LimitChange::None));
  BOOST_TEST((limits.RecordStated(kProcess, RequestRate{ 2.0 }, At(20)) ==
              LimitChange::Changed));
  BOOST_TEST((limits.RecordNotStated(kProcess, At(30)) == LimitChange::Ended));
  BOOST_TEST((limits.RecordNotStated(kProcess, At(40)) == LimitChange::None));
  BOOST_TEST((limits.RecordNotStated(8, At(40)) == LimitChange::None));
  BOOST_TEST((limits.RecordStated(kProcess, kOnePerSecond, At(50)) ==
              LimitChange::Added));
}

// An answer that was made before the limit arrives after one that states it.
BOOST_AUTO_TEST_CASE(OvertakenAnswerDoesNotEndALimit)
{
  ServerLimits limits;
  limits.RecordStated(kProcess, kOnePerSecond, At(100));
  BOOST_TEST((limits.RecordNotStated(kProcess, At(99)) == LimitChange::None));
  BOOST_TEST(limits.StatedRate(kProcess).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
