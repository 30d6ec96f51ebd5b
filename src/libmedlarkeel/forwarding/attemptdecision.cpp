#include "attemptdecision.h"

namespace medlarkeel {

namespace {

/** Maximum number of failed connections for one request. A zone of a dozen
 * servers may be down before the server list shows it, and a refused connection
 * costs no time. */
constexpr int kMaximumConnectFailures = 6;

/** Number of misdirected sends, to addresses that another process has taken
 * over, after which a request is not sent again. */
constexpr int kMaximumMisdirected = 2;

constexpr int kRequestTimeout = 408;
constexpr int kMisdirectedRequest = 421;
constexpr int kTooManyRequests = 429;
constexpr int kInternalError = 500;
constexpr int kServiceUnavailable = 503;

} // namespace

const char*
AttemptOutcomeName(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::NotSent:
      return "not-sent";
    case AttemptOutcome::NotRun:
      return "not-run";
    case AttemptOutcome::Misdirected:
      return "misdirected";
    case AttemptOutcome::Failed:
      return "failed";
    case AttemptOutcome::Broken:
      return "broken";
    case AttemptOutcome::TimedOut:
      return "timed-out";
  }
  return "unknown";
}

void
AttemptHistory::Record(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::NotSent:
      mConnectFailures += 1;
      break;
    case AttemptOutcome::NotRun:
      mSent += 1;
      break;
    case AttemptOutcome::Misdirected:
      mMisdirected += 1;
      break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Broken:
    case AttemptOutcome::TimedOut:
      mSent += 1;
      mMayHaveRun = true;
      break;
  }
}

NextStep
DecideNextStep(const ForwardRoute& aRoute,
               const AttemptHistory& aHistory,
               AttemptOutcome aOutcome,
               bool aHasTime)
{
  const bool mayRunAgain = !aHistory.mMayHaveRun || aRoute.MayRunAgain();
  const bool hasAttempts =
    aHistory.mSent < aRoute.mMaximumAttempts &&
    aHistory.mConnectFailures < kMaximumConnectFailures &&
    aHistory.mMisdirected < kMaximumMisdirected;
  if (aOutcome != AttemptOutcome::TimedOut && aHasTime && mayRunAgain &&
      hasAttempts) {
    return NextStep::TryAnother;
  }
  return FinalStep(aHistory, aOutcome);
}

NextStep
FinalStep(const AttemptHistory& aHistory, AttemptOutcome aOutcome)
{
  if (aOutcome == AttemptOutcome::Failed) {
    return NextStep::ForwardAnswer;
  }
  if (!aHistory.mMayHaveRun) {
    return NextStep::RefuseNotRun;
  }
  return aOutcome == AttemptOutcome::TimedOut ? NextStep::FailTimeout
                                              : NextStep::FailUnknown;
}

std::optional<AttemptOutcome>
ClassifyAnswer(int aStatus, bool aStatesNotRun)
{
  if (aStatus == kMisdirectedRequest) {
    return AttemptOutcome::Misdirected;
  }
  if (aStatesNotRun) {
    return AttemptOutcome::NotRun;
  }
  // These statuses do not prove that the request was not run. Without an
  // explicit statement by the backend server, it may have run.
  const bool suggestsNotRun = aStatus == kServiceUnavailable ||
                              aStatus == kTooManyRequests ||
                              aStatus == kRequestTimeout;
  if (suggestsNotRun) {
    return AttemptOutcome::Broken;
  }
  if (aStatus >= kInternalError) {
    return AttemptOutcome::Failed;
  }
  return std::nullopt;
}

} // namespace medlarkeel
