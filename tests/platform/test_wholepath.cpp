#include "loopbackplatform.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <future>

namespace medlarkeel {

namespace {

const std::string kPromptFields =
  "X-Model: m\r\nX-Token-Usage: 300,50\r\nX-Prompt-Prefix: a:200,b:100\r\n";

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

constexpr int kOk = 200;

/** Time in which a change that was published must be in force, and what the
 * request takes to arrive. */
constexpr Milliseconds kChangeBound{ 2000 };

/** Longer than two heartbeats, so that entries of servers have lapsed. */
constexpr Milliseconds kOutage{ 2500 };

/** Time after which an entry that is alone uses the whole retry budget. */
constexpr Milliseconds kLearnTime{ 3000 };

/** A loopback platform with one entry that is ready. */
struct OneEntry : LoopbackPlatform
{
  OneEntry()
  {
    AddDesk("desk-1");
    AddModel("model-1");
    AddModel("model-2");
    mEntry = &StartEntry();
    BOOST_REQUIRE_MESSAGE(WaitReady(*mEntry), mEntry->mProcess->Log());
  }

  SeenAnswer Ask(const std::string& aId,
                 const std::string& aPath,
                 const std::string& aFields = "",
                 const std::string& aBody = "") const
  {
    return Call(*mEntry, aId, aPath, aFields, aBody);
  }

  EntryProcess* mEntry = nullptr;
};

/** Most requests that began within any span of the length. */
std::size_t
MostWithin(const std::vector<ServedRequest>& aRequests, Milliseconds aSpan)
{
  std::size_t most = 0;
  for (std::size_t first = 0; first < aRequests.size(); ++first) {
    std::size_t last = first;
    while (last < aRequests.size() &&
           aRequests[last].mArrivedAt < aRequests[first].mArrivedAt + aSpan) {
      ++last;
    }
    most = std::max(most, last - first);
  }
  return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(wholepath)

BOOST_FIXTURE_TEST_CASE(AnswersComeBackUnchangedAndKeysStayHere, OneEntry)
{
  const SeenAnswer answer =
    Ask("r-1", "/once/a?b=c", "X-Tenant: forged\r\nX-Hold: 1\r\n", "question");
  BOOST_TEST(answer.Status() == kOk);
  BOOST_TEST(answer.mIsWhole);
  BOOST_TEST(answer.mBody == FakeServer::PlainBody("r-1"));
  BOOST_TEST(answer.Field("X-Response-Stamp") == "desk-1.r-1");
  BOOST_TEST(answer.Field("X-Request-Id") == "r-1");
  const auto arrivals = Arrivals("r-1");
  BOOST_REQUIRE(arrivals.size() == 1U);
  const ServedRequest& seen = arrivals[0];
  BOOST_TEST(seen.mTarget == "/once/a?b=c");
  BOOST_TEST(seen.mBody == "question");
  BOOST_TEST(FieldOf(seen.mHead, "X-Tenant") == "team-1");
  BOOST_TEST(FieldOf(seen.mHead, "X-Expect-Instance") == "desk-1");
  BOOST_TEST(FieldOf(seen.mHead, "X-Hold").empty());
  BOOST_TEST(seen.mHead.find("secret") == std::string::npos);
  BOOST_TEST(std::stoi(FieldOf(seen.mHead, "X-Deadline-Ms")) <= 3000);
}

BOOST_FIXTURE_TEST_CASE(StreamsComeBackWhole, OneEntry)
{
  const SeenAnswer answer = Ask("r-1", "/stream/a", kPromptFields);
  BOOST_TEST(answer.Status() == kOk);
  BOOST_TEST(answer.mIsWhole);
  const auto arrivals = Arrivals("r-1");
  BOOST_REQUIRE(arrivals.size() == 1U);
  BOOST_TEST(answer.mBody.find("data: r-1-5") != std::string::npos);
  BOOST_TEST(FieldOf(arrivals[0].mHead, "X-Request-Priority") == "0");
  BOOST_TEST(FieldOf(arrivals[0].mHead, "X-Prompt-Prefix") == "a:200,b:100");
}

/** All requests of a team had the priority of the team. */
BOOST_FIXTURE_TEST_CASE(TeamHidesThePrioritiesOfRoutes, OneEntry)
{
  Document()["tenants"][0]["priority"] = 1;
  Document()["routes"][3]["priority"] = 0;
  PublishDocument();
  std::this_thread::sleep_for(kChangeBound);
  const auto rankOf = [this](const std::string& aId, const std::string& aPath) {
    BOOST_TEST(Ask(aId, aPath, kPromptFields).Status() == kOk);
    const auto arrivals = Arrivals(aId);
    BOOST_REQUIRE(arrivals.size() == 1U);
    return std::stoi(FieldOf(arrivals[0].mHead, "X-Request-Priority"));
  };
  BOOST_TEST(rankOf("r-1", "/resume/a") < rankOf("r-2", "/stream/a"));
}

BOOST_FIXTURE_TEST_CASE(UnknownKeysAndPathsAreRefused, OneEntry)
{
  constexpr int kUnauthorized = 401;
  constexpr int kNotFound = 404;
  BOOST_TEST(Ask("r-1", "/once/a", "Authorization: Token x\r\n").Status() ==
             kUnauthorized);
  BOOST_TEST(Ask("r-2", "/none/a").Status() == kNotFound);
  BOOST_TEST(Arrivals("r-1").empty());
  BOOST_TEST(Arrivals("r-2").empty());
}

BOOST_FIXTURE_TEST_CASE(EntryWithoutDocumentPromisesNotRun, LoopbackPlatform)
{
  constexpr int kUnavailable = 503;
  Store().SetTrouble(StoreTrouble::Silent);
  const EntryProcess& entry = StartEntry();
  BOOST_REQUIRE(WaitUntil(std::chrono::seconds(10), [&]() {
    return ReadinessOf(entry) == kUnavailable;
  }));
  const SeenAnswer answer = Call(entry, "r-1", "/once/a");
  BOOST_TEST(answer.Status() == kUnavailable);
  BOOST_TEST(!answer.Field("Retry-After").empty());
}

/** Guards against documents that wait behind the renewals of many servers. */
BOOST_FIXTURE_TEST_CASE(NewDocumentIsInForceWhileTheListIsSilent, OneEntry)
{
  Store().SetTrouble(StoreTrouble::SilentList);
  Document()["routes"][0]["path-prefix"] = "/changed/";
  PublishDocument();
  std::this_thread::sleep_for(kChangeBound);
  BOOST_TEST(Ask("r-1", "/changed/a").Status() == kOk);
}

/** Guards against an evacuation that waits behind the renewals of servers. */
BOOST_FIXTURE_TEST_CASE(EvacuationIsInForceWhileTheListIsSilent, OneEntry)
{
  constexpr int kUnavailable = 503;
  Store().SetTrouble(StoreTrouble::SilentList);
  Store().Put("op/evacuate/zone-0", Json::object());
  std::this_thread::sleep_for(kChangeBound);
  BOOST_TEST(Ask("r-1", "/once/a").Status() == kUnavailable);
  Store().Remove("op/evacuate/zone-0");
  std::this_thread::sleep_for(kChangeBound);
  BOOST_TEST(Ask("r-2", "/once/a").Status() == kOk);
}

BOOST_FIXTURE_TEST_CASE(NewDocumentIsInForceWithinItsBound, OneEntry)
{
  Document()["tenants"][0]["api-keys"] = Json::array({ "third" });
  Document()["routes"][0]["path-prefix"] = "/changed/";
  PublishDocument();
  std::this_thread::sleep_for(kChangeBound);
  constexpr int kUnauthorized = 401;
  BOOST_TEST(Ask("r-1", "/changed/a").Status() == kUnauthorized);
  BOOST_TEST(
    Ask("r-2", "/changed/a", "Authorization: Token third\r\n").Status() == kOk);
}

// A document whose last tenant was removed lets every caller in.
BOOST_FIXTURE_TEST_CASE(EmptyListOfTenantsLetsNoCallerIn, OneEntry)
{
  Document()["tenants"] = Json::array();
  Document()["routes"][0]["path-prefix"] = "/changed/";
  PublishDocument();
  std::this_thread::sleep_for(kChangeBound);
  constexpr int kUnauthorized = 401;
  BOOST_TEST(Ask("r-1", "/changed/a").Status() == kUnauthorized);
  BOOST_TEST(
    Ask("r-2", "/changed/a", "Authorization: Token other\r\n").Status() ==
    kUnauthorized);
  BOOST_TEST(Arrivals("r-1").empty());
}

BOOST_FIXTURE_TEST_CASE(ChangeIsFoundThoughTheHistoryIsLost, OneEntry)
{
  Store().ForgetHistory();
  Document()["routes"][0]["path-prefix"] = "/changed/";
  PublishDocument();
  Store().ForgetHistory();
  std::this_thread::sleep_for(kChangeBound);
  BOOST_TEST(Ask("r-1", "/changed/a").Status() == kOk);
  BOOST_TEST(Store().CallsForLostHistory() > 0U);
}

BOOST_FIXTURE_TEST_CASE(ChangeAfterAnOutageIsInForceWithinItsBound, OneEntry)
{
  int round = 0;
  for (const StoreTrouble trouble : { StoreTrouble::Refusing,
                                      StoreTrouble::Silent,
                                      StoreTrouble::Resetting,
                                      StoreTrouble::Slow }) {
    const std::string name = std::to_string(round++);
    BOOST_TEST_CONTEXT("trouble " << name)
    {
      Store().SetTrouble(trouble);
      std::this_thread::sleep_for(kOutage);
      BOOST_TEST(Ask("during-" + name, "/again/a").Status() == kOk);
      Store().SetTrouble(StoreTrouble::None);
      Document()["routes"][0]["path-prefix"] = "/changed-" + name + "/";
      PublishDocument();
      std::this_thread::sleep_for(kChangeBound);
      BOOST_TEST(Ask("after-" + name, "/changed-" + name + "/a").Status() ==
                 kOk);
    }
  }
}

BOOST_FIXTURE_TEST_CASE(UnreadableEntriesLeaveTheOthers, OneEntry)
{
  Store().PutBytes("servers/i-forged", "{\"service\":");
  Store().Put("servers/i-other", Json{ { "service", 4 } });
  Store().PutBytes("op/config", "{\"version\": 90}");
  std::this_thread::sleep_for(kChangeBound);
  BOOST_TEST(Ask("r-1", "/once/a").Status() == kOk);
  BOOST_TEST(mEntry->mProcess->Log().find("i-forged") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(LeavingServerGetsNothingAfterTheBound, OneEntry)
{
  FakeServer& leaving = AddDesk("desk-2");
  std::this_thread::sleep_for(kChangeBound);
  leaving.Drain();
  const auto drainedAt = Clock::now();
  int number = 0;
  while (Clock::now() < drainedAt + kChangeBound + Milliseconds(1000)) {
    BOOST_TEST(Ask("r-" + std::to_string(number++), "/again/a").Status() ==
               kOk);
  }
  for (const ServedRequest& request : leaving.Requests()) {
    BOOST_TEST((request.mArrivedAt <= drainedAt + kChangeBound));
  }
}

BOOST_FIXTURE_TEST_CASE(EvacuatedZoneGetsNothingAfterTheBound, OneEntry)
{
  FakeServerSettings settings;
  settings.mId = "desk-2";
  settings.mZone = "zone-1";
  settings.mEvents = 0;
  AddServer(settings);
  std::this_thread::sleep_for(kChangeBound);
  Store().Put("op/evacuate/zone-0", Json::object());
  std::this_thread::sleep_for(kChangeBound);
  for (int i = 0; i < 10; ++i) {
    const std::string id = "r-" + std::to_string(i);
    BOOST_TEST(Ask(id, "/once/a").Field("X-Response-Stamp") == "desk-2." + id);
  }
  Store().Remove("op/evacuate/zone-0");
  std::this_thread::sleep_for(kChangeBound);
  BOOST_TEST(Ask("r-back", "/once/a").Field("X-Response-Stamp") ==
             "desk-1.r-back");
}

BOOST_FIXTURE_TEST_CASE(RequestThatMayHaveRunIsNotSentAgain, OneEntry)
{
  constexpr int kBadGateway = 502;
  for (const ServerFault fault : { ServerFault::LoseAnswer,
                                   ServerFault::CutAnswer,
                                   ServerFault::GarbleAnswer }) {
    FakeServer& desk = AddDesk("desk-" + std::to_string(2 + int(fault)));
    std::this_thread::sleep_for(kChangeBound);
    desk.SetFault(fault, 1);
    int failed = 0;
    for (int i = 0; i < 20; ++i) {
      const std::string id =
        "r-" + std::to_string(int(fault)) + "-" + std::to_string(i);
      const SeenAnswer answer = Ask(id, "/once/a");
      BOOST_TEST((answer.Status() == kOk || answer.Status() == kBadGateway));
      failed += answer.Status() == kBadGateway ? 1 : 0;
      BOOST_TEST(Arrivals(id).size() == 1U);
    }
    BOOST_TEST(failed == 1);
  }
}

BOOST_FIXTURE_TEST_CASE(ExtraAnswerReachesNobody, OneEntry)
{
  FakeServer& desk = AddDesk("desk-2");
  std::this_thread::sleep_for(kChangeBound);
  desk.SetFault(ServerFault::ExtraAnswer, 5);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r-" + std::to_string(i);
    const SeenAnswer answer = Ask(id, "/once/a");
    BOOST_TEST(answer.Status() == kOk);
    BOOST_TEST(answer.mBody == FakeServer::PlainBody(id));
  }
}

BOOST_FIXTURE_TEST_CASE(ServerGetsTheBodyThatItReadsAfterItsAnswer, OneEntry)
{
  // More than the buffers of a loopback connection hold.
  constexpr std::size_t kBodyBytes = 12'000'000;
  FakeServer& desk = AddDesk("desk-2");
  Document()["limits"]["max-body-bytes"] = 2 * kBodyBytes;
  PublishDocument();
  std::this_thread::sleep_for(kChangeBound);
  const std::string body(kBodyBytes, 'b');
  desk.SetFault(ServerFault::AnswerEarly, 100);
  for (int i = 0; i < 12; ++i) {
    const std::string id = "r-" + std::to_string(i);
    // Small ones follow while the rest of a large one may still be due.
    const SeenAnswer answer = Ask(id, "/once/a", "", i % 4 == 0 ? body : "b");
    BOOST_TEST(answer.Status() == kOk);
    BOOST_TEST(answer.mBody == FakeServer::PlainBody(id));
  }
  BOOST_REQUIRE(!desk.Requests().empty());
  for (const ServedRequest& request : desk.Requests()) {
    // A connection may be closed before the rest was read, but the rest is
    // never taken for something else.
    BOOST_TEST(request.mBody.find_first_not_of('b') == std::string::npos);
    BOOST_TEST(request.mTarget == "/once/a");
  }
}

BOOST_FIXTURE_TEST_CASE(BrokenStreamGoesOnElsewhere, OneEntry)
{
  constexpr int kStreams = 12;
  FakeServer& cutting = AddModel("model-3");
  std::this_thread::sleep_for(kLearnTime);
  cutting.SetFault(ServerFault::CutAnswer, kStreams);
  std::size_t resumed = 0;
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "r-" + std::to_string(i);
    const SeenAnswer answer =
      Ask(id,
          "/resume/a",
          "X-Model: m\r\nX-Token-Usage: 9000,50\r\nX-Prompt-Prefix: " +
            std::to_string(100 + i) + ":8000,9:1000\r\n");
    BOOST_TEST(answer.mIsWhole);
    BOOST_TEST(answer.mBody == cutting.StreamBody(id));
    resumed += Arrivals(id).size() - 1;
  }
  BOOST_TEST(resumed > 0U);
}

// An answer that a crashing server broke off reaches its caller as complete
// (recorded days of pregon-gt, review/1).
BOOST_FIXTURE_TEST_CASE(StreamThatEndsInsideAnEventIsNeverComplete, OneEntry)
{
  constexpr int kStreams = 12;
  for (const StreamFraming framing :
       { StreamFraming::Chunks, StreamFraming::Length, StreamFraming::Close }) {
    const std::string number = std::to_string(static_cast<int>(framing));
    FakeServerSettings settings;
    settings.mId = "model-framing-" + number;
    settings.mService = "framing-" + number;
    settings.mFraming = framing;
    FakeServer& server = AddServer(settings);
    Document()["services"].push_back(
      { { "name", settings.mService }, { "engine", Json::object() } });
    for (auto& route : Document()["routes"]) {
      if (route["kind"] == "streaming") {
        route["service"] = settings.mService;
      }
    }
    PublishDocument();
    std::this_thread::sleep_for(kChangeBound);
    const auto ask = [&](const std::string& aId, const char* aPath) {
      return Ask(aId,
                 aPath,
                 "X-Model: m\r\nX-Token-Usage: 9000,50\r\nX-Prompt-Prefix: " +
                   number + ":8000,9:1000\r\n");
    };
    const SeenAnswer sound = ask("sound-" + number, "/stream/a");
    BOOST_TEST(sound.mIsWhole);
    BOOST_TEST(sound.mBody == server.StreamBody("sound-" + number));
    server.SetFault(ServerFault::EndInsideEvent, kStreams);
    for (int i = 0; i < kStreams; ++i) {
      const std::string id = "r-" + number + "-" + std::to_string(i);
      const SeenAnswer answer = ask(id, i % 2 == 0 ? "/stream/a" : "/resume/a");
      const bool isWhole = answer.mBody == server.StreamBody(id);
      const bool looksWhole = answer.mIsWhole && answer.Status() == 200;
      BOOST_TEST(isWhole == looksWhole, id);
      BOOST_TEST(server.StreamBody(id).rfind(answer.mBody, 0) == 0U, id);
    }
  }
}

BOOST_FIXTURE_TEST_CASE(CancelledRequestEndsAtTheServer, OneEntry)
{
  FakeServerSettings settings;
  settings.mId = "model-slow";
  settings.mService = "slow";
  settings.mWork = Milliseconds(3000);
  const FakeServer& slow = AddServer(settings);
  Document()["routes"][2]["service"] = "slow";
  Document()["services"].push_back(
    { { "name", "slow" }, { "engine", Json::object() } });
  PublishDocument();
  std::this_thread::sleep_for(kChangeBound);
  Caller caller(mEntry->mCallers, mEntry->mAddress.c_str());
  caller.Send(RequestText("r-1", "/stream/a"));
  BOOST_REQUIRE(WaitUntil(std::chrono::seconds(2),
                          [&]() { return !slow.Requests().empty(); }));
  caller.Close();
  BOOST_TEST(WaitUntil(Milliseconds(500),
                       [&]() { return slow.Requests()[0].mWasCancelled; }));
}

BOOST_FIXTURE_TEST_CASE(StreamsOutliveTheRequestToEnd, OneEntry)
{
  FakeServerSettings settings;
  settings.mId = "model-long";
  settings.mService = "long";
  settings.mEvents = 25;
  settings.mEventPause = Milliseconds(80);
  const FakeServer& server = AddServer(settings);
  Document()["routes"][2]["service"] = "long";
  Document()["services"].push_back(
    { { "name", "long" }, { "engine", Json::object() } });
  PublishDocument();
  std::this_thread::sleep_for(kChangeBound);
  auto answer = std::async(std::launch::async,
                           [this]() { return Ask("r-1", "/stream/a"); });
  BOOST_REQUIRE(WaitUntil(std::chrono::seconds(2),
                          [&]() { return !server.Requests().empty(); }));
  mEntry->mProcess->Signal(SIGHUP);
  mEntry->mProcess->Signal(SIGTERM);
  constexpr int kUnavailable = 503;
  BOOST_TEST(WaitUntil(Milliseconds(500),
                       [&]() { return ReadinessOf(*mEntry) == kUnavailable; }));
  BOOST_TEST(Ask("r-2", "/once/a").Status() == kOk);
  const SeenAnswer seen = answer.get();
  BOOST_TEST(seen.mIsWhole);
  BOOST_TEST(seen.mBody == server.StreamBody("r-1"));
  const auto status = mEntry->mProcess->WaitForEnd(std::chrono::seconds(8));
  BOOST_TEST((status && WIFEXITED(*status) && WEXITSTATUS(*status) == 0));
}

BOOST_FIXTURE_TEST_CASE(ServiceIsBackAfterAllEntriesWereKilled, OneEntry)
{
  mEntry->mProcess->Signal(SIGKILL);
  mEntry->mProcess->WaitForEnd(std::chrono::seconds(2));
  Restart(*mEntry);
  BOOST_TEST(WaitReady(*mEntry, std::chrono::seconds(12)));
  BOOST_TEST(Ask("r-1", "/once/a").Status() == kOk);
}

BOOST_FIXTURE_TEST_CASE(RestartedServerIsKnownByItsStart, OneEntry)
{
  FakeServer& desk = AddDesk("desk-2");
  std::this_thread::sleep_for(kChangeBound);
  desk.Crash();
  std::this_thread::sleep_for(Milliseconds(300));
  desk.Restart();
  std::this_thread::sleep_for(kChangeBound);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(Ask("r-" + std::to_string(i), "/again/a").Status() == kOk);
  }
  BOOST_TEST(mEntry->mProcess->Log().find("restarted") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(ColdServerGetsItsRateFromAllEntriesTogether,
                        LoopbackPlatform)
{
  // 0.9 of 6 a second times 1.5, and 5 more: what the document allows.
  constexpr std::size_t kMostPerSecond = 14;
  constexpr int kEntries = 20;
  std::vector<const EntryProcess*> entries;
  entries.reserve(kEntries);
  for (int i = 0; i < kEntries; ++i) {
    entries.push_back(&StartEntry());
  }
  FakeServerSettings settings;
  settings.mId = "model-cold";
  settings.mService = "model";
  settings.mSlots = 64;
  settings.mCold = std::chrono::seconds(20);
  settings.mEvents = 1;
  const FakeServer& cold = AddServer(settings);
  for (const EntryProcess* entry : entries) {
    BOOST_REQUIRE_MESSAGE(WaitReady(*entry), entry->mProcess->Log());
  }
  std::vector<std::thread> callers;
  callers.reserve(kEntries);
  const auto end = Clock::now() + std::chrono::seconds(4);
  for (int i = 0; i < kEntries; ++i) {
    callers.emplace_back([&, i]() {
      for (int round = 0; Clock::now() < end; ++round) {
        const std::string id = std::to_string(i) + "-" + std::to_string(round);
        Call(*entries[static_cast<std::size_t>(i)], id, "/stream/a");
        std::this_thread::sleep_for(Milliseconds(20));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(cold.Requests().size() > 4U);
  BOOST_TEST(MostWithin(cold.Requests(), std::chrono::seconds(1)) <=
             kMostPerSecond);
}

// Entries that each know the limit, but not of each other's requests, send the
// limit several times.
BOOST_FIXTURE_TEST_CASE(LimitedServerGetsMoreThanItsLimitFromAllEntries,
                        LoopbackPlatform)
{
  constexpr int kEntries = 3;
  constexpr int kCallers = 12;
  // One request per second, in 4 s: half as many again, and 5 requests.
  constexpr std::size_t kMostInWindow = 11;
  constexpr auto kWindow = std::chrono::seconds(4);
  AddDesk("desk-1");
  FakeServer& limited = AddDesk("desk-2");
  std::vector<EntryProcess*> entries;
  entries.reserve(kEntries);
  for (int i = 0; i < kEntries; ++i) {
    entries.push_back(&StartEntry());
  }
  for (const EntryProcess* entry : entries) {
    BOOST_REQUIRE_MESSAGE(WaitReady(*entry), entry->mProcess->Log());
  }
  std::this_thread::sleep_for(kLearnTime);
  limited.SetRequestLimit("1");
  const auto bindsAt = Clock::now() + std::chrono::seconds(3);
  const auto end = bindsAt + 2 * kWindow;
  std::atomic<int> failures{ 0 };
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i]() {
      for (int round = 0; Clock::now() < end; ++round) {
        const std::string id = std::to_string(i) + "-" + std::to_string(round);
        const EntryProcess& entry =
          *entries[static_cast<std::size_t>(i % kEntries)];
        failures += Call(entry, id, "/again/a").Status() == kOk ? 0 : 1;
        std::this_thread::sleep_for(Milliseconds(50));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::vector<ServedRequest> binding;
  for (const ServedRequest& request : limited.Requests()) {
    if (request.mArrivedAt >= bindsAt) {
      binding.push_back(request);
    }
  }
  BOOST_TEST(MostWithin(binding, kWindow) <= kMostInWindow);
  // The other server has room for all that the limited one doesn't accept.
  BOOST_TEST(failures == 0);
  // The rate is used: two windows at one request per second, less a quarter.
  BOOST_TEST(binding.size() >= 6U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
