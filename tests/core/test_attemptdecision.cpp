#include "forwarding/attemptdecision.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

ForwardRoute
Route(RepeatRule aRule, int aAttempts)
{
  ForwardRoute route;
  route.mRepeatRule = aRule;
  route.mMaximumAttempts = aAttempts;
  return route;
}

NextStep
StepAfter(const ForwardRoute& aRoute,
          std::initializer_list<AttemptOutcome> aOutcomes)
{
  AttemptHistory history;
  AttemptOutcome last = AttemptOutcome::NotSent;
  for (const AttemptOutcome outcome : aOutcomes) {
    history.Record(outcome);
    last = outcome;
  }
  return DecideNextStep(aRoute, history, last, true);
}

} // namespace

BOOST_AUTO_TEST_SUITE(attemptdecision)

// A request that must run at most once would run twice if it were sent again
// after a broken connection or a timeout.
BOOST_AUTO_TEST_CASE(RequestThatMayHaveRunIsNeverSentAgain)
{
  const ForwardRoute atMostOnce = Route(RepeatRule::AtMostOnce, 3);
  for (const AttemptOutcome outcome :
       { AttemptOutcome::Broken, AttemptOutcome::TimedOut }) {
    BOOST_CHECK(StepAfter(atMostOnce, { outcome }) != NextStep::TryAnother);
    BOOST_CHECK(StepAfter(atMostOnce, { outcome }) != NextStep::RefuseNotRun);
  }
  BOOST_CHECK(StepAfter(atMostOnce, { AttemptOutcome::Failed }) ==
              NextStep::ForwardAnswer);
}

// The caller may repeat a request that is reported as not run. The report is
// wrong if the last attempt did not run the request but an earlier one may
// have.
BOOST_AUTO_TEST_CASE(NotRunIsReportedOnlyIfNoAttemptMayHaveRun)
{
  const ForwardRoute repeatable = Route(RepeatRule::Repeatable, 2);
  BOOST_CHECK(
    StepAfter(repeatable, { AttemptOutcome::NotRun, AttemptOutcome::NotRun }) ==
    NextStep::RefuseNotRun);
  BOOST_CHECK(
    StepAfter(repeatable, { AttemptOutcome::Broken, AttemptOutcome::NotRun }) ==
    NextStep::FailUnknown);
}

BOOST_AUTO_TEST_CASE(MaximumAttemptsOfTheRouteAreNotExceeded)
{
  BOOST_CHECK(StepAfter(Route(RepeatRule::Repeatable, 2),
                        { AttemptOutcome::Failed }) == NextStep::TryAnother);
  BOOST_CHECK(StepAfter(Route(RepeatRule::Repeatable, 2),
                        { AttemptOutcome::Failed, AttemptOutcome::Failed }) ==
              NextStep::ForwardAnswer);
  BOOST_CHECK(StepAfter(Route(RepeatRule::AtMostOnce, 1),
                        { AttemptOutcome::NotRun }) == NextStep::RefuseNotRun);
}

// If all servers of a zone are down, failed connections must not use up the
// attempts of the route. Their number is limited separately.
BOOST_AUTO_TEST_CASE(FailedConnectionsAndMisdirectedSendsDoNotCountAsAttempts)
{
  const ForwardRoute atMostOnce = Route(RepeatRule::AtMostOnce, 1);
  BOOST_CHECK(StepAfter(atMostOnce, { AttemptOutcome::NotSent }) ==
              NextStep::TryAnother);
  BOOST_CHECK(StepAfter(atMostOnce, { AttemptOutcome::Misdirected }) ==
              NextStep::TryAnother);
  AttemptHistory history;
  constexpr int kServersInZone = 4;
  for (int i = 0; i < kServersInZone; ++i) {
    history.Record(AttemptOutcome::NotSent);
    BOOST_CHECK(
      DecideNextStep(atMostOnce, history, AttemptOutcome::NotSent, true) ==
      NextStep::TryAnother);
  }
  history.mConnectFailures = 100;
  BOOST_CHECK(
    DecideNextStep(atMostOnce, history, AttemptOutcome::NotSent, true) ==
    NextStep::RefuseNotRun);
}

BOOST_AUTO_TEST_CASE(BrokenResumableStreamIsSentToAnotherServer)
{
  ForwardRoute stream = Route(RepeatRule::AtMostOnce, 2);
  stream.mIsStream = true;
  stream.mIsResumable = true;
  BOOST_CHECK(StepAfter(stream, { AttemptOutcome::Broken }) ==
              NextStep::TryAnother);
}

BOOST_AUTO_TEST_CASE(NoFurtherAttemptWithoutRemainingTime)
{
  AttemptHistory history;
  history.Record(AttemptOutcome::Failed);
  BOOST_CHECK(DecideNextStep(Route(RepeatRule::Repeatable, 2),
                             history,
                             AttemptOutcome::Failed,
                             false) == NextStep::ForwardAnswer);
}

BOOST_AUTO_TEST_CASE(AnswersAreClassifiedByStatusAndNotRunStatement)
{
  BOOST_TEST(!ClassifyAnswer(200, false).has_value());
  BOOST_TEST(!ClassifyAnswer(404, false).has_value());
  BOOST_CHECK(ClassifyAnswer(500, false) == AttemptOutcome::Failed);
  BOOST_CHECK(ClassifyAnswer(504, false) == AttemptOutcome::Failed);
  BOOST_CHECK(ClassifyAnswer(503, true) == AttemptOutcome::NotRun);
  BOOST_CHECK(ClassifyAnswer(421, false) == AttemptOutcome::Misdirected);
  // If the answer does not state that the request was not run, it may have run.
  for (const int status : { 503, 429, 408 }) {
    BOOST_CHECK(ClassifyAnswer(status, false) == AttemptOutcome::Broken);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
