#include "verdict.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <future>
#include <thread>

namespace medlarkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

BOOST_AUTO_TEST_SUITE(atmostonce)

BOOST_AUTO_TEST_CASE(RepeatWithTheSameKeyGetsTheSameAnswer)
{
  Fleet fleet;
  BackendPair& service = fleet.AddService();
  fleet.AddEntry();
  fleet.RequireReady();
  fleet.RequireConfirmations();
  const std::string key = NewIdempotencyKey();
  const HttpCall call = fleet.Confirm("plaza", key);
  const auto first = SendHttp(call);
  const auto second = SendHttp(call);
  BOOST_REQUIRE(first.has_value());
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(first.value().mStatus == 200);
  BOOST_TEST(second.value().mStatus == 200);
  BOOST_TEST(first.value().mBody == second.value().mBody);
  BOOST_TEST(Runs(service, "plaza") == 1);
  CheckTruth(Send(call), Runs(service, "plaza"));
  const auto other = Send(fleet.Confirm("other", key));
  BOOST_TEST(other.mStatus >= 400);
  BOOST_TEST(Runs(service, "other") == 0);
}

BOOST_AUTO_TEST_CASE(ServiceThatDiesAfterRunningIsNotCalledAgain)
{
  Fleet fleet;
  BackendPair& service = fleet.AddService({ "--latency_ms=300" });
  BackendPair& spare = fleet.AddService();
  fleet.AddEntry();
  fleet.RequireReady();
  fleet.RequireConfirmations();
  SendJson(service.mBackendPort, "POST", "/fault", { { "dieAfter", true } });
  SendJson(spare.mBackendPort, "POST", "/fault", { { "dieAfter", true } });
  const auto verdict = Send(fleet.Confirm("plaza", NewIdempotencyKey()));
  BOOST_TEST(verdict.mStatus != 200);
  BOOST_TEST(verdict.mExecuted == "unknown");
  const bool oneLives =
    service.mBackend->IsRunning() || spare.mBackend->IsRunning();
  BOOST_TEST(oneLives);
}

BOOST_AUTO_TEST_CASE(AgentKilledDuringTheRunLeavesTheOutcomeUnknown)
{
  Fleet fleet;
  BackendPair& service = fleet.AddService({ "--latency_ms=1500" });
  fleet.AddEntry();
  fleet.RequireReady();
  fleet.RequireConfirmations();
  const HttpCall call = fleet.Confirm("plaza", NewIdempotencyKey());
  auto verdict = Begin(call);
  BOOST_TEST(WaitForRun(service, "plaza"));
  service.mAgent->Kill();
  const auto told = verdict.get();
  BOOST_TEST(told.mStatus != 200);
  BOOST_TEST(told.mExecuted == "unknown");
  const auto repeated = Send(call);
  BOOST_TEST(repeated.mStatus != 200);
  BOOST_TEST(Runs(service, "plaza") == 1);
}

BOOST_AUTO_TEST_CASE(EntryKilledDuringTheRunThenRepeatedAtAnother)
{
  Fleet fleet;
  BackendPair& service = fleet.AddService({ "--latency_ms=800" });
  EntryProcess& first = fleet.AddEntry();
  EntryProcess& second = fleet.AddEntry();
  fleet.RequireReady();
  fleet.RequireConfirmations();
  HttpCall call = fleet.Confirm("plaza", NewIdempotencyKey());
  auto lost = Begin(call);
  BOOST_TEST(WaitForRun(service, "plaza"));
  first.mProcess->Kill();
  BOOST_TEST(lost.get().mStatus == 0);
  call.mUrl = LocalUrl(second.mPort, "/s/bookings/confirmations");
  Verdict told;
  WaitUntil(seconds(10), [&] {
    told = Send(call);
    return told.mStatus == 200;
  });
  BOOST_TEST(told.mStatus == 200, told.mBody);
  CheckTruth(told, Runs(service, "plaza"));
  BOOST_TEST(Runs(service, "plaza") == 1);
}

BOOST_AUTO_TEST_CASE(EntryStoppedBetweenGrantAndCommit)
{
  Fleet fleet;
  fleet.SetConcurrency("bookings", 1, 1);
  fleet.Publish();
  BackendPair& service = fleet.AddService({ "--latency_ms=700" });
  EntryProcess& entry = fleet.AddEntry();
  fleet.RequireReady();
  fleet.RequireConfirmations();
  std::vector<std::future<Verdict>> verdicts;
  verdicts.reserve(4);
  for (int number = 0; number < 4; ++number) {
    const std::string id = "id-" + std::to_string(number);
    verdicts.push_back(Begin(fleet.Confirm(id, NewIdempotencyKey())));
    std::this_thread::sleep_for(milliseconds(50));
  }
  BOOST_TEST(WaitForRun(service, "id-0"));
  // The next grants reach an entry that can't commit in time.
  entry.mProcess->Signal(SIGSTOP);
  std::this_thread::sleep_for(seconds(4));
  entry.mProcess->Signal(SIGCONT);
  for (int number = 0; number < 4; ++number) {
    const auto verdict = verdicts[static_cast<std::size_t>(number)].get();
    const std::string id = "id-" + std::to_string(number);
    BOOST_TEST_CONTEXT(id << " status " << verdict.mStatus << " "
                          << verdict.mBody)
    {
      CheckTruth(verdict, Runs(service, id));
    }
  }
  const auto resumed = std::chrono::steady_clock::now();
  Verdict later;
  WaitUntil(seconds(30), [&] {
    later = Send(fleet.Confirm("later", NewIdempotencyKey()));
    return later.mStatus == 200;
  });
  const std::chrono::duration<double> refused =
    std::chrono::steady_clock::now() - resumed;
  BOOST_TEST_MESSAGE("first success " << refused.count()
                                      << " s after the pause");
  BOOST_TEST(later.mStatus == 200, later.mBody);
  BOOST_TEST(Runs(service, "later") == 1);
}

BOOST_AUTO_TEST_CASE(CallerThatLeavesDoesntStopWhatMayNotBeRepeated)
{
  Fleet fleet;
  BackendPair& service = fleet.AddService({ "--latency_ms=600" });
  fleet.AddEntry();
  fleet.RequireReady();
  fleet.RequireConfirmations();
  HttpCall call = fleet.Confirm("plaza", NewIdempotencyKey());
  call.mShouldStop = [&] { return Runs(service, "plaza") == 1; };
  BOOST_TEST(!SendHttp(call).has_value());
  call.mShouldStop = nullptr;
  Verdict told;
  WaitUntil(seconds(10), [&] {
    told = Send(call);
    return told.mStatus == 200;
  });
  BOOST_TEST(told.mStatus == 200, told.mBody);
  CheckTruth(told, Runs(service, "plaza"));
  BOOST_TEST(Runs(service, "plaza") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
