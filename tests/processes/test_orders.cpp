#include "fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <future>
#include <sstream>
#include <thread>

namespace medlarkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** @return Settings of agents with bounds short enough for a test. */
nlohmann::json
QuickOrders()
{
  return nlohmann::json::parse(R"({
    "control": {"evidenceValidMs": 1500},
    "orders": {"noticeMs": 0, "pauseBoundMs": 1000, "timeoutMs": 1500,
               "adapterSettleMs": 1500, "adapterHoldMs": 3000,
               "rolloutTurnMs": 4500, "rolloutWidth": 1}})");
}

void
SetModel(Fleet& aFleet,
         const std::string& aVersion,
         const std::vector<std::string>& aAdapters,
         bool aHonoursFencing = true)
{
  nlohmann::json& pool = aFleet.Document()["pools"][0];
  pool["adapters"] = aAdapters;
  pool["honoursFencing"] = aHonoursFencing;
  if (!aVersion.empty()) {
    pool["version"] = aVersion;
  }
}

nlohmann::json
StateOf(const BackendPair& aPair)
{
  return GetJson(aPair.mBackendPort, "/state");
}

nlohmann::json
OrdersOf(const BackendPair& aPair)
{
  return GetJson(aPair.mBackendPort, "/orders")["orders"];
}

bool
WaitForVersion(const BackendPair& aPair, const std::string& aVersion)
{
  return WaitUntil(seconds(25),
                   [&] { return StateOf(aPair)["version"] == aVersion; });
}

/** @return The log lines of one event. */
std::vector<nlohmann::json>
EventsOf(const ChildProcess& aProcess, const std::string& aName)
{
  std::vector<nlohmann::json> events;
  std::istringstream log(aProcess.Log());
  for (std::string line; std::getline(log, line);) {
    const auto event = nlohmann::json::parse(line, nullptr, false);
    if (event.is_object() && event.value("name", "") == aName) {
      events.push_back(event);
    }
  }
  return events;
}

bool
WaitForEvent(const ChildProcess& aProcess, const std::string& aName)
{
  return WaitUntil(seconds(20),
                   [&] { return !EventsOf(aProcess, aName).empty(); });
}

HttpCall
AdapterChat(const Fleet& aFleet, const std::string& aAdapter)
{
  HttpCall call = aFleet.Chat("festival", 3);
  auto body = nlohmann::json::parse(call.mBody);
  body["model"] = "proclamation:" + aAdapter;
  call.mBody = body.dump();
  return call;
}

/** @return Engines that hold the adapter. */
std::size_t
CopiesOf(const std::vector<BackendPair*>& aEngines, const std::string& aAdapter)
{
  return static_cast<std::size_t>(
    std::count_if(aEngines.begin(), aEngines.end(), [&](auto* aEngine) {
      const auto adapters = StateOf(*aEngine)["adapters"];
      return std::find(adapters.begin(), adapters.end(), aAdapter) !=
             adapters.end();
    }));
}

std::size_t
OrderCount(const std::vector<BackendPair*>& aEngines)
{
  std::size_t count = 0;
  for (const BackendPair* engine : aEngines) {
    count += OrdersOf(*engine).size();
  }
  return count;
}

/** @return The most drains that lasted at the same time. */
std::size_t
MostDrainsAtOnce(const std::vector<BackendPair*>& aEngines)
{
  std::vector<std::pair<std::string, int>> changes;
  for (const BackendPair* engine : aEngines) {
    for (const auto& event : EventsOf(*engine->mAgent, "drain-began")) {
      changes.emplace_back(event["time"], 1);
    }
    for (const auto& event : EventsOf(*engine->mAgent, "drain-ended")) {
      changes.emplace_back(event["time"], -1);
    }
  }
  std::sort(changes.begin(), changes.end());
  int now = 0;
  int most = 0;
  for (const auto& change : changes) {
    now += change.second;
    most = std::max(most, now);
  }
  return static_cast<std::size_t>(most);
}

/** Sends chats from several callers until it is stopped. */
class Traffic
{
public:
  explicit Traffic(const Fleet& aFleet)
  {
    for (int caller = 0; caller < 4; ++caller) {
      mCallers.push_back(std::async(std::launch::async, [&aFleet, this] {
        while (!mStopped) {
          const auto answer = ReadStream(aFleet.Chat("draft", 20));
          ++(IsWhole(answer, "draft", 20) ? mWhole : mOthers);
        }
      }));
    }
  }

  void Stop()
  {
    mStopped = true;
    for (auto& caller : mCallers) {
      caller.get();
    }
  }

  std::atomic<int> mWhole{ 0 };
  std::atomic<int> mOthers{ 0 };

private:
  std::atomic<bool> mStopped{ false };
  std::vector<std::future<void>> mCallers;
};

std::uint64_t
WallMicroseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

/** An engine whose agent is to load v2 and its successor v3. */
class Succession
{
public:
  Succession(bool aHonoursFencing, const nlohmann::json& aOrders)
    : mHonoursFencing(aHonoursFencing)
    , mFleet(std::make_unique<Fleet>())
  {
    mFleet->SetAgentSettings(aOrders);
    SetModel(*mFleet, "v2", {}, mHonoursFencing);
    mFleet->Publish();
    mEngine = &mFleet->AddEngine(
      { "--model_version=v1",
        "--load_ms=1000",
        mHonoursFencing ? "--honours_fencing" : "--slots=8" });
  }

  BackendPair& Engine() { return *mEngine; }

  /** Starts the successor; the old agent must not run. */
  void Succeed()
  {
    mSucceededAt = WallMicroseconds();
    SetModel(*mFleet, "v3", {}, mHonoursFencing);
    mFleet->Publish();
    mFleet->ReplaceAgent(*mEngine);
  }

  /** @return Orders of the old agent that took effect after one of the new. */
  int Overruns() const
  {
    bool isNewSeen = false;
    int overruns = 0;
    for (const auto& order : OrdersOf(*mEngine)) {
      const bool isNew = order["fencing"].get<std::uint64_t>() > mSucceededAt;
      const bool hadEffect = order["outcome"] == "applied";
      overruns += !isNew && hadEffect && isNewSeen ? 1 : 0;
      isNewSeen = isNewSeen || (isNew && hadEffect);
    }
    return overruns;
  }

private:
  const bool mHonoursFencing;
  std::unique_ptr<Fleet> mFleet;
  BackendPair* mEngine = nullptr;
  std::uint64_t mSucceededAt = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(orders)

BOOST_AUTO_TEST_CASE(APausedAgentsOrderHasNoEffectAfterItsSuccessors)
{
  nlohmann::json orders = QuickOrders();
  orders["orders"]["noticeMs"] = 900;
  std::array<Succession, 2> successions{ Succession(true, orders),
                                         Succession(false, orders) };
  for (Succession& succession : successions) {
    ChildProcess& agent = *succession.Engine().mAgent;
    BOOST_REQUIRE(WaitForEvent(agent, "order-decided"));
    agent.Signal(SIGSTOP);
    succession.Succeed();
  }
  for (Succession& succession : successions) {
    const BackendPair& engine = succession.Engine();
    BOOST_TEST(WaitForVersion(engine, "v3"));
    engine.mAgent->Signal(SIGCONT);
    BOOST_TEST(WaitForEvent(*engine.mAgent, "order-voided"));
    std::this_thread::sleep_for(seconds(1));
    BOOST_TEST(StateOf(engine)["version"] == "v3");
    BOOST_TEST(succession.Overruns() == 0);
    BOOST_TEST(Statistic(engine, "ordersRefused") == 0);
  }
}

BOOST_AUTO_TEST_CASE(AnAgentKilledDuringAnOrderIsFollowedByItsSuccessor)
{
  std::array<Succession, 2> successions{ Succession(true, QuickOrders()),
                                         Succession(false, QuickOrders()) };
  for (Succession& succession : successions) {
    const BackendPair& engine = succession.Engine();
    BOOST_REQUIRE(WaitUntil(
      seconds(20), [&] { return StateOf(engine)["loading"] == "v2"; }));
    engine.mAgent->Kill();
    succession.Succeed();
  }
  for (Succession& succession : successions) {
    BOOST_TEST(WaitForVersion(succession.Engine(), "v3"));
    const auto received = OrdersOf(succession.Engine());
    BOOST_TEST(succession.Overruns() == 0);
    BOOST_REQUIRE(received.size() == 2U);
    BOOST_TEST(received[1]["receivedMs"].get<std::int64_t>() >=
               received[0]["effectiveMs"].get<std::int64_t>());
  }
}

BOOST_AUTO_TEST_CASE(ARolloutWithTrafficCutsNothing)
{
  Fleet fleet;
  fleet.SetAgentSettings(QuickOrders());
  SetModel(fleet, "v1", {});
  fleet.Publish();
  std::vector<BackendPair*> engines;
  engines.reserve(3);
  for (int number = 0; number < 3; ++number) {
    engines.push_back(&fleet.AddEngine(
      { "--model_version=v1", "--load_ms=500", "--token_gap_ms=20" }));
  }
  fleet.AddEntry();
  fleet.RequireReady();
  Traffic traffic(fleet);
  SetModel(fleet, "v2", {});
  fleet.Publish();
  for (const BackendPair* engine : engines) {
    BOOST_TEST(WaitForVersion(*engine, "v2"));
    BOOST_TEST(WaitForEvent(*engine->mAgent, "drain-ended"));
  }
  traffic.Stop();
  BOOST_TEST(traffic.mWhole > 0);
  BOOST_TEST(traffic.mOthers == 0);
  BOOST_TEST(MostDrainsAtOnce(engines) == 1U);
  for (const BackendPair* engine : engines) {
    BOOST_TEST(Statistic(*engine, "cutByOrders") == 0);
  }
}

BOOST_AUTO_TEST_CASE(AdaptersArePlacedServedAndKeptWhileTheListFlaps)
{
  Fleet fleet;
  fleet.SetAgentSettings(QuickOrders());
  const std::uint16_t store = fleet.AddWeightStore({ "--rate=2", "--burst=3" });
  SetModel(fleet, "", { "festival", "funeral", "fair" });
  fleet.Document()["weightStoreRate"] = 2;
  fleet.Document()["weightStoreBurst"] = 1;
  fleet.Publish();
  std::vector<BackendPair*> engines;
  engines.reserve(3);
  for (int number = 0; number < 3; ++number) {
    engines.push_back(&fleet.AddEngine(
      { "--weight_store_port=" + std::to_string(store), "--load_ms=100" }));
  }
  fleet.AddEntry();
  fleet.RequireReady();
  BOOST_TEST(WaitUntil(seconds(20), [&] {
    return GetJson(store, "/stats").value("draws", 0) > 0;
  }));
  engines[1]->mAgent->Signal(SIGSTOP);
  engines[2]->mAgent->Kill();
  fleet.ReplaceAgent(*engines[2]);
  std::this_thread::sleep_for(milliseconds(2500));
  engines[1]->mAgent->Signal(SIGCONT);
  for (const char* adapter : { "festival", "funeral", "fair" }) {
    BOOST_TEST(
      WaitUntil(seconds(25), [&] { return CopiesOf(engines, adapter) == 2; }));
    for (int number = 0; number < 6; ++number) {
      const auto answer = ReadStream(AdapterChat(fleet, adapter));
      BOOST_TEST(IsWhole(answer, "festival", 3));
    }
  }
  const auto unknown = ReadStream(AdapterChat(fleet, "wedding"));
  BOOST_TEST(unknown.mStatus == 400);
  BOOST_TEST(unknown.mBody.find("\"executed\":\"no\"") != std::string::npos);
  const std::size_t before = OrderCount(engines);
  for (int flap = 0; flap < 3; ++flap) {
    fleet.SetState(engines[0]->mId, "leaving");
    std::this_thread::sleep_for(milliseconds(700));
    fleet.SetState(engines[0]->mId, "live");
    std::this_thread::sleep_for(milliseconds(700));
  }
  BOOST_TEST(OrderCount(engines) == before);
  BOOST_TEST(before == 6U);
  BOOST_TEST(GetJson(store, "/stats")["draws"] == 6);
  BOOST_TEST(GetJson(store, "/stats")["breaches"] == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
