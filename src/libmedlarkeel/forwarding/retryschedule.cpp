#include "retryschedule.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** No caller waits longer. */
constexpr Microseconds kMaximumDelay = std::chrono::minutes(1);

} // namespace

Milliseconds
RetrySchedule::NextDelay(Timestamp aEarliest, RequestRate aRate, Timestamp aNow)
{
  constexpr double kMinimumRate = 1e-3;
  const auto interval =
    std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(
      1.0 / std::max(aRate.mPerSecond, kMinimumRate)));
  const Timestamp earliest = std::max(aEarliest, aNow);
  mLast = std::min(std::max(earliest, mLast + interval), aNow + kMaximumDelay);
  return std::chrono::duration_cast<Milliseconds>(mLast - aNow);
}

} // namespace medlarkeel
