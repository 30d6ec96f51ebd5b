#include "dice.h"
#include "serverprocess.h"
#include "streamcaller.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <sstream>
#include <thread>

namespace medlarkeel {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kServers = 4;
constexpr int kEntries = 2;
constexpr int kCallers = 12;
/** Disruptions that may be under way at the same time. */
constexpr int kDisruptors = 3;

/** Servers that aren't disrupted, and callers that use only them and an entry
 * that isn't disrupted. */
constexpr int kSoundServers = 2;
constexpr int kSoundCallers = 4;

/** Prefixes of the routes to the disrupted servers, but for the one whose
 * streams may be resumed. */
constexpr const char* kRoutes[] = { "/stream/",
                                    "/kept/",
                                    "/repeated/",
                                    "/changing/",
                                    "/plain/" };

/** Size of events that a caller who reads slowly leaves at the entry. */
constexpr int kLargePadding = 200'000;

constexpr int kUnavailable = 503;

/** Interval in which the servers' entries in the store are renewed. */
constexpr Milliseconds kRenewInterval{ 400 };

/** Time in which a restarted fleet serves again. */
constexpr Milliseconds kRecoveryTime{ 5000 };

constexpr PlannedFraming kFramings[] = { PlannedFraming::Chunks,
                                         PlannedFraming::Length,
                                         PlannedFraming::Close };

constexpr StreamFlaw kFlaws[] = { StreamFlaw::None,       StreamFlaw::None,
                                  StreamFlaw::None,       StreamFlaw::None,
                                  StreamFlaw::HalfEvent,  StreamFlaw::Reset,
                                  StreamFlaw::BeginsAnew, StreamFlaw::Empty,
                                  StreamFlaw::Comment };

/** Size of a run, from the environment. */
struct SoakSize
{
  int mServers;
  int mEntries;
  int mCallers;
};

/** What all callers have seen. */
struct SoakCounts
{
  std::atomic<int> mStreams{ 0 };
  std::atomic<int> mWhole{ 0 };
  std::atomic<int> mBroken{ 0 };
  std::atomic<int> mRefused{ 0 };
  std::atomic<int> mFurtherAnswers{ 0 };
  /** Sound answers from servers that aren't disrupted. */
  std::atomic<int> mSound{ 0 };
  std::atomic<int> mSoundRefused{ 0 };
};

/** Entries, backend servers and callers, and what is done to them. */
class StreamFleet : public LoopbackPlatform
{
public:
  explicit StreamFleet(const SoakSize& aSize)
    : mEntryMutexes(static_cast<std::size_t>(aSize.mEntries))
  {
    for (int i = 1; i <= aSize.mServers; ++i) {
      mProcesses.push_back(std::make_unique<ServerProcess>(
        Store(), "model-" + std::to_string(i), Folder()));
    }
    for (int i = 1; i <= std::max(1, aSize.mServers / 2); ++i) {
      mProcesses.push_back(std::make_unique<ServerProcess>(
        Store(), "plain-" + std::to_string(i), Folder(), "plain"));
    }
    for (int i = 1; i <= kSoundServers; ++i) {
      for (const std::string service : { "sound", "sound-plain" }) {
        mSoundServers.push_back(std::make_unique<ServerProcess>(
          Store(), service + "-" + std::to_string(i), Folder(), service));
      }
    }
    AddRoutes();
    mSoundEntry = &StartEntry();
    for (int i = 0; i < aSize.mEntries; ++i) {
      mStarted.push_back(&StartEntry());
    }
    for (const EntryProcess* entry : mStarted) {
      BOOST_REQUIRE_MESSAGE(WaitReady(*entry), entry->mProcess->Log());
    }
    BOOST_REQUIRE(WaitReady(*mSoundEntry));
    mRenewer = std::thread([this]() { Renew(); });
  }

  ~StreamFleet()
  {
    mIsRenewing = false;
    mRenewer.join();
  }

  StreamFleet(const StreamFleet&) = delete;
  StreamFleet& operator=(const StreamFleet&) = delete;

  std::vector<EntryProcess*>& Entries() { return mStarted; }
  EntryProcess& SoundEntry() { return *mSoundEntry; }
  std::vector<std::unique_ptr<ServerProcess>>& SoundServers()
  {
    return mSoundServers;
  }

  /** Locks an entry, so that its process isn't replaced meanwhile. */
  std::unique_lock<std::mutex> Lock(const EntryProcess& aEntry)
  {
    const auto place = std::find(mStarted.begin(), mStarted.end(), &aEntry);
    return std::unique_lock<std::mutex>(
      mEntryMutexes[static_cast<std::size_t>(place - mStarted.begin())]);
  }

  /** Changes the time-outs of all routes and the kind of some. */
  void ChangeDocument(Milliseconds aTimeout, bool aIsStream)
  {
    const std::lock_guard<std::mutex> lock(mDocumentMutex);
    for (auto& route : Document()["routes"]) {
      route["timeout-ms"] = aTimeout.count();
      const std::string prefix = route["path-prefix"];
      if (prefix.find("changing") != std::string::npos) {
        route["kind"] = aIsStream ? "streaming" : "non_idempotent";
      }
    }
    PublishDocument();
    mSoundEntry->mProcess->Signal(SIGHUP);
  }
  std::vector<std::unique_ptr<ServerProcess>>& Servers() { return mProcesses; }

  /** Starts everything that has ended and continues what is suspended. */
  void Recover()
  {
    for (const auto& server : mProcesses) {
      server->Restart();
    }
    for (EntryProcess* entry : mStarted) {
      Restart(*entry);
    }
    for (const EntryProcess* entry : mStarted) {
      BOOST_REQUIRE_MESSAGE(WaitReady(*entry), entry->mProcess->Log());
    }
  }

private:
  /** Adds routes of each kind to the servers of both services. */
  void AddRoutes()
  {
    auto& document = Document();
    document["services"].push_back(
      { { "name", "sound" }, { "engine", nlohmann::json::object() } });
    document["services"].push_back({ { "name", "plain" } });
    document["services"].push_back({ { "name", "sound-plain" } });
    nlohmann::json route = document["routes"][2];
    const auto add = [&](const std::string& aPrefix, const char* aKind) {
      route["name"] = aPrefix;
      route["path-prefix"] = aPrefix;
      route["kind"] = aKind;
      document["routes"].push_back(route);
    };
    add("/kept/", "non_idempotent");
    add("/repeated/", "idempotent");
    add("/changing/", "streaming");
    route["service"] = "sound";
    add("/sound-stream/", "streaming");
    add("/sound-kept/", "non_idempotent");
    add("/sound-repeated/", "idempotent");
    add("/sound-changing/", "streaming");
    route["service"] = "sound-plain";
    add("/sound-plain/", "non_idempotent");
    route["service"] = "plain";
    add("/plain/", "non_idempotent");
    PublishDocument();
  }

  void Renew()
  {
    while (mIsRenewing) {
      for (const auto& server : mProcesses) {
        server->Publish();
      }
      for (const auto& server : mSoundServers) {
        server->Publish();
      }
      std::this_thread::sleep_for(kRenewInterval);
    }
  }

  std::vector<std::unique_ptr<ServerProcess>> mProcesses;
  std::vector<std::unique_ptr<ServerProcess>> mSoundServers;
  std::vector<EntryProcess*> mStarted;
  std::vector<std::mutex> mEntryMutexes;
  EntryProcess* mSoundEntry = nullptr;
  std::mutex mDocumentMutex;
  std::atomic<bool> mIsRenewing{ true };
  std::thread mRenewer;
};

/** A disruption of the fleet. */
using Disruption = void (*)(StreamFleet& aFleet, Dice& aDice);

void
KillServer(StreamFleet& aFleet, Dice& aDice)
{
  ServerProcess& server = *aDice.Pick(aFleet.Servers());
  server.Kill();
  std::this_thread::sleep_for(aDice.Pause(0, 300));
  server.Restart();
}

void
PauseServer(StreamFleet& aFleet, Dice& aDice)
{
  ServerProcess& server = *aDice.Pick(aFleet.Servers());
  server.Pause();
  std::this_thread::sleep_for(aDice.Pause(20, 400));
  if (aDice.Chance(0.5)) {
    server.Restart();
  }
  server.Continue();
}

void
StopServer(StreamFleet& aFleet, Dice& aDice)
{
  ServerProcess& server = *aDice.Pick(aFleet.Servers());
  server.Stop();
  std::this_thread::sleep_for(aDice.Pause(0, 200));
}

void
KillEntry(StreamFleet& aFleet, Dice& aDice)
{
  EntryProcess& entry = *aDice.Pick(aFleet.Entries());
  const auto lock = aFleet.Lock(entry);
  entry.mProcess->Kill();
  std::this_thread::sleep_for(aDice.Pause(0, 200));
  aFleet.Restart(entry);
}

void
PauseEntry(StreamFleet& aFleet, Dice& aDice)
{
  EntryProcess& entry = *aDice.Pick(aFleet.Entries());
  const auto lock = aFleet.Lock(entry);
  entry.mProcess->Signal(SIGSTOP);
  std::this_thread::sleep_for(aDice.Pause(20, 400));
  entry.mProcess->Signal(SIGCONT);
}

/** The entry notices the end of a server when the next process serves at its
 * address. */
void
RestartServerBehindPausedEntry(StreamFleet& aFleet, Dice& aDice)
{
  EntryProcess& entry = *aDice.Pick(aFleet.Entries());
  const auto lock = aFleet.Lock(entry);
  entry.mProcess->Signal(SIGSTOP);
  KillServer(aFleet, aDice);
  entry.mProcess->Signal(SIGCONT);
}

void
StopEntry(StreamFleet& aFleet, Dice& aDice)
{
  EntryProcess& entry = *aDice.Pick(aFleet.Entries());
  const auto lock = aFleet.Lock(entry);
  entry.mProcess->Signal(SIGTERM);
  std::this_thread::sleep_for(aDice.Pause(0, 1500));
  entry.mProcess->Kill();
  aFleet.Restart(entry);
}

void
KillAllServers(StreamFleet& aFleet, Dice& aDice)
{
  for (const auto& server : aFleet.Servers()) {
    server->Kill();
  }
  std::this_thread::sleep_for(aDice.Pause(0, 200));
  for (const auto& server : aFleet.Servers()) {
    server->Restart();
  }
}

void
ChangeDocument(StreamFleet& aFleet, Dice& aDice)
{
  aFleet.ChangeDocument(aDice.Pause(2500, 3000), aDice.Chance(0.5));
  for (EntryProcess* entry : aFleet.Entries()) {
    const auto lock = aFleet.Lock(*entry);
    entry->mProcess->Signal(SIGHUP);
  }
}

/** Suspends a server of sound answers or their entry; no answer is lost. */
void
PauseSoundProcess(StreamFleet& aFleet, Dice& aDice)
{
  const Milliseconds pause = aDice.Pause(20, 900);
  if (aDice.Chance(0.3)) {
    aFleet.SoundEntry().mProcess->Signal(SIGSTOP);
    std::this_thread::sleep_for(pause);
    aFleet.SoundEntry().mProcess->Signal(SIGCONT);
    return;
  }
  ServerProcess& server = *aDice.Pick(aFleet.SoundServers());
  server.Pause();
  std::this_thread::sleep_for(pause);
  server.Continue();
}

void
TroubleStore(StreamFleet& aFleet, Dice& aDice)
{
  aFleet.Store().SetTrouble(StoreTrouble::Resetting);
  std::this_thread::sleep_for(aDice.Pause(100, 400));
  aFleet.Store().SetTrouble(StoreTrouble::None);
}

constexpr Disruption kDisruptions[] = {
  KillServer,       KillServer,     PauseServer,
  StopServer,       KillEntry,      PauseEntry,
  StopEntry,        KillAllServers, RestartServerBehindPausedEntry,
  ChangeDocument,   TroubleStore,   PauseSoundProcess,
  PauseSoundProcess
};

/** Draws the form of a sound answer and how it is asked for. */
StreamCall
DrawSoundCall(Dice& aDice, const std::string& aKey)
{
  StreamCall call;
  call.mRoute = aDice.Pick(kRoutes);
  StreamPlan& plan = call.mPlan;
  plan.mFraming = aDice.Pick(kFramings);
  plan.mType = static_cast<PlannedType>(aDice.Between(0, kPlannedTypes - 1));
  plan.mLineEnd =
    static_cast<PlannedLineEnd>(aDice.Between(0, kPlannedLineEnds - 1));
  plan.mIsOldServer =
    plan.mFraming != PlannedFraming::Chunks && aDice.Chance(0.2);
  plan.mIsOpaque = !StatesStream(plan.mType) && aDice.Chance(0.3);
  plan.mEvents = aDice.Between(1, 16);
  plan.mPause = aDice.Pause(1, 30);
  plan.mKey = aKey;
  call.mIsOldVersion = aDice.Chance(0.2);
  const bool isStream = call.mRoute == kRoutes[0] && !plan.mIsOpaque;
  if (isStream && aDice.Chance(0.05)) {
    plan.mPadding = kLargePadding;
    call.mReadDelay = aDice.Pause(100, 800);
  }
  return call;
}

StreamCall
DrawCall(Dice& aDice, const std::string& aKey)
{
  StreamCall call = DrawSoundCall(aDice, aKey);
  call.mIsResumable = aDice.Chance(0.4);
  call.mMostAnswers = aDice.Between(1, 5);
  // Half an event can't be told from other bytes where neither the route nor
  // the type is that of a stream.
  const bool isStreamRoute = call.mIsResumable || call.mRoute == kRoutes[0];
  if (isStreamRoute || call.mPlan.mIsOpaque || StatesStream(call.mPlan.mType)) {
    call.mPlan.mFlaw = aDice.Pick(kFlaws);
  }
  return call;
}

/** @return What an entry logged of a request. */
std::string
LogLinesOf(const EntryProcess& aEntry, const std::string& aRequestId)
{
  std::istringstream log(aEntry.mProcess->Log());
  std::string lines;
  for (std::string line; std::getline(log, line);) {
    if (line.find('"' + aRequestId + '"') != std::string::npos) {
      lines += line + '\n';
    }
  }
  return lines;
}

/** A caller whose answers are sound and come from servers and through an entry
 * that aren't disrupted: each one has to be whole. */
void
CallForSoundAnswers(const std::atomic<bool>& aIsOver,
                    StreamFleet& aFleet,
                    const std::string& aName,
                    std::uint64_t aSeed,
                    SoakCounts& aCounts,
                    std::string& aViolation)
{
  Dice dice(aSeed);
  StreamCaller caller(aName);
  for (int i = 0; !aIsOver && aViolation.empty(); ++i) {
    StreamCall call = DrawSoundCall(dice, aName + "s" + std::to_string(i));
    call.mRoute = "/sound-" + call.mRoute.substr(1);
    const StreamResult result = caller.Ask(aFleet.SoundEntry(), call);
    aCounts.mSound += 1;
    aViolation = result.mViolation;
    if (!result.mIsComplete && result.mStatus != kUnavailable) {
      aViolation = call.mRoute + call.mPlan.Path() +
                   ": a sound answer isn't whole, status " +
                   std::to_string(result.mStatus) + ", " +
                   std::to_string(result.mEvents) + " events\n" +
                   LogLinesOf(aFleet.SoundEntry(), result.mRequestId);
    }
    aCounts.mSoundRefused += result.mIsComplete ? 0 : 1;
  }
}

/** A caller that asks for one stream after the other. */
void
CallUntil(const std::atomic<bool>& aIsOver,
          StreamFleet& aFleet,
          const std::string& aName,
          std::uint64_t aSeed,
          SoakCounts& aCounts,
          std::string& aViolation)
{
  Dice dice(aSeed);
  StreamCaller caller(aName);
  for (int i = 0; !aIsOver && aViolation.empty(); ++i) {
    const StreamCall call = DrawCall(dice, aName + "s" + std::to_string(i));
    const EntryProcess& entry = *dice.Pick(aFleet.Entries());
    const StreamResult result = caller.Ask(entry, call);
    aCounts.mStreams += 1;
    aCounts.mFurtherAnswers += result.mAnswers - 1;
    aViolation = result.mViolation;
    if (!aViolation.empty()) {
      const auto lock = aFleet.Lock(entry);
      aViolation +=
        " on " + call.mRoute + '\n' + LogLinesOf(entry, result.mRequestId);
    }
    if (result.mIsComplete) {
      aCounts.mWhole += 1;
    } else if (result.mEvents > 0) {
      aCounts.mBroken += 1;
    } else {
      aCounts.mRefused += 1;
      std::this_thread::sleep_for(Milliseconds(20));
    }
  }
}

/** Sound streams of each form are whole while nothing is disturbed. */
void
CheckSoundStreams(StreamFleet& aFleet, const std::string& aName)
{
  for (EntryProcess* entry : aFleet.Entries()) {
    for (const PlannedFraming framing : kFramings) {
      for (const bool isOldVersion : { false, true }) {
        StreamCall call;
        call.mPlan.mFraming = framing;
        call.mPlan.mKey = aName;
        call.mIsOldVersion = isOldVersion;
        StreamResult result;
        const auto isWhole = [&]() {
          StreamCaller caller(aName + entry->mName);
          result = caller.Ask(*entry, call);
          return result.mIsComplete;
        };
        BOOST_TEST(WaitUntil(kRecoveryTime, isWhole),
                   call.mPlan.Path() << ", status " << result.mStatus << ", "
                                     << result.mEvents << " events");
        BOOST_TEST(result.mViolation == "");
      }
    }
  }
}

/** Disrupts the fleet until the time is over; disruptions overlap.
 *
 * @return The number of disruptions. */
int
Disrupt(StreamFleet& aFleet, std::uint64_t aSeed, Milliseconds aTime)
{
  std::atomic<int> disruptions{ 0 };
  std::vector<std::thread> disruptors;
  disruptors.reserve(kDisruptors);
  const auto end = Clock::now() + aTime;
  for (int i = 0; i < kDisruptors; ++i) {
    disruptors.emplace_back([&, i]() {
      Dice dice(aSeed * kDisruptors + static_cast<std::uint64_t>(i));
      while (Clock::now() < end) {
        std::this_thread::sleep_for(dice.Pause(0, 250 * kDisruptors));
        dice.Pick(kDisruptions)(aFleet, dice);
        disruptions += 1;
      }
    });
  }
  for (std::thread& disruptor : disruptors) {
    disruptor.join();
  }
  return disruptions;
}

void
Soak(int aSeed, Milliseconds aTime, const SoakSize& aSize)
{
  StreamFleet fleet(aSize);
  CheckSoundStreams(fleet, "before");
  SoakCounts counts;
  std::atomic<bool> isOver{ false };
  const int all = aSize.mCallers + kSoundCallers;
  std::vector<std::string> violations(static_cast<std::size_t>(all));
  std::vector<std::thread> callers;
  callers.reserve(violations.size());
  for (int i = 0; i < all; ++i) {
    const auto call = i < aSize.mCallers ? CallUntil : CallForSoundAnswers;
    callers.emplace_back([&, i, call]() {
      call(isOver,
           fleet,
           "c" + std::to_string(i),
           static_cast<std::uint64_t>(aSeed) * 1000 +
             static_cast<std::uint64_t>(i),
           counts,
           violations[static_cast<std::size_t>(i)]);
    });
  }
  const int disruptions =
    Disrupt(fleet, static_cast<std::uint64_t>(aSeed), aTime);
  fleet.Recover();
  isOver = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  CheckSoundStreams(fleet, "after");
  for (const std::string& violation : violations) {
    BOOST_TEST(violation == "");
  }
  BOOST_TEST(counts.mWhole > 0);
  BOOST_TEST(counts.mSound > counts.mSoundRefused);
  BOOST_TEST_MESSAGE("seed " << aSeed << ": " << disruptions << " disruptions, "
                             << counts.mStreams << " streams, " << counts.mWhole
                             << " whole, " << counts.mBroken << " broken, "
                             << counts.mRefused << " without an event, "
                             << counts.mFurtherAnswers << " further answers, "
                             << counts.mSound << " sound answers, "
                             << counts.mSoundRefused << " of them refused");
}

} // namespace

BOOST_AUTO_TEST_SUITE(streamsoak)

// An answer that broke off reaches its caller as complete, or an event comes
// twice or is missing, as processes end amid streams.
BOOST_AUTO_TEST_CASE(EachEventComesOnceAndNoBrokenStreamIsComplete)
{
  const int first = EnvironmentNumber("SOAK_SEED", 1);
  const int seeds = EnvironmentNumber("SOAK_SEEDS", 4);
  const Milliseconds time(1000 * EnvironmentNumber("SOAK_SECONDS", 15));
  const SoakSize size{ EnvironmentNumber("SOAK_SERVERS", kServers),
                       EnvironmentNumber("SOAK_ENTRIES", kEntries),
                       EnvironmentNumber("SOAK_CALLERS", kCallers) };
  for (int seed = first; seed < first + seeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Soak(seed, time, size);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
