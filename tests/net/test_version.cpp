#include "version.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace medlarkeel {

BOOST_AUTO_TEST_CASE(VersionIsSet)
{
  BOOST_TEST(!std::string(Version()).empty());
}

} // namespace medlarkeel
