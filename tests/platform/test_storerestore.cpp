#include "loopbackplatform.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <set>
#include <thread>

namespace medlarkeel {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kEntries = 6;

/** Time in which a change that was published must be in force. */
constexpr Milliseconds kChangeBound{ 2000 };

/** Time in which entries find each other. */
constexpr Milliseconds kLearnTime{ 3500 };

/** Age of the copy at the time of the restore. */
constexpr Milliseconds kCopyAge{ 9000 };

/** Time for which the store refuses calls before it is restored. */
constexpr Milliseconds kUnavailable{ 300 };

/** Time after the restore for which requests are sent. */
constexpr Milliseconds kObserved{ 6000 };

/** Six entries that send requests to "desk" continuously. */
struct SixEntries : LoopbackPlatform
{
  SixEntries()
  {
    Store().SetEra(4);
    AddDesk("desk-1");
    for (int i = 0; i < kEntries; ++i) {
      mRunning.push_back(&StartEntry());
    }
    for (const EntryProcess* entry : mRunning) {
      BOOST_REQUIRE_MESSAGE(WaitReady(*entry), entry->mProcess->Log());
    }
  }

  /** Replaces the store by its copy after a short time without answers. */
  void RestoreStore()
  {
    Store().SetTrouble(StoreTrouble::Refusing);
    std::this_thread::sleep_for(kUnavailable);
    Store().Restore();
    Store().SetTrouble(StoreTrouble::None);
  }

  /** Sends requests from all entries until a time.
   * @return Number of requests that weren't answered with 200. */
  int AskUntil(Clock::time_point aEnd)
  {
    std::atomic<int> failures{ 0 };
    std::vector<std::thread> callers;
    callers.reserve(kEntries);
    for (std::size_t i = 0; i < kEntries; ++i) {
      callers.emplace_back([&, i]() {
        for (int round = 0; Clock::now() < aEnd; ++round) {
          const std::string id =
            std::to_string(i) + "-" + std::to_string(round);
          failures +=
            Call(*mRunning[i], id, "/again/a").Status() == kOk ? 0 : 1;
          std::this_thread::sleep_for(Milliseconds(10));
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    return failures;
  }

  std::vector<const EntryProcess*> mRunning;
};

/** @return Number of entries that sent a request after a time. */
std::size_t
SendersAfter(const FakeServer& aServer, Clock::time_point aTime)
{
  std::set<std::string> entries;
  for (const ServedRequest& request : aServer.Requests()) {
    if (request.mArrivedAt > aTime) {
      entries.insert(request.mId.substr(0, request.mId.find('-')));
    }
  }
  return entries.size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(storerestore)

/** Guards against entries that compare revisions of the restored store with
 * those from before: they ignore a server that drains after the restore. A
 * server that was draining before the restore, and is ready in the copy, gets
 * nothing either. */
BOOST_FIXTURE_TEST_CASE(DrainingServersGetNothingAfterARestore, SixEntries)
{
  FakeServer& before = AddDesk("desk-2");
  FakeServer& after = AddDesk("desk-3");
  std::this_thread::sleep_for(kLearnTime);
  Store().TakeCopy();
  before.Drain();
  std::this_thread::sleep_for(kCopyAge - kUnavailable);
  RestoreStore();
  const auto restoredAt = Clock::now();
  after.Drain();
  Document()["routes"][0]["path-prefix"] = "/changed/";
  PublishDocument();
  BOOST_TEST(AskUntil(restoredAt + kObserved) == 0);
  BOOST_TEST(SendersAfter(before, restoredAt) == 0U);
  BOOST_TEST(SendersAfter(after, restoredAt + kChangeBound) == 0U);
  for (const EntryProcess* entry : mRunning) {
    BOOST_TEST(Call(*entry, "changed", "/changed/a").Status() == kOk);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
