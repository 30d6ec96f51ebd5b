#include "jsonbytes.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace medlarkeel {

namespace {

using Json = nlohmann::json;

/** @return A JSON string with these bytes between its quotes, parsed after what
 * isn't allowed was escaped. */
std::string
Parsed(const std::string& aBytes)
{
  return Json::parse(EscapeInvalidBytes('"' + aBytes + '"')).get<std::string>();
}

} // namespace

BOOST_AUTO_TEST_SUITE(jsonbytes)

BOOST_AUTO_TEST_CASE(BytesThatAreNoTextAreRestored)
{
  for (const std::string bytes : { "a\xff",
                                   "\xc3(",
                                   "\xed\xa0\x80",
                                   "\xf0\x9f\x92",
                                   "\xc0\xaf",
                                   "\x80\x80z",
                                   "\xf4\x90\x80\x80",
                                   "\xf4\x8f\xbf\xbf",
                                   "\xc3\xa9\xff",
                                   "\x01\x1f\n" }) {
    BOOST_TEST(RestoreBytes(Parsed(bytes)).value_or("nothing") == bytes);
  }
}

BOOST_AUTO_TEST_CASE(ValidJsonStays)
{
  for (const std::string json :
       { R"({"a":["\u00e9","\ud83d\ude00","\\ud800","\"",1.5,null]})",
         "{\n\t\"a\" : \"\xc3\xa9\"\r\n}" }) {
    BOOST_TEST(EscapeInvalidBytes(json) == json);
  }
}

BOOST_AUTO_TEST_CASE(SingleSurrogatesAreBytesOrUnknown)
{
  BOOST_TEST(RestoreBytes(Parsed("a\\udcff\\udc80")).value() == "a\xff\x80");
  for (const char* text : { "\\ud800",
                            "\\udc00",
                            "\\ud800\\ud800",
                            "\\ud800x",
                            "\\udbff\\udfff" }) {
    BOOST_TEST(!RestoreBytes(Parsed(text)));
  }
}

BOOST_AUTO_TEST_CASE(BrokenEscapesStayBroken)
{
  for (const std::string json :
       { "\"\\", "\"\\u12", "\"\\uzzzz\"", "\"\\\xff\"" }) {
    BOOST_TEST(
      Json::parse(EscapeInvalidBytes(json), nullptr, false).is_discarded());
  }
}

BOOST_AUTO_TEST_CASE(AllBytesAreRestored)
{
  const bool holds = rc::check([](const std::vector<unsigned char>& aBytes) {
    std::string bytes;
    for (const unsigned char byte : aBytes) {
      if (byte != '"' && byte != '\\') {
        bytes += static_cast<char>(byte);
      }
    }
    RC_ASSERT(RestoreBytes(Parsed(bytes)).value_or("nothing") == bytes);
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
