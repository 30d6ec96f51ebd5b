#include "fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace medlarkeel {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/** Time after which a change counts as known to all that can hear of it. */
constexpr seconds kChangeTime{ 4 };
/** Shorter than the silence after which a stream is given up. */
constexpr milliseconds kPause{ 1500 };
/** Four attempts that each end at the silence bound of 2 s, and a margin. */
constexpr seconds kRefusalTime{ 10 };

/** @param aAfter Seconds after the start. */
void
SleepUntil(steady_clock::time_point aStart, double aAfter)
{
  std::this_thread::sleep_until(
    aStart + std::chrono::duration_cast<steady_clock::duration>(
               std::chrono::duration<double>(aAfter)));
}

std::int64_t
MonotonicMicroseconds()
{
  return std::chrono::duration_cast<microseconds>(
           steady_clock::now().time_since_epoch())
    .count();
}

/** One request that reached the engine: admitted between the two times. */
struct AdmittedSpan
{
  std::int64_t mSent = 0;    // microseconds
  std::int64_t mStarted = 0; // microseconds
};

/** Callers that send more than a team may, through several entries. */
class TeamLoad
{
public:
  TeamLoad(const Fleet& aFleet, const std::vector<EntryProcess*>& aEntries)
    : mFleet(aFleet)
  {
    for (const EntryProcess* entry : aEntries) {
      for (int number = 0; number < kCallersPerEntry; ++number) {
        mCallers.emplace_back([this, entry] { Call(*entry); });
      }
    }
  }

  std::size_t Sent() const { return mNextMarker; }

  /** Ends the load. @return What reached the engine, by time of sending. */
  std::vector<AdmittedSpan> Finish(const BackendPair& aEngine)
  {
    mOver = true;
    for (std::thread& caller : mCallers) {
      caller.join();
    }
    std::vector<AdmittedSpan> spans;
    const auto starts = GetJson(aEngine.mBackendPort, "/stats");
    for (const auto& [marker, started] : starts["startsByMarker"].items()) {
      const auto sent = mSentAt.find(marker);
      if (sent != mSentAt.end()) {
        spans.push_back({ sent->second, started.get<std::int64_t>() });
      }
    }
    return spans;
  }

private:
  static constexpr int kCallersPerEntry = 10;

  void Call(const EntryProcess& aEntry)
  {
    while (!mOver) {
      const std::string marker = "m" + std::to_string(mNextMarker++);
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mSentAt[marker] = MonotonicMicroseconds();
      }
      ReadStream(Fleet::At(aEntry, mFleet.Chat(marker, 1)));
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

  const Fleet& mFleet;
  std::atomic<bool> mOver{ false };
  std::atomic<std::size_t> mNextMarker{ 0 };
  std::mutex mMutex;
  std::map<std::string, std::int64_t> mSentAt;
  std::vector<std::thread> mCallers;
};

/** @return The most that any interval holds above rate x t + burst. */
double
LargestExcess(const std::vector<AdmittedSpan>& aSpans,
              double aRate,
              double aBurst)
{
  double largest = -aBurst;
  for (const AdmittedSpan& first : aSpans) {
    for (const AdmittedSpan& last : aSpans) {
      const auto inside =
        std::count_if(aSpans.begin(), aSpans.end(), [&](const auto& aSpan) {
          return aSpan.mSent >= first.mSent && aSpan.mStarted <= last.mStarted;
        });
      const double length = double(last.mStarted - first.mSent) / 1e6;
      const double allowed = aRate * std::max(0.0, length) + aBurst;
      largest = std::max(largest, double(inside) - allowed);
    }
  }
  return largest;
}

std::size_t
CountSentAfter(const std::vector<AdmittedSpan>& aSpans, std::int64_t aTime)
{
  return std::size_t(
    std::count_if(aSpans.begin(), aSpans.end(), [&](const auto& aSpan) {
      return aSpan.mSent >= aTime;
    }));
}

/** Sends chats one after the other. @return How many were answered whole. */
int
SendChats(const Fleet& aFleet, const EntryProcess& aEntry, int aCount)
{
  int whole = 0;
  for (int number = 0; number < aCount; ++number) {
    const auto answer = ReadStream(Fleet::At(aEntry, aFleet.Chat("p", 1)));
    whole += IsWhole(answer, "p", 1) ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return whole;
}

constexpr double kRate = 20;
constexpr double kBurst = 10;

/** A fleet whose team has a limit, with room at the engine for all it sends. */
struct LimitedFleet
{
  LimitedFleet()
  {
    mFleet.SetConcurrency("proclamation", 64, 64);
    mFleet.Document()["teams"][0]["rate"] = kRate;
    mFleet.Document()["teams"][0]["burst"] = kBurst;
    mFleet.Publish();
    mEngine = &mFleet.AddEngine({ "--slots=64", "--first_token_ms=1" });
  }

  Links mLinks;
  Fleet mFleet{ &mLinks };
  const BackendPair* mEngine = nullptr;
};

/** Two engines that are equally far from the entries' zone. */
struct EnginesInTwoZones
{
  explicit EnginesInTwoZones(Fleet& aFleet)
    : mFleet(aFleet)
  {
    mFleet.Document()["zones"].push_back({ { "name", "xela-c" },
                                           { "region", "gt-occidente" },
                                           { "state", "in" } });
    mFleet.Publish();
    mStaying = &mFleet.AddEngine({}, "xela-b");
    mLeaving = &mFleet.AddEngine({}, "xela-c");
  }

  /** Takes the zone of one engine out of service, or back. */
  void SetZone(const char* aState)
  {
    mFleet.Document()["zones"][2]["state"] = aState;
    mFleet.Publish();
  }

  Fleet& mFleet;
  const BackendPair* mStaying = nullptr;
  const BackendPair* mLeaving = nullptr;
};

/** @return Whether the entry gives the backend server new work in time. */
bool
ReachesSoon(const Fleet& aFleet,
            const EntryProcess& aEntry,
            const BackendPair& aPair)
{
  const int before = Statistic(aPair, "started");
  return WaitUntil(seconds(15), [&] {
    SendChats(aFleet, aEntry, 5);
    return Statistic(aPair, "started") > before;
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(partition)

BOOST_AUTO_TEST_CASE(TeamStaysWithinItsRateWhileAnEntryIsCutOffAndAnotherDies)
{
  LimitedFleet limited;
  Links& links = limited.mLinks;
  Fleet& fleet = limited.mFleet;
  EntryProcess& cut = fleet.AddEntry();
  EntryProcess& killed = fleet.AddEntry();
  EntryProcess& heir = fleet.AddEntry();
  fleet.RequireReady();
  const auto start = steady_clock::now();
  TeamLoad load(fleet, { &cut, &killed, &heir });
  const auto at = [&](double aSeconds) { SleepUntil(start, aSeconds); };
  at(1);
  // The platform takes the entry for dead; its callers still reach it.
  links.Cut(cut.mId, "platform");
  links.Cut(cut.mId, killed.mId);
  links.Cut(cut.mId, heir.mId);
  fleet.Unlist(cut.mId);
  at(1.5);
  killed.mProcess->Kill();
  fleet.Unlist(killed.mId);
  // Evidence of 3 s and list lag of 0.5 s: by now the heir has taken over.
  at(7);
  const std::int64_t takenOver = MonotonicMicroseconds();
  at(9);
  links.Heal();
  at(11);
  const std::size_t sent = load.Sent();
  const auto spans = load.Finish(*limited.mEngine);
  BOOST_TEST(double(sent) >= 3 * kRate * 11);
  BOOST_TEST(LargestExcess(spans, kRate, kBurst) <= 0);
  BOOST_TEST(double(CountSentAfter(spans, takenOver)) >= kRate * 4 / 2);
}

BOOST_AUTO_TEST_CASE(TeamStaysWithinItsRateWhenAFrozenEntryWakesCutOff)
{
  LimitedFleet limited;
  Links& links = limited.mLinks;
  Fleet& fleet = limited.mFleet;
  EntryProcess& frozen = fleet.AddEntry();
  EntryProcess& heir = fleet.AddEntry();
  EntryProcess& third = fleet.AddEntry();
  fleet.RequireReady();
  const auto start = steady_clock::now();
  TeamLoad load(fleet, { &frozen, &heir, &third });
  SleepUntil(start, 1);
  frozen.mProcess->Signal(SIGSTOP);
  fleet.Unlist(frozen.mId);
  links.Cut(frozen.mId, "platform");
  links.Cut(frozen.mId, heir.mId);
  links.Cut(frozen.mId, third.mId);
  // Evidence of 3 s and list lag of 0.5 s: by now the heirs have taken over.
  SleepUntil(start, 6);
  frozen.mProcess->Signal(SIGCONT);
  const std::int64_t awake = MonotonicMicroseconds();
  SleepUntil(start, 10);
  const auto spans = load.Finish(*limited.mEngine);
  BOOST_TEST(LargestExcess(spans, kRate, kBurst) <= 0);
  BOOST_TEST(double(CountSentAfter(spans, awake)) >= kRate * 4 / 2);
}

BOOST_AUTO_TEST_CASE(DocumentsThatComeWhileTokensAreAskedForStopNoEntry)
{
  Fleet fleet;
  fleet.SetConcurrency("proclamation", 64, 64);
  fleet.Document()["teams"][0]["rate"] = 200;
  fleet.Document()["teams"][0]["burst"] = 20;
  fleet.Publish();
  const BackendPair& engine =
    fleet.AddEngine({ "--slots=64", "--first_token_ms=1" });
  std::vector<EntryProcess*> entries{ &fleet.AddEntry(), &fleet.AddEntry() };
  fleet.RequireReady();
  TeamLoad load(fleet, entries);
  for (int number = 0; number < 100; ++number) {
    fleet.Publish();
    std::this_thread::sleep_for(milliseconds(40));
  }
  for (const EntryProcess* entry : entries) {
    HttpCall call = Fleet::At(*entry, fleet.Chat("last", 1));
    call.mTimeout = seconds(5);
    BOOST_TEST(SendHttp(call).has_value());
  }
  load.Finish(engine);
}

BOOST_AUTO_TEST_CASE(ZoneTakenOutReachesAnEntryThatThePlatformDoesnt)
{
  Links links;
  Fleet fleet(&links);
  // Limited teams are served for this long without a reading of the list.
  fleet.SetEvidenceValid(seconds(8));
  EnginesInTwoZones engines(fleet);
  const EntryProcess& cut = fleet.AddEntry();
  const EntryProcess& other = fleet.AddEntry();
  fleet.RequireReady();
  for (const bool fromPeers : { true, false }) {
    BOOST_TEST(ReachesSoon(fleet, cut, *engines.mLeaving));
    links.Cut(cut.mId, "platform");
    if (fromPeers) {
      links.Cut(cut.mId, other.mId);
    }
    engines.SetZone("out");
    std::this_thread::sleep_for(kChangeTime);
    const int before = Statistic(*engines.mLeaving, "started");
    BOOST_TEST(SendChats(fleet, cut, 10) == 10);
    BOOST_TEST(Statistic(*engines.mLeaving, "started") == before);
    engines.SetZone("in");
    links.Heal();
  }
}

BOOST_AUTO_TEST_CASE(LeavingBackendServerRefusesAnEntryThatMissedTheNews)
{
  Links links;
  Fleet fleet(&links);
  // Limited teams are served for this long without a reading of the list.
  fleet.SetEvidenceValid(seconds(8));
  EnginesInTwoZones engines(fleet);
  const EntryProcess& cut = fleet.AddEntry();
  fleet.RequireReady();
  BOOST_TEST(ReachesSoon(fleet, cut, *engines.mLeaving));
  links.Cut(cut.mId, "platform");
  fleet.SetState(engines.mLeaving->mId, "leaving");
  std::this_thread::sleep_for(kChangeTime);
  const int before = Statistic(*engines.mLeaving, "started");
  BOOST_TEST(SendChats(fleet, cut, 10) == 10);
  BOOST_TEST(Statistic(*engines.mLeaving, "started") == before);
}

BOOST_AUTO_TEST_CASE(EntryThatHearsFromNobodyRefusesAtOnceAndCatchesUp)
{
  Links links;
  Fleet fleet(&links);
  EnginesInTwoZones engines(fleet);
  const EntryProcess& cut = fleet.AddEntry();
  fleet.RequireReady();
  BOOST_TEST(ReachesSoon(fleet, cut, *engines.mLeaving));
  const auto started = [&] {
    return Statistic(*engines.mStaying, "started") +
           Statistic(*engines.mLeaving, "started");
  };
  const int before = started();
  links.Isolate(cut.mId);
  engines.SetZone("out");
  const auto asked = steady_clock::now();
  const auto refused = ReadStream(fleet.Chat("nobody", 1));
  BOOST_TEST((steady_clock::now() - asked < kRefusalTime));
  BOOST_TEST(refused.mStatus >= 500);
  BOOST_TEST(refused.mBody.find("\"executed\":\"no\"") != std::string::npos,
             refused.mBody);
  // It keeps its document, however old, and stays in service.
  BOOST_TEST(WaitReady(cut.mPort, "/readyz", seconds(1)));
  links.Heal();
  std::this_thread::sleep_for(kChangeTime);
  BOOST_TEST(started() == before);
  const int late = Statistic(*engines.mLeaving, "started");
  BOOST_TEST(
    WaitUntil(seconds(10), [&] { return SendChats(fleet, cut, 5) == 5; }));
  BOOST_TEST(Statistic(*engines.mLeaving, "started") == late);
}

BOOST_AUTO_TEST_CASE(QueueOfAZoneTakenOutRunsElsewhereWithTheEntryCutOff)
{
  constexpr int kQueued = 6;
  Links links;
  Fleet fleet(&links);
  fleet.SetConcurrency("proclamation", 1, 1);
  fleet.Publish();
  const std::vector<std::string> options{ "--slots=1", "--token_gap_ms=20" };
  const BackendPair& inside = fleet.AddEngine(options, "xela-a");
  const BackendPair& outside = fleet.AddEngine(options, "xela-b");
  const EntryProcess& cut = fleet.AddEntry();
  const EntryProcess& other = fleet.AddEntry();
  fleet.RequireReady();
  // A ready entry may not know the newest agent yet. Once it does, one of two
  // streams at once goes to each of them.
  BOOST_TEST(WaitUntil(seconds(15), [&] {
    auto one = BeginStream(fleet.Chat("one", 5));
    auto two = BeginStream(fleet.Chat("two", 5));
    return IsWhole(one.get(), "one", 5) && IsWhole(two.get(), "two", 5) &&
           Statistic(outside, "started") > 0;
  }));
  BOOST_TEST(WaitUntil(seconds(10), [&] {
    return Statistic(inside, "running") + Statistic(outside, "running") == 0;
  }));
  const int startedBefore = Statistic(outside, "started");
  auto first = BeginStream(fleet.Chat("first", 300));
  auto second = BeginStream(fleet.Chat("second", 300));
  BOOST_TEST(WaitForStatistic(inside, "running", 1));
  BOOST_TEST(WaitForStatistic(outside, "running", 1));
  std::vector<std::future<StreamedAnswer>> queued;
  queued.reserve(kQueued);
  for (int number = 0; number < kQueued; ++number) {
    queued.push_back(BeginStream(fleet.Chat("q" + std::to_string(number), 5)));
  }
  std::this_thread::sleep_for(milliseconds(500));
  links.Cut(cut.mId, "platform");
  links.Cut(cut.mId, other.mId);
  fleet.Document()["zones"][1]["state"] = "out";
  fleet.Publish();
  BOOST_TEST(IsWhole(first.get(), "first", 300));
  BOOST_TEST(IsWhole(second.get(), "second", 300));
  for (int number = 0; number < kQueued; ++number) {
    const auto answer = queued[std::size_t(number)].get();
    BOOST_TEST(IsWhole(answer, "q" + std::to_string(number), 5), answer.mBody);
  }
  BOOST_TEST(Statistic(outside, "started") == startedBefore + 1);
}

BOOST_AUTO_TEST_CASE(WithdrawnKeyStopsAtAnEntryThatSleptAndThePlatformLost)
{
  Links links;
  Fleet fleet(&links);
  const CallerKey second{ "beta2", "s3cretOfBeta2" };
  fleet.SetConcurrency("proclamation", 1, 1);
  fleet.Document()["teams"][0]["keys"].push_back(second.Entry());
  fleet.Publish();
  BackendPair& engine = fleet.AddEngine({ "--slots=1", "--token_gap_ms=20" });
  EntryProcess& asleep = fleet.AddEntry();
  const EntryProcess& awake = fleet.AddEntry();
  fleet.RequireReady();
  auto running = BeginStream(Fleet::At(awake, fleet.Chat("first", 280)));
  BOOST_TEST(WaitForStatistic(engine, "running", 1));
  HttpCall call = fleet.Chat("withdrawn", 1);
  call.mHeaders["Authorization"] = second.Authorization();
  auto queued = BeginStream(call);
  std::this_thread::sleep_for(milliseconds(500));
  links.Cut(asleep.mId, "platform");
  links.Cut(engine.mId, "platform");
  asleep.mProcess->Signal(SIGSTOP);
  fleet.Document()["teams"][0]["keys"].erase(1);
  fleet.Publish();
  std::this_thread::sleep_for(kPause);
  // The process reads this call first, still with the document it knew.
  HttpCall late = fleet.Chat("late", 1);
  late.mHeaders["Authorization"] = second.Authorization();
  auto woken = BeginStream(late);
  std::this_thread::sleep_for(milliseconds(100));
  asleep.mProcess->Signal(SIGCONT);
  BOOST_TEST(woken.get().mStatus >= 400);
  BOOST_TEST(
    WaitUntil(kChangeTime, [&] { return ReadStream(late).mStatus == 401; }));
  const auto refused = queued.get();
  BOOST_TEST(refused.mStatus >= 400);
  BOOST_TEST(refused.mBody.find("\"executed\":\"no\"") != std::string::npos,
             refused.mBody);
  BOOST_TEST(IsWhole(running.get(), "first", 280));
  std::this_thread::sleep_for(seconds(1));
  const auto runs = GetJson(engine.mBackendPort, "/stats")["runsByMarker"];
  BOOST_TEST(!runs.contains("withdrawn"));
  BOOST_TEST(!runs.contains("late"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
