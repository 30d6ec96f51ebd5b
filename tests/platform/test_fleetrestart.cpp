#include "dice.h"
#include "loopbackplatform.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <thread>

namespace medlarkeel {

namespace {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

constexpr int kOk = 200;

/** Zones of the entries. Each zone has servers of each service. */
constexpr const char* kEntryZones[] = { "zone-0",
                                        "zone-0",
                                        "zone-1",
                                        "zone-2" };
constexpr int kZones = 3;
constexpr int kModelsPerZone = 3;
constexpr int kCallers = 40;
constexpr std::size_t kItemsPerPage = 50;

/** Time after the return of all processes within which service is back. */
constexpr Milliseconds kRecoveryTime{ 12'000 };

/** Time for which requests are counted before the fault and after the
 * recovery time. */
constexpr Milliseconds kObservedTime{ 3000 };

/** Time after which a process that has ended by itself is started again. */
constexpr Milliseconds kRestartDelay{ 300 };

/** Time from the signal to the kill where they differ. */
constexpr Milliseconds kSignalTime{ 300 };

/** A kind of request; the callers send each in proportion to its weight. */
struct RequestKind
{
  const char* mRoute;
  const char* mService;
  const char* mKind;
  int mTimeoutMs;
  int mTargetMs;
  int mPriority;
  int mAttempts;
  int mPromptTokens;
  int mWeight;
};

constexpr RequestKind kKinds[] = {
  { "/review/", "model", "streaming", 12'000, 2000, 2, 1, 17'000, 8 },
  { "/draft/", "model", "streaming", 6000, 600, 1, 2, 9200, 6 },
  { "/answer/", "model", "streaming", 15'000, 300, 0, 1, 1460, 12 },
  { "/issue/", "desk", "non_idempotent", 800, 150, 2, 1, 0, 6 },
  { "/lookup/", "desk", "idempotent", 800, 150, 2, 2, 0, 6 }
};

/** Names that other programs may write into the list, and such with bytes that
 * are no UTF-8. */
const std::vector<std::string> kForeignNames = { "a&b", "a+b", "a%zz",
                                                 "a b", "z#",  "z%41" };
const std::vector<std::string> kForeignBytes = { "a\xff",
                                                 "\xc3(",
                                                 "z\xed\xa0\x80" };

/** What is done to a fleet, drawn from a seed. */
struct RestartPlan
{
  /** How often all entries are killed. */
  int mRounds = 1;
  /** What the entries get first; those that don't end by it are killed. */
  int mSignal = SIGKILL;
  Milliseconds mDownTime{ 0 };
  /** Longest time between the starts of two entries. */
  Milliseconds mStagger{ 0 };
  /** Share of the servers that are killed at the same moment. */
  double mServerShare = 0.0;
  StoreTrouble mStoreTrouble = StoreTrouble::None;
  /** Time after the start of the entries at which the store is back. */
  Milliseconds mStoreTime{ 0 };
  std::vector<std::string> mForeign;
  /** Copies of each foreign entry. */
  int mForeignCopies = 1;
  bool mChangesDocument = false;
  /** Time for which a process holds the port of an entry; 0 for none. */
  Milliseconds mPortTime{ 0 };
  /** An entry that doesn't return. */
  bool mLosesEntry = false;
};

constexpr StoreTrouble kStoreTroubles[] = {
  StoreTrouble::None,     StoreTrouble::None,   StoreTrouble::Refusing,
  StoreTrouble::Limiting, StoreTrouble::Silent, StoreTrouble::Resetting,
  StoreTrouble::Slow
};

constexpr int kSignals[] = { SIGKILL, SIGKILL, SIGTERM, SIGSTOP };

RestartPlan
DrawPlan(Dice& aDice)
{
  RestartPlan plan;
  plan.mRounds = aDice.Between(1, 3);
  plan.mSignal = aDice.Pick(kSignals);
  plan.mDownTime = aDice.Pause(50, aDice.Chance(0.5) ? 300 : 3000);
  plan.mStagger = aDice.Pause(0, aDice.Chance(0.5) ? 50 : 2000);
  plan.mServerShare = aDice.Between(0, 2) / 2.0;
  plan.mStoreTrouble = aDice.Pick(kStoreTroubles);
  plan.mStoreTime = aDice.Pause(0, 5000);
  if (aDice.Chance(0.5)) {
    plan.mForeign = kForeignNames;
    plan.mForeignCopies = aDice.Chance(0.3) ? 20 : 1;
  }
  if (aDice.Chance(0.3)) {
    plan.mForeign.insert(
      plan.mForeign.end(), kForeignBytes.begin(), kForeignBytes.end());
  }
  plan.mChangesDocument = aDice.Chance(0.5);
  plan.mPortTime = aDice.Chance(0.3) ? aDice.Pause(100, 2000) : Milliseconds(0);
  plan.mLosesEntry = aDice.Chance(0.2);
  return plan;
}

std::string
PlanText(const RestartPlan& aPlan)
{
  std::ostringstream text;
  text << aPlan.mRounds << " kills by signal " << aPlan.mSignal << ", down for "
       << aPlan.mDownTime.count() << " ms, starts within "
       << aPlan.mStagger.count() << " ms, share of servers "
       << aPlan.mServerShare << ", trouble of the store "
       << static_cast<int>(aPlan.mStoreTrouble) << " for "
       << aPlan.mStoreTime.count() << " ms, " << aPlan.mForeign.size()
       << " foreign entries " << aPlan.mForeignCopies << " times, new document "
       << aPlan.mChangesDocument << ", port taken for "
       << aPlan.mPortTime.count() << " ms, loses an entry "
       << aPlan.mLosesEntry;
  return text.str();
}

struct RequestCount
{
  int mSent = 0;
  int mServed = 0;
};

/** Requests in a span of time, by route and by zone of their callers. */
class ServedShares
{
public:
  /** Counts requests that are sent from a time on. */
  void CountFrom(Clock::time_point aTime)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFrom = aTime;
    mCounts.clear();
    mAll = {};
  }

  void Record(Clock::time_point aSentAt,
              bool aIsServed,
              const std::string& aRoute,
              const std::string& aZone)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!mFrom || aSentAt < *mFrom) {
      return;
    }
    for (RequestCount* count : { &mAll, &mCounts[aRoute], &mCounts[aZone] }) {
      count->mSent += 1;
      count->mServed += aIsServed ? 1 : 0;
    }
  }

  RequestCount All() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mAll;
  }

  std::string Text() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::ostringstream text;
    text << mAll.mServed << " of " << mAll.mSent << " served";
    for (const auto& [name, count] : mCounts) {
      text << ", " << name << " " << count.mServed << " of " << count.mSent;
    }
    return text.str();
  }

private:
  mutable std::mutex mMutex;
  std::optional<Clock::time_point> mFrom;
  RequestCount mAll;
  std::map<std::string, RequestCount> mCounts;
};

/** Entries in three zones, their servers and callers. */
class RestartedFleet : public LoopbackPlatform
{
public:
  RestartedFleet()
  {
    Store().SetItemsPerPage(kItemsPerPage);
    SetSeeds(kZones);
    AddRoutes();
    for (int zone = 0; zone < kZones; ++zone) {
      for (int i = 0; i < kModelsPerZone; ++i) {
        AddServerIn(zone, "model-" + std::to_string(i));
      }
      AddServerIn(zone, "desk");
    }
    for (const char* zone : kEntryZones) {
      mStarted.push_back({ &StartEntry(zone), true });
    }
    mSupervisor = std::thread([this]() { Supervise(); });
  }

  ~RestartedFleet()
  {
    mIsOver = true;
    for (std::thread& thread : mThreads) {
      thread.join();
    }
    mSupervisor.join();
  }

  RestartedFleet(const RestartedFleet&) = delete;
  RestartedFleet& operator=(const RestartedFleet&) = delete;

  void StartCallers()
  {
    for (int i = 0; i < kCallers; ++i) {
      mThreads.emplace_back([this, i]() { CallUntilOver(i); });
    }
  }

  ServedShares& Shares() { return mShares; }

  bool WaitAllReady()
  {
    return std::all_of(
      mStarted.begin(), mStarted.end(), [](const auto& aEntry) {
        return WaitReady(*aEntry.mEntry);
      });
  }

  /** Kills what the plan names and starts it again. Returns once all that comes
   * back has been started. */
  void Play(const RestartPlan& aPlan, Dice& aDice)
  {
    for (std::size_t i = 0; i < aPlan.mForeign.size(); ++i) {
      for (int copy = 0; copy < aPlan.mForeignCopies; ++copy) {
        Store().PutBytes("servers/" + aPlan.mForeign[i] + std::to_string(copy),
                         "not an entry");
      }
    }
    for (int round = 0; round < aPlan.mRounds; ++round) {
      KillEntries(aPlan.mSignal);
      Store().SetTrouble(aPlan.mStoreTrouble);
      std::vector<FakeServer*> killed;
      for (FakeServer* server : mServers) {
        if (aDice.Chance(aPlan.mServerShare)) {
          server->Crash();
          killed.push_back(server);
        }
      }
      std::this_thread::sleep_for(aPlan.mDownTime);
      for (FakeServer* server : killed) {
        server->Restart();
      }
      const bool isLast = round + 1 == aPlan.mRounds;
      StartEntries(aPlan, isLast, aDice);
    }
    if (aPlan.mChangesDocument) {
      PublishDocument();
    }
    std::this_thread::sleep_for(aPlan.mStoreTime);
    Store().SetTrouble(StoreTrouble::None);
  }

  /** @return What the entries logged, but for single requests. */
  std::string Logs() const
  {
    std::string lines;
    for (const Started& entry : mStarted) {
      std::istringstream log(entry.mEntry->mProcess->Log());
      for (std::string line; std::getline(log, line);) {
        if (line.find("\"event\":4") == std::string::npos) {
          lines += line + '\n';
        }
      }
    }
    return lines;
  }

private:
  struct Started
  {
    EntryProcess* mEntry = nullptr;
    /** The supervisor starts it again when it ends. */
    bool mMustRun = false;
  };

  void AddRoutes()
  {
    Json& document = Document();
    document["services"][1]["cold-per-s"] = 6.6;
    for (const RequestKind& kind : kKinds) {
      document["routes"].push_back({ { "name", kind.mRoute },
                                     { "host", "host" },
                                     { "path-prefix", kind.mRoute },
                                     { "service", kind.mService },
                                     { "kind", kind.mKind },
                                     { "max-attempts", kind.mAttempts },
                                     { "timeout-ms", kind.mTimeoutMs },
                                     { "target-latency-ms", kind.mTargetMs },
                                     { "priority", kind.mPriority } });
    }
    PublishDocument();
  }

  void AddServerIn(int aZone, const std::string& aName)
  {
    const bool isDesk = aName == "desk";
    FakeServerSettings settings;
    settings.mZone = "zone-" + std::to_string(aZone);
    settings.mId = aName + "-" + settings.mZone;
    settings.mService = isDesk ? "desk" : "model";
    settings.mSlots = isDesk ? 6 : 64;
    settings.mWork = Milliseconds(isDesk ? 30 : 20);
    settings.mEvents = isDesk ? 0 : 10;
    settings.mCold = Milliseconds(isDesk ? 0 : 3000);
    mServers.push_back(&AddServer(settings));
  }

  void KillEntries(int aSignal)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (Started& entry : mStarted) {
      entry.mMustRun = false;
      entry.mEntry->mProcess->Signal(aSignal);
    }
    if (aSignal != SIGKILL) {
      std::this_thread::sleep_for(kSignalTime);
    }
    for (Started& entry : mStarted) {
      entry.mEntry->mProcess->Kill();
    }
  }

  void StartEntries(const RestartPlan& aPlan, bool aIsLast, Dice& aDice)
  {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor holder(context);
    const EntryProcess& first = *mStarted.front().mEntry;
    if (aPlan.mPortTime.count() > 0) {
      const boost::asio::ip::tcp::endpoint taken(
        boost::asio::ip::make_address(first.mAddress), first.mCallers);
      holder.open(taken.protocol());
      holder.set_option(boost::asio::socket_base::reuse_address(true));
      holder.bind(taken);
      holder.listen();
    }
    for (std::size_t i = 0; i < mStarted.size(); ++i) {
      const bool isLost = aPlan.mLosesEntry && i + 1 == mStarted.size();
      if (isLost && aIsLast) {
        break;
      }
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        Restart(*mStarted[i].mEntry);
        mStarted[i].mMustRun = true;
      }
      std::this_thread::sleep_for(
        aDice.Pause(0, static_cast<int>(aPlan.mStagger.count())));
    }
    std::this_thread::sleep_for(aPlan.mPortTime);
  }

  /** Starts entries again that have ended by themselves. */
  void Supervise()
  {
    while (!mIsOver) {
      std::this_thread::sleep_for(kRestartDelay);
      const std::lock_guard<std::mutex> lock(mMutex);
      for (Started& entry : mStarted) {
        if (entry.mMustRun && !entry.mEntry->mProcess->IsRunning()) {
          Restart(*entry.mEntry);
        }
      }
    }
  }

  /** Sends requests to entries of a zone, and to others after a failure. */
  void CallUntilOver(int aNumber)
  {
    constexpr int kMostTries = 2;
    Dice dice(static_cast<std::uint64_t>(aNumber));
    std::vector<const RequestKind*> kinds;
    for (const RequestKind& kind : kKinds) {
      kinds.insert(kinds.end(), static_cast<std::size_t>(kind.mWeight), &kind);
    }
    const std::string zone = "zone-" + std::to_string(aNumber % kZones);
    for (int i = 0; !mIsOver; ++i) {
      const RequestKind& kind = *dice.Pick(kinds);
      const std::string id =
        "c" + std::to_string(aNumber) + "-" + std::to_string(i);
      const Clock::time_point sentAt = Clock::now();
      bool isServed = false;
      for (int tries = 0; tries < kMostTries && !isServed; ++tries) {
        isServed = Ask(EntryFor(zone, tries, dice), kind, id, tries);
      }
      mShares.Record(sentAt, isServed, kind.mRoute, zone);
      std::this_thread::sleep_for(dice.Pause(100, 1200));
    }
  }

  const EntryProcess& EntryFor(const std::string& aZone,
                               int aTries,
                               Dice& aDice) const
  {
    std::vector<const EntryProcess*> near;
    for (const Started& entry : mStarted) {
      if (aTries > 0 || entry.mEntry->mZone == aZone) {
        near.push_back(entry.mEntry);
      }
    }
    return *aDice.Pick(near);
  }

  static bool Ask(const EntryProcess& aEntry,
                  const RequestKind& aKind,
                  const std::string& aId,
                  int aTries)
  {
    std::string fields;
    if (aKind.mPromptTokens > 0) {
      const std::string tokens = std::to_string(aKind.mPromptTokens);
      fields = "X-Token-Usage: " + tokens + ",200\r\nX-Prompt-Prefix: " +
               std::to_string(aKind.mPromptTokens % 97) + ":" + tokens + "\r\n";
    }
    const SeenAnswer answer = Call(aEntry,
                                   aId + "-" + std::to_string(aTries),
                                   std::string(aKind.mRoute) + "a",
                                   fields);
    return answer.Status() == kOk && answer.mIsWhole;
  }

  std::vector<FakeServer*> mServers;
  std::vector<Started> mStarted;
  std::mutex mMutex;
  ServedShares mShares;
  std::atomic<bool> mIsOver{ false };
  std::vector<std::thread> mThreads;
  std::thread mSupervisor;
};

void
PlayRestart(const RestartPlan& aPlan, Dice& aDice)
{
  RestartedFleet fleet;
  BOOST_REQUIRE(fleet.WaitAllReady());
  fleet.StartCallers();
  fleet.Shares().CountFrom(Clock::now());
  std::this_thread::sleep_for(kObservedTime);
  const RequestCount before = fleet.Shares().All();
  BOOST_TEST(4 * before.mServed >= before.mSent, fleet.Shares().Text());
  fleet.Play(aPlan, aDice);
  fleet.Shares().CountFrom(Clock::now() + kRecoveryTime);
  std::this_thread::sleep_for(kRecoveryTime + kObservedTime);
  const RequestCount after = fleet.Shares().All();
  BOOST_TEST_MESSAGE(PlanText(aPlan) << ": " << fleet.Shares().Text());
  BOOST_TEST(after.mSent > 0);
  BOOST_TEST(4 * after.mServed >= after.mSent,
             PlanText(aPlan) << ": " << fleet.Shares().Text() << "\n"
                             << fleet.Logs());
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleetrestart)

/** Guards against entries that serve less than a quarter of the requests sent
 * after the recovery time, once all of them were killed. */
BOOST_AUTO_TEST_CASE(ServiceReturnsAfterAllEntriesWereKilled)
{
  const int first = EnvironmentNumber("SOAK_SEED", 1);
  const int seeds = EnvironmentNumber("SOAK_SEEDS", 3);
  for (int seed = first; seed < first + seeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Dice dice(static_cast<std::uint64_t>(seed));
      const RestartPlan plan = DrawPlan(dice);
      PlayRestart(plan, dice);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
