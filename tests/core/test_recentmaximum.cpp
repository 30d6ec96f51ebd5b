#include "forwarding/recentmaximum.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

BOOST_AUTO_TEST_SUITE(recentmaximum)

BOOST_AUTO_TEST_CASE(OldValuesAreForgotten)
{
  using std::chrono::seconds;
  const Timestamp start{ seconds(1000) };
  RecentMaximum longest;
  BOOST_TEST(!longest.Value(start).has_value());
  longest.Record(Milliseconds(900), start);
  longest.Record(Milliseconds(100), start + seconds(21));
  BOOST_TEST(longest.Value(start + seconds(21))->count() == 900);
  longest.Record(Milliseconds(100), start + seconds(42));
  BOOST_TEST(longest.Value(start + seconds(42))->count() == 100);
  BOOST_TEST(!longest.Value(start + seconds(90)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
