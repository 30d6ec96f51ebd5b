#pragma once

#include "forwardingdocument.h"

namespace medlarkeel {

/** How one attempt at a backend server ended. */
enum class AttemptOutcome
{
  /** No byte of the request left this process. */
  NotSent,
  /** The backend server states that it didn't run the request. */
  NotRun,
  /** Another process has the address; it didn't run the request. */
  Misdirected,
  /** The backend server answered that it failed. */
  Failed,
  /** The connection ended or held no valid answer; it may have run. */
  Broken,
  /** No answer came in time; it may have run. */
  TimedOut
};

/** @return A name for logs. */
const char*
AttemptOutcomeText(AttemptOutcome aOutcome);

/** What one request has been through so far. */
struct AttemptHistory
{
  /** Connections that could not be made. */
  int mConnectFailures = 0;
  /** Backend servers that the request was sent to. */
  int mSent = 0;
  /** Sends to addresses that now belong to another process. */
  int mMisdirected = 0;
  /** Whether one of the sends may have run. */
  bool mMayHaveRun = false;

  /** Adds the end of an attempt. */
  void Record(AttemptOutcome aOutcome);
};

/** What follows after an attempt that brought no answer to pass on. */
enum class NextStep
{
  TryAnother,
  /** The caller is told that the request has not run and never will. */
  RefuseNotRun,
  /** The caller is told that the outcome is unknown. */
  FailUnknown,
  /** The caller is told that the time is over and the outcome unknown. */
  FailTimeout,
  /** The backend server's own failure is passed on. */
  PassAnswer
};

/**
 * @param aRoute Route of the request.
 * @param aHistory All attempts, the last one included.
 * @param aOutcome How the last attempt ended.
 * @param aHasTime Whether a further attempt could end in time.
 * @return What follows; TryAnother still needs the retry budget.
 */
NextStep
DecideNextStep(const ForwardRoute& aRoute,
               const AttemptHistory& aHistory,
               AttemptOutcome aOutcome,
               bool aHasTime);

/** @return What follows when no further attempt can be made. */
NextStep
FinalStep(const AttemptHistory& aHistory, AttemptOutcome aOutcome);

/**
 * Judges the head of a backend server's answer.
 *
 * @param aStatus Its status.
 * @param aSaysNotRun Whether it states that the request did not run.
 * @return The failed outcome, or nothing when the answer is passed on.
 */
std::optional<AttemptOutcome>
JudgeAnswer(int aStatus, bool aSaysNotRun);

} // namespace medlarkeel
