#include "sourcefile.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace medlarkeel {

std::string
SourceFile(const std::string& aName)
{
  const char* folder = std::getenv("MEDLARKEEL_SOURCE");
  BOOST_REQUIRE(folder != nullptr);
  std::ifstream file(std::string(folder) + "/" + aName);
  BOOST_REQUIRE(file.is_open());
  return { std::istreambuf_iterator<char>(file),
           std::istreambuf_iterator<char>() };
}

} // namespace medlarkeel
