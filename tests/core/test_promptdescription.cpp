#include "forwarding/promptdescription.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

BOOST_AUTO_TEST_SUITE(promptdescription)

BOOST_AUTO_TEST_CASE(PartsAndSizesAreParsed)
{
  const auto prompt =
    ParsePromptDescription("5c1e:800, ff:410,1:250", "1460,80");
  BOOST_REQUIRE(prompt.has_value());
  BOOST_TEST(prompt->mPromptTokens == 1460U);
  BOOST_TEST(prompt->mMaximumOutputTokens == 80U);
  BOOST_REQUIRE(prompt->mParts.size() == 3U);
  BOOST_TEST(prompt->mParts[0].mId == 0x5c1eU);
  BOOST_TEST(prompt->mParts[2].mTokens == 250U);
  BOOST_TEST(prompt->AffinityKey() == 0xffU);
}

BOOST_AUTO_TEST_CASE(SinglePartHasNoAffinityKey)
{
  BOOST_TEST(ParsePromptDescription("5:8", "8,1")->AffinityKey() == 0U);
}

BOOST_AUTO_TEST_CASE(MalformedTextsAreRejected)
{
  for (const char* parts : { "x:1", "5", "5:", "5:-1", ":1", "5:1:2" }) {
    BOOST_TEST(!ParsePromptDescription(parts, "1,1").has_value());
  }
  for (const char* usage : { "", "1", "1,", "a,1", "1,2,3", "-1,2" }) {
    BOOST_TEST(!ParsePromptDescription("5:1", usage).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
