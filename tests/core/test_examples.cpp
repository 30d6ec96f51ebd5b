#include "documentparser.h"
#include "keyring.h"
#include "routetable.h"

#include "../examplekeys.h"
#include "../support/sourcefile.h"
#include "testdocument.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

EnvironmentDocument
Example(const std::string& aName)
{
  const DocumentResult result =
    ParseEnvironmentDocument(SourceFile("examples/" + aName + ".json"));
  if (result.has_error()) {
    BOOST_FAIL(ProblemText(result.error()[0]));
  }
  return result.value();
}

/** @return The keys that the parser knows at an object of the document. */
std::string
KeysKnownToParser(const std::string& aPointer)
{
  nlohmann::json value = SmallDocument();
  value[nlohmann::json::json_pointer(aPointer)]["unheard"] = 1;
  const auto problem = ParseEnvironmentDocument(value.dump()).error().at(0);
  return problem.mExpected;
}

std::string
KeysOfSchema(const nlohmann::json& aObject)
{
  std::string keys;
  for (const auto& property : aObject.at("properties").items()) {
    keys += (keys.empty() ? "only " : ", ") + property.key();
  }
  return keys;
}

} // namespace

BOOST_AUTO_TEST_SUITE(examples)

BOOST_AUTO_TEST_CASE(ExamplesHaveTheSizesOfToday)
{
  for (const char* name : { "pregonero", "vatulele" }) {
    const EnvironmentDocument document = Example(name);
    BOOST_TEST(document.mEnvironment == name);
    BOOST_TEST(document.mZones.size() == 3U);
    BOOST_TEST(document.mPools.size() == 2U);
    BOOST_TEST(document.mTeams.size() == 10U);
  }
}

BOOST_AUTO_TEST_CASE(EveryExampleKeyIsItsTeams)
{
  for (const char* name : { "pregonero", "vatulele" }) {
    const EnvironmentDocument document = Example(name);
    const KeyRing ring(document);
    for (const Team& team : document.mTeams) {
      for (const KeyEntry& key : team.mKeys) {
        const auto caller = ring.Authenticate(ExampleKey(key.mId.Text()));
        BOOST_REQUIRE(caller.has_value());
        BOOST_TEST(caller->mTeam == team.mName);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(CallsThatMayNotBeRepeatedAreMarked)
{
  const RouteTable pregonero(Example("pregonero"));
  const RouteTable vatulele(Example("vatulele"));
  const auto isRepeatable = [](const RouteTable& aTable, const char* aPath) {
    const RouteQuery query{ "POST", aPath, {}, {}, TeamName("nobody") };
    return aTable.Match(query).value().mRoute.mRepeatable;
  };
  BOOST_TEST(!isRepeatable(pregonero, "/s/bookings/confirmations"));
  BOOST_TEST(!isRepeatable(vatulele, "/s/renewal-desk/payments"));
  BOOST_TEST(!isRepeatable(vatulele, "/s/renewal-desk/badges"));
}

BOOST_AUTO_TEST_CASE(SchemaAndParserKnowTheSameKeys)
{
  const auto schema =
    nlohmann::json::parse(SourceFile("docs/environment.schema.json"));
  const auto& parts = schema.at("$defs");
  BOOST_TEST(KeysKnownToParser("") == KeysOfSchema(schema));
  BOOST_TEST(KeysKnownToParser("/zones/0") == KeysOfSchema(parts["zone"]));
  BOOST_TEST(KeysKnownToParser("/classes/0") == KeysOfSchema(parts["class"]));
  BOOST_TEST(KeysKnownToParser("/pools/0") == KeysOfSchema(parts["pool"]));
  BOOST_TEST(KeysKnownToParser("/teams/0") == KeysOfSchema(parts["team"]));
  BOOST_TEST(KeysKnownToParser("/teams/0/keys/0") ==
             KeysOfSchema(parts["key"]));
  BOOST_TEST(KeysKnownToParser("/routes/0") == KeysOfSchema(parts["route"]));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
