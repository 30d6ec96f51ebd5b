#include "eventcatalogue.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace medlarkeel {

BOOST_AUTO_TEST_SUITE(eventcatalogue)

BOOST_AUTO_TEST_CASE(NumbersAndNamesAreUniqueAndSorted)
{
  std::set<std::string> names;
  int last = 0;
  for (const EventEntry& entry : EventCatalogue()) {
    BOOST_TEST(static_cast<int>(entry.mEvent) > last);
    BOOST_TEST(names.insert(entry.mName).second);
    BOOST_TEST(&DescribeEvent(entry.mEvent) == &entry);
    last = static_cast<int>(entry.mEvent);
  }
}

BOOST_AUTO_TEST_CASE(PageEqualsCatalogue)
{
  const std::string source = std::getenv("MEDLARKEEL_SOURCE");
  const std::string binaries = std::getenv("MEDLARKEEL_BIN");
  std::ofstream(binaries + "/EVENTS.md") << RenderEventCatalogue();
  std::ostringstream page;
  page << std::ifstream(source + "/docs/EVENTS.md").rdbuf();
  BOOST_TEST(page.str() == RenderEventCatalogue(),
             "cp build/plain/EVENTS.md docs/EVENTS.md brings it up to date");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
