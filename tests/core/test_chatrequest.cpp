#include "chatrequest.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

ChatRequestResult
Parse(std::string_view aBody)
{
  return ParseChatRequest(aBody, JsonLimits{ 4096, 8 });
}

} // namespace

BOOST_AUTO_TEST_SUITE(chatrequest)

BOOST_AUTO_TEST_CASE(ReadsModelStreamLimitAndPrompt)
{
  const auto parsed = Parse(
    R"({"model":"m","stream":true,"max_tokens":7,"messages":[
        {"role":"system","content":"a"},
        {"role":"user","content":[{"type":"text","text":"b"}]}]})");
  BOOST_REQUIRE(parsed);
  BOOST_TEST(parsed.value().mModel == "m");
  BOOST_TEST(parsed.value().mStream);
  BOOST_TEST(parsed.value().mMaxTokens == 7U);
  BOOST_TEST(parsed.value().mPrompt == "ab");
}

BOOST_AUTO_TEST_CASE(RefusesHostileAndBrokenBodies)
{
  const std::string deep(2000, '[');
  const std::string large(5000, ' ');
  for (const std::string& body :
       { std::string(),
         std::string("[]"),
         deep,
         large,
         std::string(R"({"messages":[{"content":"x"}]})"),
         std::string(R"({"model":"m"})"),
         std::string(R"({"model":"m","messages":[3]})"),
         std::string(R"({"model":"m","messages":[],"stream":true})"),
         std::string(
           R"({"model":"m","max_tokens":-1,"messages":[{"content":"x"}]})"),
         std::string(
           R"({"model":"m","stream":1,"messages":[{"content":"x"}]})") }) {
    BOOST_TEST(!Parse(body).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
