#include "attempttracker.h"

#include "attemptharness.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <random>
#include <set>
#include <string>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(100) };
const Grant kGrant{ 1, Incarnation{ 1 }, Seconds(1) };
constexpr std::size_t kScriptBytes = 150;
constexpr int kScriptsPerCase = 30;

std::vector<std::vector<std::uint8_t>>
Scripts()
{
  const auto byte = rc::gen::resize(100, rc::gen::arbitrary<std::uint8_t>());
  const auto script =
    rc::gen::container<std::vector<std::uint8_t>>(kScriptBytes, byte);
  return *rc::gen::container<std::vector<std::vector<std::uint8_t>>>(
    kScriptsPerCase, script);
}

/** One request with budgets of its own. */
struct Subject
{
  RetryBudget mReservations{ RetryBudgetSettings{} };
  RetryBudget mRestarts{ RetryBudgetSettings{} };
  RetryBudget mParallel{ RetryBudgetSettings{ 0.5, 1.0 } };
  AttemptTracker mTracker;

  explicit Subject(bool aRepeatable)
    : mTracker(Rules(aRepeatable), mReservations, mRestarts, &mParallel)
  {
  }

  static AttemptRules Rules(bool aRepeatable)
  {
    AttemptRules rules;
    rules.mRequest = RequestId("own");
    rules.mRepeatable = aRepeatable;
    rules.mDeadline = kStart + Seconds(60);
    return rules;
  }

  void CommitFirst()
  {
    mTracker.BeginAttempt(InstanceId("a"));
    mTracker.OnGranted(1, kGrant, kStart);
    mTracker.Commit(kStart);
  }
};

template<typename Action>
const Action*
FindAction(const AttemptActions& aActions)
{
  for (const AttemptAction& action : aActions) {
    if (const auto* found = std::get_if<Action>(&action)) {
      return found;
    }
  }
  return nullptr;
}

} // namespace

BOOST_AUTO_TEST_SUITE(attempttracker)

RC_BOOST_PROP(AnyOrderOfEventsKeepsTheRules, (bool aRepeatable))
{
  for (const auto& script : Scripts()) {
    AttemptHarness<AttemptTracker> harness(script, aRepeatable);
    const std::string violation = harness.Run().Violation(aRepeatable);
    RC_ASSERT(violation == "");
  }
}

BOOST_AUTO_TEST_CASE(TheSameOrdersBreakEachRuleOfANaiveRelay)
{
  std::mt19937 random(20261204);
  std::set<std::string> violations;
  for (int round = 0; round < 2000; ++round) {
    std::vector<std::uint8_t> script(kScriptBytes);
    for (std::uint8_t& byte : script) {
      byte = static_cast<std::uint8_t>(random());
    }
    const bool repeatable = round % 2 == 0;
    AttemptHarness<NaiveRelay> harness(script, repeatable);
    violations.insert(harness.Run().Violation(repeatable));
  }
  for (const char* expected : { "mixed",
                                "cut with a clean end",
                                "refused after bytes",
                                "run twice",
                                "false not-run" }) {
    BOOST_TEST(violations.count(expected) == 1u, expected);
  }
}

BOOST_AUTO_TEST_CASE(ALossBeforeCommitTriesAnotherAgent)
{
  Subject subject(false);
  subject.mTracker.BeginAttempt(InstanceId("a"));
  const auto actions = subject.mTracker.OnAgentLost(1, kStart);
  BOOST_TEST(FindAction<ChooseAgent>(actions) != nullptr);
  BOOST_TEST(subject.mTracker.Exclusions().size() == 1u);
  BOOST_TEST((subject.mTracker.ExecutedSoFar() == Executed::No));
}

BOOST_AUTO_TEST_CASE(ALossAfterCommitIsUnknownWhenItMayNotBeRepeated)
{
  Subject subject(false);
  subject.CommitFirst();
  const auto actions = subject.mTracker.OnAgentLost(1, kStart);
  const auto* refuse = FindAction<RefuseRequest>(actions);
  BOOST_REQUIRE(refuse != nullptr);
  BOOST_TEST((refuse->mRefusal.mReason == RefusalReason::OutcomeUnknown));
  BOOST_TEST((refuse->mRefusal.mExecuted == Executed::Unknown));
  BOOST_TEST(FindAction<ChooseAgent>(actions) == nullptr);
  BOOST_TEST(!subject.mTracker.BeginAttempt(InstanceId("b")));
}

BOOST_AUTO_TEST_CASE(ARepeatableRestartsOnlyBeforeTheFirstByte)
{
  Subject restarted(true);
  restarted.CommitFirst();
  restarted.mTracker.OnHead(1, 200);
  BOOST_TEST(FindAction<ChooseAgent>(
               restarted.mTracker.OnAgentLost(1, kStart)) != nullptr);

  Subject cut(true);
  cut.CommitFirst();
  cut.mTracker.OnHead(1, 200);
  BOOST_TEST((cut.mTracker.AcceptChunk(RequestId("own"), 1, 0, 5) ==
              ChunkVerdict::Deliver));
  const auto actions = cut.mTracker.OnAgentLost(1, kStart);
  BOOST_TEST(FindAction<AbortAnswer>(actions) != nullptr);
  BOOST_TEST(FindAction<FinishAnswer>(actions) == nullptr);
}

BOOST_AUTO_TEST_CASE(ALateGrantIsGivenBack)
{
  Subject subject(true);
  subject.mTracker.BeginAttempt(InstanceId("a"));
  subject.mTracker.OnAgentLost(1, kStart);
  subject.mTracker.BeginAttempt(InstanceId("b"));
  const auto actions = subject.mTracker.OnGranted(1, kGrant, kStart);
  const auto* cancel = FindAction<CancelAttempt>(actions);
  BOOST_REQUIRE(cancel != nullptr);
  BOOST_TEST(cancel->mAttempt == 1u);
  BOOST_TEST(FindAction<ConfirmGrant>(actions) == nullptr);
}

BOOST_AUTO_TEST_CASE(OfTwoReservationsTheFirstGrantWinsAndTheOtherIsCancelled)
{
  Subject subject(false);
  subject.mTracker.BeginAttempt(InstanceId("a"));
  BOOST_TEST(subject.mTracker.MayReserveBeside());
  BOOST_TEST(subject.mTracker.BeginAttempt(InstanceId("b")).has_value());
  BOOST_TEST(!subject.mTracker.BeginAttempt(InstanceId("c")));
  const auto actions = subject.mTracker.OnGranted(2, kGrant, kStart);
  const auto* cancel = FindAction<CancelAttempt>(actions);
  BOOST_REQUIRE(cancel != nullptr);
  BOOST_TEST(cancel->mAttempt == 1u);
  BOOST_TEST(FindAction<ConfirmGrant>(actions)->mAttempt == 2u);
  BOOST_TEST(FindAction<SendCommit>(subject.mTracker.Commit(kStart)) !=
             nullptr);
  const auto late = subject.mTracker.OnGranted(1, kGrant, kStart);
  BOOST_TEST(FindAction<ConfirmGrant>(late) == nullptr);
  BOOST_TEST(subject.mTracker.CommitCount() == 1u);
}

BOOST_AUTO_TEST_CASE(ParallelReservationsStayWithinTheirBudget)
{
  Subject subject(true);
  BOOST_TEST(subject.mParallel.TryTakeRetry());
  subject.mTracker.BeginAttempt(InstanceId("a"));
  BOOST_TEST(!subject.mTracker.MayReserveBeside());
  BOOST_TEST(!subject.mTracker.BeginAttempt(InstanceId("b")));
  const auto actions = subject.mTracker.OnAgentLost(1, kStart);
  BOOST_TEST(FindAction<ChooseAgent>(actions) != nullptr);
}

BOOST_AUTO_TEST_CASE(AGrantHeldThroughAPauseIsNotUsed)
{
  Subject subject(false);
  subject.mTracker.BeginAttempt(InstanceId("a"));
  subject.mTracker.OnGranted(1, kGrant, kStart);
  const auto actions = subject.mTracker.Commit(kStart + Seconds(2));
  BOOST_TEST(FindAction<SendCommit>(actions) == nullptr);
  BOOST_TEST(FindAction<CancelAttempt>(actions) != nullptr);
  BOOST_TEST(FindAction<ChooseAgent>(actions) != nullptr);
}

BOOST_AUTO_TEST_CASE(ALeavingCallerCancelsOnlyWorkThatMayBeRepeated)
{
  Subject repeatable(true);
  repeatable.CommitFirst();
  BOOST_TEST(FindAction<CancelAttempt>(repeatable.mTracker.OnCallerGone()) !=
             nullptr);
  Subject once(false);
  once.CommitFirst();
  BOOST_TEST(once.mTracker.OnCallerGone().empty());
}

BOOST_AUTO_TEST_CASE(AnEarlierUnknownCommitOutweighsALaterNotRun)
{
  Subject subject(true);
  subject.CommitFirst();
  subject.mTracker.OnAgentLost(1, kStart);
  subject.mTracker.BeginAttempt(InstanceId("b"));
  Refusal refusal;
  refusal.mReason = RefusalReason::Forbidden;
  const auto actions = subject.mTracker.OnRefused(2, refusal, kStart);
  const auto* refuse = FindAction<RefuseRequest>(actions);
  BOOST_REQUIRE(refuse != nullptr);
  BOOST_TEST((refuse->mRefusal.mExecuted == Executed::Unknown));
}

BOOST_AUTO_TEST_CASE(ANotRunAfterTheAnswerBeganIsNotBelieved)
{
  Subject subject(false);
  subject.CommitFirst();
  subject.mTracker.OnHead(1, 200);
  const auto actions = subject.mTracker.OnRefused(1, Refusal{}, kStart);
  const auto* abort = FindAction<AbortAnswer>(actions);
  BOOST_REQUIRE(abort != nullptr);
  BOOST_TEST((abort->mRefusal.mExecuted == Executed::Unknown));
}

BOOST_AUTO_TEST_CASE(AnAnswerFromTheRecordNeedsNoGrant)
{
  Subject subject(false);
  subject.mTracker.BeginAttempt(InstanceId("a"));
  const auto head = subject.mTracker.OnReplay(1, 200);
  BOOST_TEST(FindAction<RelayHead>(head) != nullptr);
  BOOST_TEST((subject.mTracker.ExecutedSoFar() == Executed::Yes));
  const auto done = subject.mTracker.OnDone(1, 0, kStart);
  BOOST_TEST(FindAction<FinishAnswer>(done) != nullptr);
}

BOOST_AUTO_TEST_CASE(ALostOwnerLeavesARepeatUndecided)
{
  RetryBudget budget{ RetryBudgetSettings() };
  AttemptRules rules;
  rules.mRequest = RequestId("r");
  rules.mRepeatable = false;
  rules.mOwnerOnly = true;
  AttemptTracker tracker(rules, budget, budget);
  tracker.BeginAttempt(InstanceId("a"));
  const auto actions = tracker.OnAgentLost(1, kStart);
  const auto* refuse = FindAction<RefuseRequest>(actions);
  BOOST_REQUIRE(refuse != nullptr);
  BOOST_TEST((refuse->mRefusal.mExecuted == Executed::Unknown));
}

BOOST_AUTO_TEST_CASE(AnOwnerThatGrantedKnowsTheCallAsNew)
{
  RetryBudget budget{ RetryBudgetSettings() };
  AttemptRules rules;
  rules.mRequest = RequestId("r");
  rules.mRepeatable = false;
  rules.mOwnerOnly = true;
  AttemptTracker tracker(rules, budget, budget);
  tracker.BeginAttempt(InstanceId("a"));
  tracker.OnGranted(1, Grant{ 1, Incarnation{ 1 }, Seconds(1) }, kStart);
  const auto actions = tracker.OnAgentLost(1, kStart);
  const auto* refuse = FindAction<RefuseRequest>(actions);
  BOOST_REQUIRE(refuse != nullptr);
  BOOST_TEST((refuse->mRefusal.mExecuted == Executed::No));
}

BOOST_AUTO_TEST_CASE(AGrantedAttemptCannotTurnIntoAReplay)
{
  Subject subject(false);
  subject.CommitFirst();
  BOOST_TEST(subject.mTracker.OnReplay(1, 200).empty());
}

BOOST_AUTO_TEST_CASE(AQueueOfAnyLengthHandedBackGoesElsewhere)
{
  RetryBudget budget{ RetryBudgetSettings() };
  int refused = 0;
  int moved = 0;
  for (int request = 0; request < 200; ++request) {
    AttemptTracker handedBack(Subject::Rules(true), budget, budget);
    handedBack.BeginAttempt(InstanceId("a"));
    Refusal refusal;
    refusal.mReason =
      request % 2 == 0 ? RefusalReason::Leaving : RefusalReason::ZoneOut;
    const auto actions = handedBack.OnRefused(1, refusal, kStart);
    moved += FindAction<ChooseAgent>(actions) != nullptr ? 1 : 0;
    AttemptTracker overloaded(Subject::Rules(true), budget, budget);
    overloaded.BeginAttempt(InstanceId("a"));
    const auto others = overloaded.OnRefused(1, Refusal(), kStart);
    refused += FindAction<RefuseRequest>(others) != nullptr ? 1 : 0;
  }
  BOOST_TEST(moved == 200);
  BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_CASE(TheDeadlineSaysNotRunOnlyBeforeCommit)
{
  Subject waiting(false);
  waiting.mTracker.BeginAttempt(InstanceId("a"));
  const auto early = waiting.mTracker.OnDeadline();
  BOOST_TEST(
    (FindAction<RefuseRequest>(early)->mRefusal.mExecuted == Executed::No));
  Subject committed(false);
  committed.CommitFirst();
  const auto late = committed.mTracker.OnDeadline();
  BOOST_TEST(
    (FindAction<RefuseRequest>(late)->mRefusal.mExecuted == Executed::Unknown));
  BOOST_TEST(FindAction<CancelAttempt>(late) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
