#pragma once

#include "../types.h"

namespace medlarkeel {

struct CallTimeoutSettings
{
  /** Time-outs in a row that don't lengthen the next one, once there was an
   * answer: answers that are lost don't show that answers take long. */
  int mToleratedTimeouts = 4;
  /** How often time-outs double the next one before the first answer and after
   * it. A process that knows nothing yet can afford to wait; a running one has
   * to notice soon that the service is back. */
  int mMaximumDoublingsAtStart = 2;
  int mMaximumDoublings = 1;
  /** No call is given up before the time of recent answers times this. */
  int mAnswerTimeFactor = 2;
};

/**
 * Time-out of calls to a service whose answers may all take longer than
 * expected. With a fixed time-out, no call would ever succeed there.
 */
class CallTimeout
{
public:
  explicit CallTimeout(const CallTimeoutSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /**
   * @param aExpected Time-out while answers come in the expected time.
   * @return Time-out of the next call.
   */
  Milliseconds Next(Milliseconds aExpected) const;

  /** Records the time until an answer began. */
  void RecordAnswer(Milliseconds aTime);

  /** Records an answer whose time says nothing, as that of a call that waits
   * for changes. */
  void RecordAnswer();

  void RecordTimeout() { mTimeouts += 1; }

private:
  CallTimeoutSettings mSettings;
  bool mHasAnswer = false;
  /** Time-outs since the last answer. */
  int mTimeouts = 0;
  Milliseconds mAnswerTime{ 0 };
};

} // namespace medlarkeel
