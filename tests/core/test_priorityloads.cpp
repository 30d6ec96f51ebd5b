#include "forwarding/backendchooser.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };
constexpr std::uint32_t kPool = 7;
constexpr RequestPriority kUrgent{ TierRank{ 1 }, TierRank{ 0 } };
constexpr RequestPriority kOther{ TierRank{ 1 }, TierRank{ 2 } };

LoadGroup
LongPrompts(const RequestPriority& aPriority)
{
  return { kPool, false, aPriority };
}

/** A pool of one server. */
struct OneServer
{
  OneServer()
  {
    mServer.mEntry.mId = InstanceId("server");
    mServer.mEntry.mSlots = 64;
  }

  BackendChoice Choose()
  {
    PromptDescription prompt;
    prompt.mParts = { { ++mPrompts, 20'000 } };
    prompt.mPromptTokens = 20'000;
    const auto noLimit = [](const InstanceId&) { return std::size_t{ 1000 }; };
    BackendChoice choice =
      *mChooser.Choose({ &mServer }, prompt, {}, noLimit, kStart);
    mPrompt = prompt;
    return choice;
  }

  BackendChoice Start(const RequestPriority& aPriority)
  {
    BackendChoice choice = Choose();
    mChooser.AssignPriority(kPool, aPriority, choice);
    mChooser.RecordStarted(choice, mPrompt, kStart);
    return choice;
  }

  PriorityLoads Reported()
  {
    PeerReport report;
    mChooser.FillReport(report, kStart);
    return report.mLoad.mPriorities;
  }

  ListedBackend mServer;
  BackendChooser mChooser{ BackendChooserSettings(), ZoneName("zone"), 1 };
  std::uint64_t mPrompts = 0;
  std::optional<PromptDescription> mPrompt;
};

} // namespace

BOOST_AUTO_TEST_SUITE(priorityloads)

/** Urgent requests were refused because of a backlog that servers process after
 * them. */
BOOST_AUTO_TEST_CASE(LessUrgentBacklogCountsForUrgentRequests)
{
  OneServer pool;
  for (int i = 0; i < 10; ++i) {
    pool.Start(kOther);
  }
  pool.Start(kUrgent);
  BackendChoice urgent = pool.Choose();
  BackendChoice other = urgent;
  pool.mChooser.AssignPriority(kPool, kUrgent, urgent);
  pool.mChooser.AssignPriority(kPool, kOther, other);
  BOOST_TEST(urgent.mPoolLoad.mPrefillTokens == 20'000.0);
  BOOST_TEST(urgent.mPoolLoad.mSlotShare == 1.0 / 64.0);
  BOOST_TEST(other.mPoolLoad.mPrefillTokens == 11 * 20'000.0);
  BOOST_TEST(other.mPoolLoad.mSlotShare == 11.0 / 64.0);
}

BOOST_AUTO_TEST_CASE(LoadsOfPeersCountByPriority)
{
  OneServer pool;
  EntryLoad peers;
  peers.mServers[ServerHash(InstanceId("server"))] = { 30, 600'000 };
  peers.mPriorities[LongPrompts(kUrgent)] = { 10, 100'000 };
  peers.mPriorities[LongPrompts(kOther)] = { 20, 500'000 };
  pool.mChooser.SetPeerLoad(peers);
  BackendChoice urgent = pool.Choose();
  pool.mChooser.AssignPriority(kPool, kUrgent, urgent);
  BOOST_TEST(urgent.mPoolLoad.mPrefillTokens == 100'000.0);
  BackendChoice other = pool.Choose();
  pool.mChooser.AssignPriority(kPool, kOther, other);
  BOOST_TEST(other.mPoolLoad.mPrefillTokens == 600'000.0);
}

BOOST_AUTO_TEST_CASE(ForgottenServerKeepsItsPrefillTokens)
{
  OneServer pool;
  const BackendChoice first = pool.Start(kOther);
  const BackendChoice second = pool.Start(kOther);
  pool.mChooser.Forget(InstanceId("server"));
  pool.mChooser.RecordEnded(first, false);
  BOOST_TEST(pool.Reported().at(LongPrompts(kOther)).mPrefillTokens == 20'000U);
  pool.mChooser.RecordFirstByte(second);
  pool.mChooser.RecordEnded(second, true);
  BOOST_TEST(pool.Reported().empty());
}

BOOST_AUTO_TEST_CASE(TrackedLoadsEndWithTheirRequests)
{
  rc::check("requests that end in any order leave no load", []() {
    struct Request
    {
      LoadGroup mGroup;
      std::uint32_t mTokens = 0;
      bool mIsPrefilled = false;
    };
    PriorityLoadTracker tracker;
    std::vector<Request> running;
    const auto end = [&](std::size_t aIndex) {
      const Request request = running[aIndex];
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(aIndex));
      if (!request.mIsPrefilled) {
        tracker.RecordPrefilled(request.mGroup, request.mTokens);
      }
      tracker.RecordEnded(request.mGroup);
    };
    const int steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
      const int action = *rc::gen::inRange(0, 3);
      if (action == 0 || running.empty()) {
        const RequestPriority priority{ TierRank{ *rc::gen::inRange(0, 2) },
                                        TierRank{ *rc::gen::inRange(0, 3) } };
        running.push_back({ LongPrompts(priority),
                            *rc::gen::inRange<std::uint32_t>(0, 90'000) });
        tracker.RecordStarted(running.back().mGroup, running.back().mTokens);
        continue;
      }
      const auto index = *rc::gen::inRange<std::size_t>(0, running.size());
      if (action == 1 && !running[index].mIsPrefilled) {
        running[index].mIsPrefilled = true;
        tracker.RecordPrefilled(running[index].mGroup, running[index].mTokens);
      } else if (action == 2) {
        end(index);
      }
      std::uint64_t tokens = 0;
      for (const Request& request : running) {
        tokens += request.mIsPrefilled ? 0 : request.mTokens;
      }
      std::uint64_t tracked = 0;
      for (const auto& [group, load] : tracker.Loads()) {
        tracked += load.mPrefillTokens;
      }
      RC_ASSERT(tracked == tokens);
    }
    while (!running.empty()) {
      end(running.size() - 1);
    }
    RC_ASSERT(tracker.Loads().empty());
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
