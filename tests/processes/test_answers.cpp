#include "fleet.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <thread>

namespace medlarkeel {

using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(answers)

BOOST_AUTO_TEST_CASE(EngineSeesNoKeyAndCallerGetsWholeAnswer)
{
  Fleet fleet;
  BackendPair& engine = fleet.AddEngine();
  fleet.AddEntry();
  fleet.RequireReady();
  const auto answer = ReadStream(fleet.Chat("plaza-1", 20));
  BOOST_TEST(IsWhole(answer, "plaza-1", 20), answer.mBody);
  const auto headers =
    GetJson(engine.mBackendPort, "/stats").value("headers", nlohmann::json());
  for (const auto& header : headers) {
    BOOST_TEST(header != "Authorization");
  }
  BOOST_TEST(GetJson(engine.mBackendPort, "/seen?text=plaza-1")["seen"] ==
             true);
  BOOST_TEST(GetJson(engine.mBackendPort,
                     "/seen?text=" + fleet.Key().mSecret)["seen"] == false);
}

BOOST_AUTO_TEST_CASE(RefusesCallersWithoutOrWithWrongKey)
{
  Fleet fleet;
  BackendPair& engine = fleet.AddEngine();
  fleet.AddEntry();
  fleet.RequireReady();
  HttpCall call = fleet.Chat("thief", 3);
  call.mHeaders["Authorization"] = "Bearer mk_alfa1_wrong";
  BOOST_TEST(ReadStream(call).mStatus == 401);
  call.mHeaders.erase("Authorization");
  BOOST_TEST(ReadStream(call).mStatus == 401);
  BOOST_TEST(GetJson(engine.mBackendPort, "/stats")["started"] == 0);
}

BOOST_AUTO_TEST_CASE(AgentKilledMidStreamIsAnErrorToTheCaller)
{
  Fleet fleet;
  BackendPair& engine = fleet.AddEngine({ "--token_gap_ms=30" });
  fleet.AddEntry();
  fleet.RequireReady();
  auto answer = BeginStream(fleet.Chat("a", 100));
  BOOST_TEST(WaitForStatistic(engine, "tokens", 5));
  engine.mAgent->Kill();
  const auto cut = answer.get();
  BOOST_TEST(!cut.mCleanEnd);
  BOOST_TEST(!cut.mDone);
  BOOST_TEST(cut.mErrorEvent);
}

BOOST_AUTO_TEST_CASE(EngineThatDiesMidStreamIsAnErrorToTheCaller)
{
  Fleet fleet;
  BackendPair& engine = fleet.AddEngine({ "--token_gap_ms=10" });
  fleet.AddEntry();
  fleet.RequireReady();
  SendJson(engine.mBackendPort, "POST", "/fault", { { "dieAfterTokens", 7 } });
  const auto cut = ReadStream(fleet.Chat("a", 100));
  BOOST_TEST(!cut.mCleanEnd);
  BOOST_TEST(!cut.mDone);
  BOOST_TEST(cut.mErrorEvent);
}

BOOST_AUTO_TEST_CASE(WholeAnswerIsNotStreamedButNeverCut)
{
  Fleet fleet;
  BackendPair& engine = fleet.AddEngine({ "--token_gap_ms=10" });
  fleet.AddEntry();
  fleet.RequireReady();
  HttpCall call = fleet.Chat("b", 10);
  auto body = nlohmann::json::parse(call.mBody);
  body["stream"] = false;
  call.mBody = body.dump();
  const auto whole = SendHttp(call);
  BOOST_REQUIRE(whole.has_value());
  BOOST_TEST(whole.value().mStatus == 200);
  BOOST_TEST(whole.value().mBody.find(ExpectedContent("b", 10)) !=
             std::string::npos);
  SendJson(engine.mBackendPort, "POST", "/fault", { { "dieAfterTokens", 5 } });
  const auto cut = SendHttp(call);
  BOOST_TEST((!cut.has_value() || cut.value().mStatus >= 500));
}

BOOST_AUTO_TEST_CASE(CallerThatLeavesCancelsTheWork)
{
  Fleet fleet;
  BackendPair& engine = fleet.AddEngine({ "--token_gap_ms=30" });
  fleet.AddEntry();
  fleet.RequireReady();
  ReadStream(fleet.Chat("a", 1000), [](std::string_view) { return false; });
  BOOST_TEST(WaitForStatistic(engine, "cancelled", 1));
  BOOST_TEST(GetJson(engine.mBackendPort, "/stats")["tokens"] < 100);
}

BOOST_AUTO_TEST_CASE(FourHundredStreamsThroughOneEntryEndWhole)
{
  constexpr std::size_t kStreams = 400;
  constexpr std::size_t kTokens = 20;
  Fleet fleet;
  fleet.SetConcurrency("proclamation", 64, 64);
  fleet.Publish();
  const std::vector<std::string> options{ "--slots=64",
                                          "--first_token_ms=20",
                                          "--token_gap_ms=10" };
  fleet.AddEngine(options);
  fleet.AddEngine(options);
  fleet.AddEntry();
  fleet.RequireReady();
  std::vector<StreamedAnswer> answers(kStreams);
  std::vector<std::thread> callers;
  callers.reserve(kStreams);
  for (std::size_t number = 0; number < kStreams; ++number) {
    callers.emplace_back([&, number] {
      const std::string marker = "m" + std::to_string(number);
      answers[number] = ReadStream(fleet.Chat(marker, kTokens));
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::size_t whole = 0;
  std::size_t silentCuts = 0;
  for (std::size_t number = 0; number < kStreams; ++number) {
    const StreamedAnswer& answer = answers[number];
    const std::string marker = "m" + std::to_string(number);
    const bool isWhole = IsWhole(answer, marker, kTokens);
    whole += isWhole ? 1 : 0;
    silentCuts += !isWhole && answer.mStatus == 200 && answer.mCleanEnd ? 1 : 0;
    if (!isWhole) {
      BOOST_TEST_MESSAGE(marker << ": status " << answer.mStatus << " "
                                << answer.mBody.substr(0, 300));
    }
  }
  BOOST_TEST(silentCuts == 0U);
  BOOST_TEST(whole == kStreams);
}

BOOST_AUTO_TEST_CASE(AgentPausedMidStreamNeverMixesOrSilentlyCuts)
{
  Fleet fleet;
  BackendPair& engine = fleet.AddEngine({ "--token_gap_ms=20" });
  fleet.AddEntry();
  fleet.RequireReady();
  auto first = BeginStream(fleet.Chat("a", 60));
  auto second = BeginStream(fleet.Chat("b", 60));
  BOOST_TEST(WaitForStatistic(engine, "tokens", 10));
  engine.mAgent->Signal(SIGSTOP);
  std::this_thread::sleep_for(seconds(4));
  engine.mAgent->Signal(SIGCONT);
  const auto one = first.get();
  const auto two = second.get();
  BOOST_TEST((!one.mCleanEnd || IsWhole(one, "a", 60)));
  BOOST_TEST((!two.mCleanEnd || IsWhole(two, "b", 60)));
  BOOST_TEST(one.mContent.find("b#") == std::string::npos);
  BOOST_TEST(two.mContent.find("a#") == std::string::npos);
  BOOST_TEST(WaitUntil(seconds(10), [&] {
    return IsWhole(ReadStream(fleet.Chat("later", 3)), "later", 3);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
