#include "storeitems.h"

#include "fakestore.h"
#include "serverreport.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace medlarkeel::platform {

namespace {

using Json = nlohmann::json;

Json
Item(const std::string& aKey,
     const std::string& aValue,
     std::uint64_t aRevision)
{
  return StoreItem(aKey, aValue, aRevision, 1);
}

StorePage
Page(const Json& aItems)
{
  const Json body{ { "items", aItems },
                   { "has-more", false },
                   { "current-rev", 9 } };
  StorePageResult page = ParseStorePage(body.dump(), "items", {});
  BOOST_REQUIRE(page.has_value());
  return page.value();
}

const char* const kServer =
  R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1",
  "slots":64,"state":"ready","cold-remaining-ms":250.5,"sequence":4,
  "born":1700000000000})";

} // namespace

BOOST_AUTO_TEST_SUITE(storeitems)

BOOST_AUTO_TEST_CASE(BackendServerIsDecoded)
{
  const StorePage page = Page(Json::array({ Item("servers/i-1", kServer, 5) }));
  BOOST_TEST(page.mContent.mPosition.mRevision == 9U);
  const auto& entry = std::get<BackendEntry>(page.mContent.mChanges.at(0));
  BOOST_TEST(entry.mId.Text() == "i-1");
  BOOST_TEST(entry.mPool.Text() == "s");
  BOOST_TEST(entry.mEndpoint.mPort == 8080);
  BOOST_TEST(entry.mColdRemaining.count() == 250);
  BOOST_TEST(entry.mStartedAt->count() == 1700000000000);
  BOOST_TEST(entry.mPosition.mRevision == 5U);
  BOOST_TEST(!entry.mIsDraining);
}

BOOST_AUTO_TEST_CASE(ForgedEntriesNameNoServerAndLeaveTheOthers)
{
  Json items = Json::array({ Item("servers/good", kServer, 5) });
  for (const char* value :
       { "",
         "not json",
         "[]",
         "7",
         R"({"service":"s"})",
         R"({"service":"s","address":"10.1.1.1:1","zone":"z","state":"odd",
             "cold-remaining-ms":0,"sequence":1})",
         R"({"service":7,"address":"10.1.1.1:1","zone":"z","state":"ready",
             "cold-remaining-ms":0,"sequence":1})",
         R"({"service":"s","address":"host:1","zone":"z","state":"ready",
             "cold-remaining-ms":0,"sequence":1})",
         R"({"service":"s","address":"10.1.1.1:1","zone":"z","state":"ready",
             "cold-remaining-ms":"0","sequence":1})",
         R"({"service":"s","address":"10.1.1.1:1","zone":"z","state":"ready",
             "cold-remaining-ms":0,"sequence":1,"born":1.5})",
         R"({"service":"s","address":"10.1.1.1:1","zone":"z","state":"ready",
             "cold-remaining-ms":0,"sequence":"x"})" }) {
    items.push_back(Item("servers/forged", value, 6));
  }
  for (const char* const field : { "service", "zone" }) {
    Json value = Json::parse(kServer);
    value[field] = std::string(257, 'n');
    items.push_back(Item("servers/forged", value.dump(), 6));
  }
  items.push_back({ { "key", "servers/raw" },
                    { "value", "%%%" },
                    { "revision", 7 },
                    { "lease", 0 } });
  const StorePage page = Page(items);
  std::size_t unreadable = 0;
  std::size_t entries = 0;
  for (const DirectoryChange& change : page.mContent.mChanges) {
    unreadable += std::holds_alternative<UnreadableItem>(change) ? 1 : 0;
    entries += std::holds_alternative<BackendEntry>(change) ? 1 : 0;
  }
  BOOST_TEST(entries == 1U);
  BOOST_TEST(unreadable == items.size() - 1);
}

/** Guards against a page that isn't used because of one item's key. */
BOOST_AUTO_TEST_CASE(ItemsWithoutAReadableKeyLeaveTheOthers)
{
  for (const Json& odd : { Json::object(),
                           Json(nullptr),
                           Json("servers/i-2"),
                           Json{ { "key", 7 }, { "revision", 6 } },
                           Json{ { "key", nullptr }, { "value", "" } } }) {
    const StorePage page =
      Page(Json::array({ Item("servers/i-1", kServer, 5), odd }));
    BOOST_TEST(page.mLastKey == "servers/i-1");
    BOOST_REQUIRE(page.mContent.mChanges.size() == 2U);
    BOOST_CHECK(
      std::holds_alternative<BackendEntry>(page.mContent.mChanges[0]));
    BOOST_CHECK(
      std::holds_alternative<UnreadableItem>(page.mContent.mChanges[1]));
  }
}

/** Guards against an id or a team name that ends a header field of a request,
 * or that the server reads as another one. */
BOOST_AUTO_TEST_CASE(NamesThatFitNoHeaderFieldAreUnusable)
{
  for (const std::string name :
       { "", "i\r\nX-Tenant: t", "i\n", "i\x01", "i\x7f", " i", "i ", "i\t" }) {
    const std::string document =
      R"({"version":7,"routes":[],"services":[],"tenants":[{"name":)" +
      Json(name).dump() + R"(,"api-keys":["k"]}]})";
    const StorePage page = Page(Json::array(
      { Item("servers/" + name, kServer, 5), Item("op/config", document, 6) }));
    const auto& changes = page.mContent.mChanges;
    BOOST_REQUIRE(changes.size() == 3U);
    BOOST_CHECK_MESSAGE(std::holds_alternative<UnreadableItem>(changes[0]),
                        name);
    const ForwardTeam* team =
      std::get<ForwardingDocumentPointer>(changes[1])->FindTeam("k");
    BOOST_REQUIRE(team != nullptr);
    BOOST_CHECK_MESSAGE(!team->mIsUsable, name);
    BOOST_TEST(team->mName.Text().empty(), name);
    BOOST_TEST(std::get<UnreadableItem>(changes[2]).mKey ==
               "op/config#/tenants/0");
  }
  const StorePage page =
    Page(Json::array({ Item("servers/i +&%#\u00e9", kServer, 5) }));
  BOOST_CHECK(std::holds_alternative<BackendEntry>(page.mContent.mChanges[0]));
}

/** Guards against a document that is taken although it as a whole can't be
 * read, in place of the one in force. */
BOOST_AUTO_TEST_CASE(DocumentThatCannotBeReadAsAWholeIsRefused)
{
  const std::string route = R"({"host":"h","path-prefix":"/","kind":7})";
  for (const std::string& value :
       { std::string("{"),
         std::string("[]"),
         std::string(R"({"routes":[],"services":[]})"),
         std::string(R"({"version":"7","routes":[],"services":[]})"),
         std::string(R"({"version":7,"services":[]})"),
         std::string(R"({"version":7,"routes":[]})"),
         std::string(R"({"version":7,"routes":5,"services":[]})"),
         std::string(R"({"version":7,"routes":{},"services":[]})"),
         std::string(R"({"version":7,"routes":[],"services":null})"),
         std::string(R"({"version":7,"routes":[],"services":[],"tenants":7})"),
         R"({"version":7,"routes":[)" + route + R"(],"services":[]})" }) {
    const StorePage page = Page(Json::array({ Item("op/config", value, 5) }));
    BOOST_REQUIRE(page.mContent.mChanges.size() == 1U);
    BOOST_CHECK_MESSAGE(
      std::holds_alternative<UnreadableItem>(page.mContent.mChanges[0]), value);
  }
}

/** Guards against a team that loses its other keys because of one of them. */
BOOST_AUTO_TEST_CASE(UnusableKeysLeaveTheOthers)
{
  const char* value = R"({"version":7,"routes":[],"services":[],"tenants":[
    {"name":"one","api-keys":["k1",7,null,"k2"]},
    {"name":"two","api-keys":"k3"},
    {"name":"three","api-keys":["k4"],"priority":"x"}]})";
  const StorePage page = Page(Json::array({ Item("op/config", value, 5) }));
  const auto& changes = page.mContent.mChanges;
  const auto document = std::get<ForwardingDocumentPointer>(changes.at(0));
  for (const char* key : { "k1", "k2" }) {
    const ForwardTeam* team = document->FindTeam(key);
    BOOST_REQUIRE(team != nullptr);
    BOOST_TEST(team->mName.Text() == "one");
    BOOST_TEST(team->mIsUsable);
  }
  BOOST_TEST(document->FindTeam("k3") == nullptr);
  BOOST_TEST(!document->FindTeam("k4")->mIsUsable);
  const std::vector<std::string> places = {
    "/tenants/0/api-keys/1", "/tenants/0/api-keys/2", "/tenants/1", "/tenants/2"
  };
  BOOST_REQUIRE(changes.size() == places.size() + 1);
  for (std::size_t i = 0; i < places.size(); ++i) {
    BOOST_TEST(std::get<UnreadableItem>(changes[i + 1]).mKey ==
               "op/config#" + places[i]);
  }
}

/** Guards against a log that is filled by one document. */
BOOST_AUTO_TEST_CASE(ReportsOfOneDocumentAreBounded)
{
  constexpr std::size_t kMaximumReports = 21;
  Json value{ { "version", 7 }, { "routes", Json::array() } };
  value["services"] = Json::array_t(3000, Json(7));
  const StorePage page =
    Page(Json::array({ Item("op/config", value.dump(), 5) }));
  BOOST_TEST(page.mContent.mChanges.size() == kMaximumReports + 1);
}

BOOST_AUTO_TEST_CASE(RemovalsAndZonesAreDecoded)
{
  const Json body{
    { "events",
      { { { "key", "servers/i-1" }, { "revision", 8 }, { "tombstone", true } },
        Item("op/evacuate/z", "{}", 9),
        { { "key", "op/evacuate/z" },
          { "revision", 10 },
          { "tombstone", true } } } },
    { "current-rev", 10 }
  };
  StorePageResult page = ParseStorePage(body.dump(), "events", {});
  BOOST_REQUIRE(page.has_value());
  const auto& changes = page.value().mContent.mChanges;
  BOOST_REQUIRE(changes.size() == 3U);
  BOOST_TEST(std::get<BackendRemoval>(changes[0]).mPosition.mRevision == 8U);
  BOOST_TEST(std::get<ZoneEvacuation>(changes[1]).mIsEvacuated);
  BOOST_TEST(!std::get<ZoneEvacuation>(changes[2]).mIsEvacuated);
}

BOOST_AUTO_TEST_CASE(DocumentIsDecoded)
{
  const char* value = R"({"version":7,"routes":[
    {"name":"r","host":"h","path-prefix":"/a/","kind":"streaming",
     "timeout-ms":8000,"target-latency-ms":1500,"priority":2,
     "weighted-services":[{"service":"s","weight":90},
                          {"service":"t","weight":10}],
     "max-attempts":2,"public":false,"stream-resume":true},
    {"name":"q","host":"h","path-prefix":"/b/","kind":"idempotent",
     "timeout-ms":80,"target-latency-ms":15,"service":"s"}],
    "services":[{"name":"s","max-connections":360,"cold-start-s":3.0,
                 "cold-per-s":8.4,"engine":{"slots":64}}],
    "limits":{"max-header-bytes":100,"max-body-bytes":200,
              "header-timeout-ms":3,"idle-timeout-ms":4},
    "tenants":[{"name":"one","api-keys":["k1","k2"],"priority":1}]})";
  const StorePage page = Page(Json::array({ Item("op/config", value, 5) }));
  const auto document =
    std::get<ForwardingDocumentPointer>(page.mContent.mChanges.at(0));
  BOOST_TEST(document->mVersion == 7U);
  const ForwardRoute* stream = document->FindRoute("h", "/a/x");
  BOOST_REQUIRE(stream != nullptr);
  BOOST_TEST(stream->mIsStream);
  BOOST_TEST(stream->mIsResumable);
  BOOST_CHECK(stream->mRepeatRule == RepeatRule::AtMostOnce);
  BOOST_TEST(stream->mPools.size() == 2U);
  BOOST_CHECK(document->FindRoute("h", "/b/")->mRepeatRule ==
              RepeatRule::Repeatable);
  BOOST_TEST(document->mPools.at(PoolName("s")).mIsModel);
  BOOST_TEST(document->mLimits.mHeaderBytes == 100U);
  BOOST_TEST(document->FindTeam("k2")->mName.Text() == "one");
  BOOST_TEST(document->FindTeam("k2")->mTier->mValue == 1);
}

// Guards against a document that isn't taken because of an engine's capacity,
// which only selects how requests are placed.
BOOST_AUTO_TEST_CASE(CapacityOfAnEngineIsOptional)
{
  const auto memoryOf = [](const std::string& aEngine) {
    const std::string value =
      R"({"version":7,"routes":[],"services":[{"name":"s","engine":)" +
      aEngine + "}]}";
    const StorePage page = Page(Json::array({ Item("op/config", value, 5) }));
    const auto document =
      std::get<ForwardingDocumentPointer>(page.mContent.mChanges.at(0));
    return document->mPools.at(PoolName("s")).mPlacement.mEngineMemoryTokens;
  };
  BOOST_TEST(memoryOf(R"({"kv-capacity-tokens":444000})") == 444'000U);
  for (const char* const engine : { "{}",
                                    "null",
                                    R"({"kv-capacity-tokens":null})",
                                    R"({"kv-capacity-tokens":"x"})",
                                    R"({"kv-capacity-tokens":-1})" }) {
    BOOST_TEST(memoryOf(engine) == 0U, engine);
  }
}

BOOST_AUTO_TEST_CASE(BodyThatIsNoPageIsRefused)
{
  for (const char* body : { "",
                            "{}",
                            "[]",
                            R"({"items":[]})",
                            R"({"current-rev":"x","items":[]})" }) {
    BOOST_TEST(!ParseStorePage(body, "items", {}).has_value());
  }
}

/** Guards against taking a field that can't be read for era 0, which would make
 * a restored store look like one that states no era. */
BOOST_AUTO_TEST_CASE(EraIsAWholeNumber)
{
  BOOST_TEST(ParseStoreEra("")->mValue == 0U);
  BOOST_TEST(ParseStoreEra("17")->mValue == 17U);
  for (const char* const text : { "x", "-1", "1.5", "1 2" }) {
    BOOST_TEST(!ParseStoreEra(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(PositionsHaveTheEraOfTheAnswer)
{
  const Json body{ { "items", { Item("servers/i-1", kServer, 5) } },
                   { "current-rev", 9 } };
  const StorePageResult page =
    ParseStorePage(body.dump(), "items", DirectoryEra{ 3 });
  BOOST_REQUIRE(page.has_value());
  const DirectoryChanges& content = page.value().mContent;
  BOOST_TEST(content.mPosition.mEra.mValue == 3U);
  BOOST_TEST(
    std::get<BackendEntry>(content.mChanges.at(0)).mPosition.mEra.mValue == 3U);
}

BOOST_AUTO_TEST_CASE(StartTimeIsReadFromAServersReport)
{
  BOOST_CHECK(ParseStartTime("{\"stage\":\"both\",\"born\":17}") ==
              Milliseconds(17));
  for (const char* const other :
       { "", "{", "[]", "{}", "{\"born\":\"17\"}", "{\"born\":1.5}" }) {
    BOOST_TEST(!ParseStartTime(other).has_value(), other);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel::platform
