#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace medlarkeel {

BOOST_AUTO_TEST_CASE(ProgramFolderIsGiven)
{
  BOOST_TEST(std::getenv("MEDLARKEEL_BIN") != nullptr);
}

} // namespace medlarkeel
