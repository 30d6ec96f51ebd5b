#include "coldstartlimit.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

constexpr std::size_t kCold = 2;
constexpr std::size_t kWarm = 8;
const Timestamp kStart{ Seconds(100) };

ColdStartLimit
MakeLimit()
{
  ColdStartLimit limit;
  limit.SetBounds(kCold, kWarm);
  limit.SetColdTime(Seconds(60), kStart);
  return limit;
}

void
Succeed(ColdStartLimit& aLimit, Timestamp aAt, int aCount)
{
  for (int index = 0; index < aCount; ++index) {
    aLimit.RecordSuccess(aAt, true);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(coldstartlimit)

BOOST_AUTO_TEST_CASE(SuccessDoesNotEndAColdStartEarly)
{
  ColdStartLimit limit = MakeLimit();
  Succeed(limit, kStart + Seconds(59), 100);
  BOOST_TEST(limit.Limit() == kCold);
  Succeed(limit, kStart + Seconds(60), 100);
  BOOST_TEST(limit.Limit() == kWarm);
}

BOOST_AUTO_TEST_CASE(ARestartBeginsTheTimeAgain)
{
  ColdStartLimit limit = MakeLimit();
  Succeed(limit, kStart + Seconds(60), 100);
  limit.Restart(kStart + Seconds(90));
  Succeed(limit, kStart + Seconds(149), 100);
  BOOST_TEST(limit.Limit() == kCold);
  Succeed(limit, kStart + Seconds(150), 100);
  BOOST_TEST(limit.Limit() == kWarm);
}

BOOST_AUTO_TEST_CASE(ANewDocumentDoesNotBeginTheTimeAgain)
{
  ColdStartLimit limit = MakeLimit();
  limit.SetColdTime(Seconds(60), kStart + Seconds(50));
  Succeed(limit, kStart + Seconds(60), 100);
  BOOST_TEST(limit.Limit() == kWarm);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
