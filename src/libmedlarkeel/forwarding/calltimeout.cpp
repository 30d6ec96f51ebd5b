#include "calltimeout.h"

#include <algorithm>

namespace medlarkeel {

Milliseconds
CallTimeout::Next(Milliseconds aExpected) const
{
  const int tolerated = mHasAnswer ? mSettings.mToleratedTimeouts : 0;
  const int maximum = mHasAnswer ? mSettings.mMaximumDoublings
                                 : mSettings.mMaximumDoublingsAtStart;
  const int doublings = std::clamp(mTimeouts - tolerated, 0, maximum);
  return std::max(aExpected * (1 << doublings),
                  mAnswerTime * mSettings.mAnswerTimeFactor);
}

void
CallTimeout::RecordAnswer(Milliseconds aTime)
{
  RecordAnswer();
  // One late answer lengthens few calls.
  mAnswerTime = std::max(aTime, mAnswerTime / 2);
}

void
CallTimeout::RecordAnswer()
{
  mHasAnswer = true;
  mTimeouts = 0;
}

} // namespace medlarkeel
