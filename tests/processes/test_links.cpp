#include "verdict.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace medlarkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/** Longest time to tell a caller that its agent is out of reach: the silence
 * bound of a stream and what a busy machine adds. */
constexpr seconds kSilenceTime{ 6 };

/** Checks that a cut answer is an error to its caller, and soon. */
void
CheckCutAnswer(std::future<StreamedAnswer>& aAnswer)
{
  BOOST_REQUIRE(aAnswer.wait_for(kSilenceTime) == std::future_status::ready);
  const auto cut = aAnswer.get();
  BOOST_TEST(!cut.mCleanEnd);
  BOOST_TEST(!cut.mDone);
  BOOST_TEST(cut.mErrorEvent);
}

} // namespace

BOOST_AUTO_TEST_SUITE(links)

BOOST_AUTO_TEST_CASE(LinkCutOrResetMidStreamIsAnErrorToTheCaller)
{
  Links links;
  Fleet fleet(&links);
  BackendPair& engine = fleet.AddEngine({ "--token_gap_ms=20" });
  const EntryProcess& entry = fleet.AddEntry();
  fleet.RequireReady();
  auto silent = BeginStream(fleet.Chat("a", 900));
  BOOST_TEST(WaitForStatistic(engine, "tokens", 5));
  links.Cut(entry.mId, engine.mId);
  CheckCutAnswer(silent);
  links.Heal();
  const int before = Statistic(engine, "tokens");
  auto reset = BeginStream(fleet.Chat("b", 900));
  BOOST_TEST(WaitForStatistic(engine, "tokens", before + 50));
  links.Reset(entry.mId, engine.mId);
  CheckCutAnswer(reset);
  BOOST_TEST(WaitUntil(seconds(10), [&] {
    return IsWhole(ReadStream(fleet.Chat("later", 3)), "later", 3);
  }));
  BOOST_TEST(WaitForStatistic(engine, "cancelled", 2));
}

BOOST_AUTO_TEST_CASE(LinkCutBeforeTheCommitCostsNoAnswer)
{
  // In all no more than the reserve of the budget for other agents.
  constexpr int kCalls = 5;
  Links links;
  Fleet fleet(&links);
  BackendPair& lost = fleet.AddService();
  BackendPair& near = fleet.AddService();
  BackendPair& lostEngine = fleet.AddEngine();
  fleet.AddEngine();
  const EntryProcess& entry = fleet.AddEntry();
  fleet.RequireReady();
  links.Cut(entry.mId, lost.mId);
  links.Cut(entry.mId, lostEngine.mId);
  std::vector<std::future<StreamedAnswer>> drafts;
  std::vector<std::future<Verdict>> verdicts;
  for (int number = 0; number < kCalls; ++number) {
    const std::string id = "id-" + std::to_string(number);
    drafts.push_back(BeginStream(fleet.Chat(id, 10)));
    verdicts.push_back(Begin(fleet.Confirm(id, "")));
  }
  for (std::size_t number = 0; number < kCalls; ++number) {
    const std::string id = "id-" + std::to_string(number);
    const auto draft = drafts[number].get();
    BOOST_TEST(IsWhole(draft, id, 10), draft.mBody);
    const auto verdict = verdicts[number].get();
    BOOST_TEST(verdict.mStatus == 200, verdict.mBody);
    CheckTruth(verdict, AllRuns({ &lost, &near }, id));
  }
  links.Heal();
  std::this_thread::sleep_for(seconds(2));
  BOOST_TEST(Statistic(lost, "runs") == 0);
}

BOOST_AUTO_TEST_CASE(CommitOrAnswerLostOnTheWayIsNeverCalledNotRun)
{
  Links links;
  Fleet fleet(&links);
  fleet.SetConcurrency("bookings", 1, 1);
  fleet.Publish();
  BackendPair& service = fleet.AddService({ "--latency_ms=1000" });
  const EntryProcess& entry = fleet.AddEntry();
  fleet.RequireReady();
  auto first = Begin(fleet.Confirm("first", ""));
  BOOST_TEST(WaitForRun(service, "first"));
  auto second = Begin(fleet.Confirm("commit-lost", ""));
  std::this_thread::sleep_for(milliseconds(300));
  // The grant of the second still arrives, its commit doesn't.
  links.CutSending(entry.mId, service.mId);
  BOOST_TEST(first.get().mStatus == 200);
  std::this_thread::sleep_for(milliseconds(200));
  const auto commitLost = second.get();
  BOOST_TEST(commitLost.mExecuted == "unknown", commitLost.mBody);
  links.Heal();
  BOOST_TEST(WaitUntil(seconds(10), [&] {
    return Send(fleet.Confirm("between", "")).mStatus == 200;
  }));
  CheckTruth(commitLost, Runs(service, "commit-lost"));
  auto third = Begin(fleet.Confirm("third", ""));
  BOOST_TEST(WaitForRun(service, "third"));
  links.CutSending(service.mId, entry.mId);
  const auto answerLost = third.get();
  BOOST_TEST(answerLost.mExecuted == "unknown", answerLost.mBody);
  CheckTruth(answerLost, Runs(service, "third"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
