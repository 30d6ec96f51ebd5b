#pragma once

#include "forwardingdocument.h"

namespace medlarkeel {

/** How a failed attempt to send a request to a backend server ended. */
enum class AttemptOutcome
{
  /** No byte of the request was sent. */
  NotSent,
  /** The backend server stated that it did not run the request. */
  NotRun,
  /** Another process now has the address. It did not run the request. */
  Misdirected,
  /** The backend server answered with a failure. The request may have run. */
  Failed,
  /** The connection closed early or the answer was invalid. The request may
   * have run. */
  Broken,
  /** No answer came in time. The request may have run. */
  TimedOut
};

/** @return The name of the outcome in logs. */
const char*
AttemptOutcomeName(AttemptOutcome aOutcome);

/** Counts of the failed attempts of one request. */
struct AttemptHistory
{
  /** Attempts in which no connection could be made. */
  int mConnectFailures = 0;
  /** Attempts in which the request was sent, except misdirected ones. */
  int mSent = 0;
  /** Attempts in which the address belonged to another process. */
  int mMisdirected = 0;
  /** Whether a backend server may have run the request. */
  bool mMayHaveRun = false;

  /** Adds the outcome of an attempt. */
  void Record(AttemptOutcome aOutcome);
};

/** What to do after a failed attempt. */
enum class NextStep
{
  /** The request is sent to another backend server. */
  TryAnother,
  /** The caller is told that the request has not run and will not run. */
  RefuseNotRun,
  /** The caller is told that the outcome is unknown. */
  FailUnknown,
  /** The caller is told that the request timed out and its outcome is
   * unknown. */
  FailTimeout,
  /** The failure answer of the backend server is forwarded to the caller. */
  ForwardAnswer
};

/**
 * Decides what to do after a failed attempt.
 *
 * @param aRoute Route of the request.
 * @param aHistory All attempts, including the last one.
 * @param aOutcome Outcome of the last attempt.
 * @param aHasTime Whether there is time for another attempt.
 * @return The next step. For TryAnother, the caller of this function must still
 * check the retry budget.
 */
NextStep
DecideNextStep(const ForwardRoute& aRoute,
               const AttemptHistory& aHistory,
               AttemptOutcome aOutcome,
               bool aHasTime);

/**
 * @param aHistory All attempts, including the last one.
 * @param aOutcome Outcome of the last attempt.
 * @return The next step if no further attempt can be made.
 */
NextStep
FinalStep(const AttemptHistory& aHistory, AttemptOutcome aOutcome);

/**
 * Classifies the answer of a backend server by its status.
 *
 * @param aStatus HTTP status of the answer.
 * @param aStatesNotRun Whether the answer states that the request did not run.
 * @return The outcome of the failed attempt, or nothing if the answer is
 * forwarded to the caller.
 */
std::optional<AttemptOutcome>
ClassifyAnswer(int aStatus, bool aStatesNotRun);

} // namespace medlarkeel
