#include "processharness.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

namespace medlarkeel {

namespace {

/** One stand-in on a free port. */
struct Standin
{
  Standin(const std::string& aProgram, std::vector<std::string> aArguments)
  {
    aArguments.push_back("--port=" + std::to_string(mPort));
    mProcess = &mHarness.Start("log", aProgram, aArguments);
    BOOST_REQUIRE(WaitReady(mPort, "/stats"));
  }

  nlohmann::json Statistics() const { return GetJson(mPort, "/stats"); }
  int Fault(const nlohmann::json& aFault) const
  {
    return SendJson(mPort, "POST", "/fault", aFault);
  }

  ProcessHarness mHarness;
  std::uint16_t mPort = FreePort();
  ChildProcess* mProcess = nullptr;
};

int
StatusOf(std::uint16_t aPort, const std::string& aPath)
{
  HttpCall call;
  call.mUrl = LocalUrl(aPort, aPath);
  const auto reply = SendHttp(call);
  return reply.has_value() ? reply.value().mStatus : 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(standins)

BOOST_AUTO_TEST_CASE(EngineAnswersWholeAndCountsCancels)
{
  const Standin engine("fakeengine",
                       { "--first_token_ms=5", "--token_gap_ms=5" });
  const auto whole = ReadStream(ChatCall(engine.mPort, "req-1", 7));
  BOOST_TEST(whole.mCleanEnd);
  BOOST_TEST(whole.mDone);
  BOOST_TEST(whole.mContent == ExpectedContent("req-1", 7));
  const auto left = ReadStream(ChatCall(engine.mPort, "req-2", 32),
                               [](std::string_view) { return false; });
  BOOST_TEST(!left.mCleanEnd);
  BOOST_TEST(WaitUntil(std::chrono::seconds(3),
                       [&] { return engine.Statistics()["cancelled"] == 1; }));
  BOOST_TEST(engine.Statistics()["finished"] == 1);
  BOOST_TEST(engine.Statistics()["running"] == 0);
}

BOOST_AUTO_TEST_CASE(EngineServesByPriorityWithinItsSlots)
{
  const Standin engine(
    "fakeengine", { "--slots=1", "--first_token_ms=50", "--token_gap_ms=20" });
  std::mutex mutex;
  std::string order;
  const auto ask = [&](const std::string& aMarker, int aPriority) {
    HttpCall call = ChatCall(engine.mPort, aMarker, 5);
    auto body = nlohmann::json::parse(call.mBody);
    body["priority"] = aPriority;
    call.mBody = body.dump();
    ReadStream(call);
    const std::lock_guard<std::mutex> lock(mutex);
    order += aMarker;
  };
  std::thread first(ask, "a", 0);
  WaitUntil(std::chrono::seconds(2),
            [&] { return engine.Statistics()["running"] == 1; });
  std::thread low(ask, "b", 5);
  WaitUntil(std::chrono::seconds(2),
            [&] { return engine.Statistics()["waiting"] == 1; });
  std::thread high(ask, "c", 1);
  first.join();
  low.join();
  high.join();
  BOOST_TEST(order == "acb");
  BOOST_TEST(engine.Statistics()["maximumRunning"] == 1);
}

BOOST_AUTO_TEST_CASE(ColdEngineCrashesUnderOverload)
{
  Standin engine("fakeengine", { "--cold_seconds=60", "--cold_slots=1" });
  BOOST_TEST(ReadStream(ChatCall(engine.mPort, "a", 2)).mCleanEnd);
  std::thread other([&] { ReadStream(ChatCall(engine.mPort, "b", 32)); });
  const auto cut = ReadStream(ChatCall(engine.mPort, "c", 32));
  other.join();
  BOOST_TEST(!cut.mCleanEnd);
  BOOST_TEST(engine.mProcess->WaitForEnd(std::chrono::seconds(2)).has_value());
}

BOOST_AUTO_TEST_CASE(EngineDiesMidStream)
{
  Standin engine("fakeengine", { "--token_gap_ms=1" });
  BOOST_TEST(engine.Fault({ { "dieAfterTokens", 5 } }) == 200);
  const auto cut = ReadStream(ChatCall(engine.mPort, "a", 32));
  BOOST_TEST(!cut.mCleanEnd);
  BOOST_TEST(!cut.mDone);
}

BOOST_AUTO_TEST_CASE(EngineRefusesOldFencingOnlyIfItHonoursIt)
{
  for (const bool honours : { true, false }) {
    const Standin engine("fakeengine",
                         { honours ? "--honours_fencing" : "--slots=8" });
    const auto send = [&](int aFencing, const char* aName) {
      return SendJson(
        engine.mPort,
        "POST",
        "/orders",
        { { "kind", "load" }, { "name", aName }, { "fencing", aFencing } });
    };
    BOOST_TEST(send(7, "new") == 200);
    BOOST_TEST(send(6, "old") == (honours ? 409 : 200));
    const auto models = GetJson(engine.mPort, "/state")["models"];
    BOOST_TEST(models.size() == (honours ? 2U : 3U));
  }
}

BOOST_AUTO_TEST_CASE(EngineReportsLoadWithLag)
{
  const Standin engine("fakeengine",
                       { "--report_lag_ms=400", "--first_token_ms=1500" });
  std::thread caller([&] { ReadStream(ChatCall(engine.mPort, "a", 1)); });
  BOOST_TEST(WaitUntil(std::chrono::seconds(2),
                       [&] { return engine.Statistics()["running"] == 1; }));
  BOOST_TEST(GetJson(engine.mPort, "/load")["running"] == 0);
  BOOST_TEST(WaitUntil(std::chrono::seconds(1), [&] {
    return GetJson(engine.mPort, "/load")["running"] == 1;
  }));
  caller.join();
}

BOOST_AUTO_TEST_CASE(ServiceCountsRunsAlsoWhenItDies)
{
  Standin service("fakeservice", {});
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = LocalUrl(service.mPort, "/confirm");
  call.mHeaders["Idempotency-Key"] = "k1";
  call.mBody = R"({"id":"plaza"})";
  BOOST_TEST(SendHttp(call).value().mStatus == 200);
  BOOST_TEST(SendHttp(call).value().mStatus == 200);
  BOOST_TEST(service.Statistics()["runsByKey"]["k1"] == 2);
  BOOST_TEST(service.Statistics()["runsById"]["plaza"] == 2);
  BOOST_TEST(service.Fault({ { "dieAfter", true } }) == 200);
  BOOST_TEST(!SendHttp(call).has_value());
  BOOST_TEST(service.mProcess->WaitForEnd(std::chrono::seconds(2)).has_value());
}

BOOST_AUTO_TEST_CASE(PlatformServesWatchesAndLimitsTheRate)
{
  const Standin platform("fakeplatform", { "--config_rate=20" });
  const std::uint16_t port = platform.mPort;
  BOOST_TEST(StatusOf(port, "/configuration") == 404);
  BOOST_TEST(SendJson(port, "PUT", "/configuration", { { "v", 1 } }) == 200);
  std::thread writer([port] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    SendJson(port, "PUT", "/configuration", { { "v", 2 } });
  });
  const auto seen = GetJson(port, "/configuration?after=1&waitMs=5000");
  writer.join();
  BOOST_TEST(seen["revision"] == 2);
  BOOST_TEST(seen["document"] == R"({"v":2})");
  BOOST_TEST(StatusOf(port, "/configuration?after=2&waitMs=50") == 304);
  int refused = 0;
  for (int count = 0; count < 40; ++count) {
    refused += StatusOf(port, "/configuration") == 429 ? 1 : 0;
  }
  BOOST_TEST(refused >= 10);
}

BOOST_AUTO_TEST_CASE(PlatformFailsAsOrdered)
{
  const Standin platform("fakeplatform", { "--list_lag_ms=300" });
  const std::uint16_t port = platform.mPort;
  SendJson(port, "PUT", "/configuration", { { "v", 1 } });
  platform.Fault({ { "configuration", "stale" } });
  SendJson(port, "PUT", "/configuration", { { "v", 2 } });
  BOOST_TEST(GetJson(port, "/configuration")["revision"] == 1);
  platform.Fault({ { "configuration", "down" } });
  BOOST_TEST(StatusOf(port, "/configuration") == 503);
  platform.Fault({ { "configuration", "none" } });
  BOOST_TEST(GetJson(port, "/configuration")["revision"] == 2);
  SendJson(port, "PUT", "/instances/a1", { { "zone", "xela-a" } });
  BOOST_TEST(GetJson(port, "/instances")["instances"].empty());
  BOOST_TEST(WaitUntil(std::chrono::seconds(1), [port] {
    return GetJson(port, "/instances")["instances"].size() == 1;
  }));
  HttpCall conditional;
  conditional.mUrl = LocalUrl(port, "/instances");
  const auto whole = SendHttp(conditional);
  conditional.mHeaders["If-None-Match"] = whole.value().mHeaders.at("ETag");
  BOOST_TEST(SendHttp(conditional).value().mStatus == 304);
  SendJson(port, "PUT", "/instances/a2", { { "zone", "xela-a" } });
  BOOST_TEST(WaitUntil(std::chrono::seconds(1), [&conditional] {
    return SendHttp(conditional).value().mStatus == 200;
  }));
  platform.Fault({ { "list", "down" } });
  BOOST_TEST(StatusOf(port, "/instances") == 503);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
