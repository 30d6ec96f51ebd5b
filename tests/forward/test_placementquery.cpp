#include "placementquery.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

BOOST_AUTO_TEST_SUITE(placementquery)

BOOST_AUTO_TEST_CASE(FieldsAreDecoded)
{
  const auto query =
    ParsePlacementQuery("path=%2Fchat%2Fa%20b&host=api.example&team=t%26u&"
                        "prompt=ff%3A200,1b:100&usage=300%2C50");
  BOOST_REQUIRE(query.has_value());
  BOOST_TEST(query.value().mPath == "/chat/a b");
  BOOST_TEST(query.value().mHost.value() == "api.example");
  BOOST_TEST(query.value().mTeam->Text() == "t&u");
  const PromptDescription& prompt = query.value().mPrompt.value();
  BOOST_TEST(prompt.mPromptTokens == 300U);
  BOOST_REQUIRE(prompt.mParts.size() == 2U);
  BOOST_TEST(prompt.mParts[0].mId == 0xffU);
}

// Guards against bad input that is answered as if it were another request.
BOOST_AUTO_TEST_CASE(BadInputIsRefusedWithAReason)
{
  for (const std::string& text : std::vector<std::string>{
         "",
         "path=",
         "path=chat",
         "path",
         "host=a",
         "path=/a&path=/b",
         "path=/a&key=secret",
         "path=/a%2",
         "path=/a%zz",
         "path=/a%-1",
         "path=/a&prompt=a:1",
         "path=/a&usage=",
         "path=/a&usage=10",
         "path=/a&usage=10,x",
         "path=/a&usage=-1,5",
         "path=/a&usage=99999999999,5",
         "path=/a&usage=10,5&prompt=a",
         "path=/a&usage=10,5&prompt=xyz:5",
         "path=/a&usage=10,5&prompt=a:5,,b:6",
         "path=/" + std::string(kMaximumPlacementQuery, 'a') }) {
    BOOST_TEST_CONTEXT(text.substr(0, 40))
    {
      const auto query = ParsePlacementQuery(text);
      BOOST_REQUIRE(!query.has_value());
      BOOST_TEST(query.error().mIsInvalidQuery);
      BOOST_TEST(!query.error().mReason.empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
