#include "servereventcounter.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

BOOST_AUTO_TEST_SUITE(servereventcounter)

BOOST_AUTO_TEST_CASE(CountsEventsWhereverTheBytesAreSplit)
{
  const std::string_view answer = "data: a\n\nevent: x\ndata: b\n\n";
  for (std::size_t split = 0; split <= answer.size(); ++split) {
    ServerEventCounter counter;
    const std::size_t first = counter.Add(answer.substr(0, split));
    BOOST_TEST(first + counter.Add(answer.substr(split)) == 2U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
