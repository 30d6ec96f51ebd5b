#include "settings.h"

#include "testdocument.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

namespace medlarkeel {

namespace {

using Json = nlohmann::json;

Json
AgentSettings()
{
  return Json::parse(R"({
    "role": "agent", "instanceId": "model-3", "zone": "suva-a",
    "region": "viti-levu",
    "httpListen": {"address": "127.0.0.1", "port": 9000},
    "grpcListen": {"address": "::1", "port": 9001},
    "platform": {"address": "127.0.0.1", "port": 9100},
    "backendServer": {"address": "127.0.0.1", "port": 9200,
                      "pool": "renewal", "kind": "model"},
    "limits": {"bodyLimitBytes": 65536},
    "control": {"gossipMs": 200, "confirmationBoundMs": 5000},
    "shutdownBoundMs": 10000, "logLevel": "debug"})");
}

const Mistake kMistakes[] = {
  { "/role", R"("both")", "$.role" },
  { "/role", R"("entry")", "$.backendServer" },
  { "/backendServer", "", "$.backendServer" },
  { "/platform/address", R"("localhost")", "$.platform.address" },
  { "/httpListen/port", "0", "$.httpListen.port" },
  { "/grpcListen",
    R"({"address": "127.0.0.1", "port": 9000})",
    "$.grpcListen" },
  { "/backendServer/kind", R"("gpu")", "$.backendServer.kind" },
  { "/control/gossip", "5", "$.control.gossip" },
  { "/control/evidenceValidMs", "900", "$.control.evidenceValidMs" },
  { "/limits/connectionLimit", "-1", "$.limits.connectionLimit" },
  { "/logLevel", R"("loud")", "$.logLevel" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(GivenValuesAreReadAndTheRestHasDefaults)
{
  const Settings settings = ParseSettings(AgentSettings().dump()).value();
  BOOST_TEST((settings.mRole == InstanceRole::Agent));
  BOOST_TEST(settings.mInstanceId.Text() == "model-3");
  BOOST_TEST(EndpointText(settings.mGrpcListen) == "[::1]:9001");
  BOOST_TEST(settings.mBackendServer->mPool.Text() == "renewal");
  BOOST_TEST(settings.mLimits.mBodyLimitBytes == 65536U);
  BOOST_TEST(settings.mLimits.mConnectionLimit == 2048U);
  BOOST_TEST(settings.mControl.mGossip.count() == 200);
  BOOST_TEST(settings.mControl.mListPoll.count() == 1000);
  BOOST_TEST(settings.mShutdownBound.count() == 10000);
  BOOST_TEST(settings.mLogLevel == "debug");
}

BOOST_AUTO_TEST_CASE(EachMistakeIsReportedAtItsPath)
{
  for (const Mistake& mistake : kMistakes) {
    Json value = AgentSettings();
    Put(mistake, value);
    const SettingsResult result = ParseSettings(value.dump());
    BOOST_TEST_CONTEXT(mistake.mPath)
    {
      BOOST_REQUIRE(result.has_error());
      BOOST_TEST(result.error().size() == 1U);
      BOOST_TEST(result.error()[0].mPath == mistake.mPath);
    }
  }
}

BOOST_AUTO_TEST_CASE(AllMistakesAreReportedAtOnce)
{
  Json value = AgentSettings();
  value["platform"]["address"] = "localhost";
  value["logLevel"] = "loud";
  value.erase("zone");
  BOOST_TEST(ParseSettings(value.dump()).error().size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
