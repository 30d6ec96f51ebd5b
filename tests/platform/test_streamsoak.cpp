#include "serverprocess.h"
#include "streamcaller.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <random>
#include <thread>

namespace medlarkeel {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kServers = 4;
constexpr int kEntries = 2;
constexpr int kCallers = 12;

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

/** @return The value of an environment variable, or the default. */
int
EnvironmentNumber(const char* aName, int aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? aDefault : std::atoi(value);
}

/** Draws numbers and choices from a seed. */
class Dice
{
public:
  explicit Dice(std::uint64_t aSeed)
    : mGenerator(aSeed)
  {
  }

  /** @return A number from aLow to aHigh, which may be the result. */
  int Between(int aLow, int aHigh)
  {
    return std::uniform_int_distribution<int>(aLow, aHigh)(mGenerator);
  }

  bool Chance(double aShare) { return Between(0, 999) < aShare * 1000; }

  Milliseconds Pause(int aLow, int aHigh)
  {
    return Milliseconds(Between(aLow, aHigh));
  }

  template<typename Values>
  auto& Pick(Values& aValues)
  {
    const int last = static_cast<int>(std::size(aValues)) - 1;
    return aValues[static_cast<std::size_t>(Between(0, last))];
  }

private:
  std::mt19937_64 mGenerator;
};

/** What all callers have seen. */
struct SoakCounts
{
  std::atomic<int> mStreams{ 0 };
  std::atomic<int> mWhole{ 0 };
  std::atomic<int> mBroken{ 0 };
  std::atomic<int> mRefused{ 0 };
  std::atomic<int> mFurtherAnswers{ 0 };
};

/** Entries, backend servers and callers, and what is done to them. */
class StreamFleet : public LoopbackPlatform
{
public:
  StreamFleet()
  {
    for (int i = 1; i <= kServers; ++i) {
      mProcesses.push_back(std::make_unique<ServerProcess>(
        Store(), "model-" + std::to_string(i), Folder()));
    }
    for (int i = 0; i < kEntries; ++i) {
      mStarted.push_back(&StartEntry());
    }
    for (const EntryProcess* entry : mStarted) {
      BOOST_REQUIRE_MESSAGE(WaitReady(*entry), entry->mProcess->Log());
    }
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
  void Renew()
  {
    while (mIsRenewing) {
      for (const auto& server : mProcesses) {
        server->Publish();
      }
      std::this_thread::sleep_for(kRenewInterval);
    }
  }

  std::vector<std::unique_ptr<ServerProcess>> mProcesses;
  std::vector<EntryProcess*> mStarted;
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
  entry.mProcess->Kill();
  std::this_thread::sleep_for(aDice.Pause(0, 200));
  aFleet.Restart(entry);
}

void
PauseEntry(StreamFleet& aFleet, Dice& aDice)
{
  EntryProcess& entry = *aDice.Pick(aFleet.Entries());
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
  entry.mProcess->Signal(SIGSTOP);
  KillServer(aFleet, aDice);
  entry.mProcess->Signal(SIGCONT);
}

void
StopEntry(StreamFleet& aFleet, Dice& aDice)
{
  EntryProcess& entry = *aDice.Pick(aFleet.Entries());
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
  for (auto& route : aFleet.Document()["routes"]) {
    if (route["kind"] == "streaming") {
      route["timeout-ms"] = aDice.Between(2500, 3000);
    }
  }
  aFleet.PublishDocument();
  for (EntryProcess* entry : aFleet.Entries()) {
    entry->mProcess->Signal(SIGHUP);
  }
}

void
TroubleStore(StreamFleet& aFleet, Dice& aDice)
{
  aFleet.Store().SetTrouble(StoreTrouble::Resetting);
  std::this_thread::sleep_for(aDice.Pause(100, 400));
  aFleet.Store().SetTrouble(StoreTrouble::None);
}

constexpr Disruption kDisruptions[] = {
  KillServer,     KillServer,     PauseServer,
  StopServer,     KillEntry,      PauseEntry,
  StopEntry,      KillAllServers, RestartServerBehindPausedEntry,
  ChangeDocument, TroubleStore
};

StreamCall
DrawCall(Dice& aDice, const std::string& aKey)
{
  StreamCall call;
  call.mPlan.mFraming = aDice.Pick(kFramings);
  call.mPlan.mFlaw = aDice.Pick(kFlaws);
  call.mPlan.mEvents = aDice.Between(1, 16);
  call.mPlan.mPause = aDice.Pause(1, 30);
  call.mPlan.mKey = aKey;
  call.mIsResumable = aDice.Chance(0.6);
  call.mIsOldVersion = aDice.Chance(0.2);
  call.mMostAnswers = aDice.Between(1, 5);
  return call;
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

void
Soak(int aSeed, Milliseconds aTime)
{
  StreamFleet fleet;
  CheckSoundStreams(fleet, "before");
  SoakCounts counts;
  std::atomic<bool> isOver{ false };
  std::vector<std::string> violations(kCallers);
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i]() {
      CallUntil(isOver,
                fleet,
                "c" + std::to_string(i),
                static_cast<std::uint64_t>(aSeed) * kCallers + i,
                counts,
                violations[static_cast<std::size_t>(i)]);
    });
  }
  Dice dice(static_cast<std::uint64_t>(aSeed));
  int disruptions = 0;
  for (const auto end = Clock::now() + aTime; Clock::now() < end;) {
    std::this_thread::sleep_for(dice.Pause(0, 250));
    dice.Pick(kDisruptions)(fleet, dice);
    disruptions += 1;
  }
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
  BOOST_TEST_MESSAGE("seed " << aSeed << ": " << disruptions << " disruptions, "
                             << counts.mStreams << " streams, " << counts.mWhole
                             << " whole, " << counts.mBroken << " broken, "
                             << counts.mRefused << " without an event, "
                             << counts.mFurtherAnswers << " further answers");
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
  for (int seed = first; seed < first + seeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Soak(seed, time);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
