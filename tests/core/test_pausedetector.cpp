#include "pausedetector.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

BOOST_AUTO_TEST_SUITE(pausedetector)

BOOST_AUTO_TEST_CASE(OnlyEvidenceFromAfterThePauseValidates)
{
  PauseDetector detector(Seconds(1));
  const Timestamp start{ Seconds(100) };
  BOOST_TEST(!detector.Observe(start));
  BOOST_TEST(!detector.Observe(start + Seconds(1)));
  BOOST_TEST(!detector.MustRevalidate());
  const auto gap = detector.Observe(start + Seconds(31));
  BOOST_REQUIRE(gap.has_value());
  BOOST_TEST((*gap == Seconds(30)));
  BOOST_TEST(!detector.Revalidated(start + Seconds(30)));
  BOOST_TEST(detector.MustRevalidate());
  BOOST_TEST(detector.Revalidated(start + Seconds(31)));
  BOOST_TEST(!detector.MustRevalidate());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
