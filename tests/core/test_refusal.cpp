#include "refusal.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

namespace medlarkeel {

BOOST_AUTO_TEST_SUITE(refusal)

BOOST_AUTO_TEST_CASE(EveryReasonHasItsOwnCodeAndAnErrorStatus)
{
  std::set<std::string> codes;
  const int last = static_cast<int>(RefusalReason::Cancelled);
  for (int index = 0; index <= last; ++index) {
    const auto reason = static_cast<RefusalReason>(index);
    codes.insert(ReasonCode(reason));
    BOOST_TEST(HttpStatus(reason) >= 400);
  }
  BOOST_TEST(codes.size() == static_cast<std::size_t>(last + 1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
