#include "fleet.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <sys/wait.h>
#include <thread>

namespace medlarkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void
RequireExitCodeZero(ChildProcess& aProcess)
{
  const auto status = aProcess.WaitForEnd(seconds(25));
  BOOST_REQUIRE(status.has_value());
  BOOST_TEST(WIFEXITED(*status));
  BOOST_TEST(WEXITSTATUS(*status) == 0);
}

/** Sends short chats until the backend server gets none for two seconds. */
bool
GetsNoNewWork(const Fleet& aFleet, const BackendPair& aPair)
{
  for (int round = 0; round < 4; ++round) {
    const int before = Statistic(aPair, "started");
    for (int number = 0; number < 20; ++number) {
      ReadStream(aFleet.Chat("probe", 1));
      std::this_thread::sleep_for(milliseconds(50));
    }
    if (Statistic(aPair, "started") == before) {
      return true;
    }
  }
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(operations)

BOOST_AUTO_TEST_CASE(TerminatedEntryCutsNoRequest)
{
  Fleet fleet;
  BackendPair& engine = fleet.AddEngine({ "--slots=4", "--token_gap_ms=20" });
  fleet.SetConcurrency("proclamation", 4, 4);
  fleet.Publish();
  EntryProcess& entry = fleet.AddEntry();
  fleet.RequireReady();
  std::vector<std::future<StreamedAnswer>> answers;
  answers.reserve(8);
  for (int number = 0; number < 8; ++number) {
    answers.push_back(
      BeginStream(fleet.Chat("m" + std::to_string(number), 40)));
  }
  BOOST_TEST(WaitForStatistic(engine, "running", 4));
  entry.mProcess->Signal(SIGTERM);
  for (int number = 0; number < 8; ++number) {
    const auto answer = answers[static_cast<std::size_t>(number)].get();
    BOOST_TEST(IsWhole(answer, "m" + std::to_string(number), 40),
               "stream " << number << ": " << answer.mBody.size()
                         << " bytes, status " << answer.mStatus);
  }
  RequireExitCodeZero(*entry.mProcess);
}

BOOST_AUTO_TEST_CASE(TerminatedAgentCutsNoRequest)
{
  Fleet fleet;
  BackendPair& engine = fleet.AddEngine({ "--slots=4", "--token_gap_ms=20" });
  BackendPair& other = fleet.AddEngine({ "--slots=4", "--token_gap_ms=20" });
  fleet.SetConcurrency("proclamation", 4, 4);
  fleet.Publish();
  fleet.AddEntry();
  fleet.RequireReady();
  std::vector<std::future<StreamedAnswer>> answers;
  answers.reserve(24);
  for (int number = 0; number < 24; ++number) {
    answers.push_back(
      BeginStream(fleet.Chat("m" + std::to_string(number), 40)));
  }
  BOOST_TEST(WaitForStatistic(engine, "running", 2));
  engine.mAgent->Signal(SIGTERM);
  for (int number = 0; number < 24; ++number) {
    const auto answer = answers[static_cast<std::size_t>(number)].get();
    BOOST_TEST(IsWhole(answer, "m" + std::to_string(number), 40),
               "stream " << number << ": status " << answer.mStatus << " "
                         << answer.mBody.substr(0, 300));
  }
  BOOST_TEST(Statistic(engine, "cancelled") == 0);
  BOOST_TEST(Statistic(other, "cancelled") == 0);
  RequireExitCodeZero(*engine.mAgent);
}

BOOST_AUTO_TEST_CASE(KeyWithdrawnWhileQueuedDoesntRun)
{
  Fleet fleet;
  const CallerKey second{ "beta2", "s3cretOfBeta2" };
  fleet.SetConcurrency("proclamation", 1, 1);
  fleet.Document()["teams"][0]["keys"].push_back(second.Entry());
  fleet.Publish();
  BackendPair& engine = fleet.AddEngine({ "--slots=1", "--token_gap_ms=50" });
  fleet.AddEntry();
  fleet.RequireReady();
  auto running = BeginStream(fleet.Chat("first", 120));
  BOOST_TEST(WaitForStatistic(engine, "running", 1));
  HttpCall call = fleet.Chat("withdrawn", 5);
  call.mHeaders["Authorization"] = second.Authorization();
  auto queued = BeginStream(call);
  std::this_thread::sleep_for(milliseconds(500));
  fleet.Document()["teams"][0]["keys"].erase(1);
  fleet.Publish();
  const auto refused = queued.get();
  BOOST_TEST(refused.mStatus >= 400);
  BOOST_TEST(refused.mBody.find("\"executed\":\"no\"") != std::string::npos,
             refused.mBody);
  BOOST_TEST(IsWhole(running.get(), "first", 120));
  BOOST_TEST(ReadStream(call).mStatus == 401);
  const auto runs = GetJson(engine.mBackendPort, "/stats")["runsByMarker"];
  BOOST_TEST(!runs.contains("withdrawn"));
}

BOOST_AUTO_TEST_CASE(ZoneTakenOutGetsNoNewWorkAndComesBack)
{
  Fleet fleet;
  BackendPair& inside = fleet.AddEngine({}, "xela-a");
  BackendPair& outside = fleet.AddEngine({}, "xela-b");
  fleet.AddEntry();
  fleet.RequireReady();
  auto running = BeginStream(fleet.Chat("long", 300));
  fleet.Document()["zones"][1]["state"] = "out";
  fleet.Publish();
  BOOST_TEST(GetsNoNewWork(fleet, outside));
  BOOST_TEST(Statistic(inside, "finished") >= 20);
  BOOST_TEST(IsWhole(running.get(), "long", 300));
  fleet.Document()["zones"][1]["state"] = "in";
  fleet.Document()["zones"][0]["state"] = "out";
  fleet.Publish();
  BOOST_TEST(WaitUntil(seconds(10), [&] {
    const int before = Statistic(outside, "finished");
    ReadStream(fleet.Chat("back", 1));
    return Statistic(outside, "finished") > before;
  }));
}

BOOST_AUTO_TEST_CASE(LeavingBackendServerGetsNoNewWork)
{
  Fleet fleet;
  BackendPair& leaving = fleet.AddEngine();
  fleet.AddEngine();
  fleet.AddEntry();
  fleet.RequireReady();
  fleet.SetState(leaving.mId, "leaving");
  BOOST_TEST(GetsNoNewWork(fleet, leaving));
}

BOOST_AUTO_TEST_CASE(ColdEngineSurvivesABurst)
{
  Fleet fleet;
  fleet.SetConcurrency("proclamation", 8, 2);
  fleet.Document()["pools"][0]["coldStartMs"] = 60000;
  fleet.Publish();
  BackendPair& engine = fleet.AddEngine(
    { "--cold_seconds=60", "--cold_slots=2", "--token_gap_ms=5" });
  fleet.AddEntry();
  fleet.RequireReady();
  std::vector<std::future<StreamedAnswer>> answers;
  answers.reserve(12);
  for (int number = 0; number < 12; ++number) {
    answers.push_back(BeginStream(fleet.Chat("m" + std::to_string(number), 5)));
  }
  int whole = 0;
  for (int number = 0; number < 12; ++number) {
    const auto answer = answers[static_cast<std::size_t>(number)].get();
    whole += IsWhole(answer, "m" + std::to_string(number), 5) ? 1 : 0;
  }
  BOOST_TEST(engine.mBackend->IsRunning());
  BOOST_TEST(Statistic(engine, "maximumRunningCold") <= 2);
  BOOST_TEST(whole == 12);
}

BOOST_AUTO_TEST_CASE(StaleOrMissingConfigurationServiceRevertsNothing)
{
  Fleet fleet;
  const CallerKey second{ "beta2", "s3cretOfBeta2" };
  fleet.AddEngine();
  fleet.AddEntry();
  fleet.RequireReady();
  SendJson(
    fleet.PlatformPort(), "POST", "/fault", { { "configuration", "stale" } });
  HttpCall call = fleet.Chat("a", 1);
  BOOST_TEST(ReadStream(call).mStatus == 200);
  SendJson(
    fleet.PlatformPort(), "POST", "/fault", { { "configuration", "none" } });
  fleet.Document()["teams"][0]["keys"].push_back(second.Entry());
  fleet.Publish();
  call.mHeaders["Authorization"] = second.Authorization();
  BOOST_TEST(
    WaitUntil(seconds(5), [&] { return ReadStream(call).mStatus == 200; }));
  // A service that falls back to an older document.
  nlohmann::json old = fleet.Document();
  old["version"] = 1;
  old["teams"][0]["keys"].erase(1);
  SendJson(fleet.PlatformPort(), "PUT", "/configuration", old);
  std::this_thread::sleep_for(seconds(2));
  BOOST_TEST(ReadStream(call).mStatus == 200);
  SendJson(
    fleet.PlatformPort(), "POST", "/fault", { { "configuration", "down" } });
  std::this_thread::sleep_for(seconds(1));
  BOOST_TEST(ReadStream(call).mStatus == 200);
  // A newcomer gets the document in force from its peers.
  const EntryProcess& newcomer = fleet.AddEntry();
  BOOST_TEST(WaitReady(newcomer.mPort, "/readyz"));
  call.mUrl = LocalUrl(newcomer.mPort, "/v1/chat/completions");
  BOOST_TEST(ReadStream(call).mStatus == 200);
}

BOOST_AUTO_TEST_CASE(TeamStaysWithinItsRateOverAllEntries)
{
  Fleet fleet;
  fleet.Document()["teams"][0]["rate"] = 20;
  fleet.Document()["teams"][0]["burst"] = 10;
  fleet.Publish();
  fleet.AddEngine({ "--slots=8", "--first_token_ms=1" });
  EntryProcess* entries[] = { &fleet.AddEntry(), &fleet.AddEntry() };
  fleet.RequireReady();
  const auto start = std::chrono::steady_clock::now();
  std::atomic<int> admitted{ 0 };
  std::atomic<int> wrong{ 0 };
  std::vector<std::thread> callers;
  callers.reserve(4);
  for (int number = 0; number < 4; ++number) {
    callers.emplace_back([&, number] {
      HttpCall call = fleet.Chat("a", 1);
      call.mUrl = LocalUrl(entries[number % 2]->mPort, "/v1/chat/completions");
      while (std::chrono::steady_clock::now() - start < seconds(5)) {
        const int status = ReadStream(call).mStatus;
        admitted += status == 200 ? 1 : 0;
        wrong += status != 200 && status != 429 ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(10));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const std::chrono::duration<double> passed =
    std::chrono::steady_clock::now() - start;
  BOOST_TEST(admitted <= 20 * passed.count() + 10);
  BOOST_TEST(admitted >= 20);
  BOOST_TEST(wrong == 0);
}

BOOST_AUTO_TEST_CASE(HigherTierGoesFirstAndLowestStillFinishes)
{
  Fleet fleet;
  fleet.SetConcurrency("proclamation", 1, 1);
  auto bulk = fleet.Document()["routes"][0];
  bulk["class"] = "bulk";
  fleet.Document()["routes"].push_back(bulk);
  fleet.Publish();
  fleet.AddEngine({ "--slots=1", "--first_token_ms=20", "--token_gap_ms=10" });
  fleet.AddEntry();
  fleet.RequireReady();
  std::atomic<bool> over{ false };
  std::atomic<int> drafts{ 0 };
  std::vector<std::thread> callers;
  callers.reserve(4);
  for (int number = 0; number < 4; ++number) {
    callers.emplace_back([&] {
      while (!over) {
        drafts += IsWhole(ReadStream(fleet.Chat("d", 5)), "d", 5) ? 1 : 0;
      }
    });
  }
  std::this_thread::sleep_for(milliseconds(300));
  HttpCall review = fleet.Chat("review", 5);
  review.mHeaders["X-Medlarkeel-Class"] = "bulk";
  const auto answer = ReadStream(review);
  over = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(IsWhole(answer, "review", 5), answer.mBody);
  BOOST_TEST(drafts >= 5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
