#include "forwarding/eratracker.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };
constexpr Milliseconds kHold{ 4000 };

} // namespace

BOOST_AUTO_TEST_SUITE(eratracker)

/** Guards against going back to an earlier era with an answer that is read
 * late. */
BOOST_AUTO_TEST_CASE(EarlierEraIsNoNewOne)
{
  EraTracker eras{ kHold };
  BOOST_TEST(!eras.Record(DirectoryEra{ 0 }, kStart));
  BOOST_TEST(eras.Record(DirectoryEra{ 3 }, kStart));
  BOOST_TEST(!eras.Record(DirectoryEra{ 2 }, kStart + Seconds(1)));
  BOOST_TEST(eras.Current().mValue == 3U);
  BOOST_TEST(eras.IsReadDue());
  eras.RecordRead();
  BOOST_TEST(!eras.IsReadDue());
}

/** Guards against entries that withhold items for longer than others because
 * they learned of the era later. */
BOOST_AUTO_TEST_CASE(HoldTimeBeginsWithTheEarliestKnownBeginning)
{
  EraTracker eras{ kHold };
  eras.Record(DirectoryEra{ 3 }, kStart + Seconds(5));
  eras.Record(DirectoryEra{ 3 }, kStart + Seconds(6));
  BOOST_CHECK(eras.HoldUntil() == kStart + Seconds(5) + kHold);
  eras.Record(DirectoryEra{ 3 }, kStart + Seconds(1));
  BOOST_CHECK(eras.HoldUntil() == kStart + Seconds(1) + kHold);
  BOOST_TEST(eras.Age(kStart + Seconds(7)).count() == 6000);
  eras.Record(DirectoryEra{ 2 }, kStart);
  BOOST_CHECK(eras.HoldUntil() == kStart + Seconds(1) + kHold);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
