#include "tokenbucket.h"

#include <algorithm>
#include <limits>

namespace medlarkeel {

namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr Microseconds kNever = std::chrono::hours(1);

} // namespace

void
TokenBucket::Accrue(MicroTokens aPerSecond,
                    MicroTokens aCapacity,
                    Timestamp aNow)
{
  if (aNow <= mSettledAt) {
    return;
  }
  const std::int64_t elapsed = (aNow - mSettledAt).count();
  mSettledAt = aNow;
  if (aPerSecond <= 0 || mLevel >= aCapacity) {
    mRemainder = 0;
    return;
  }
  constexpr std::int64_t kLargest =
    std::numeric_limits<std::int64_t>::max() / 2;
  const std::int64_t counted = std::min(elapsed, kLargest / aPerSecond);
  const std::int64_t accrued = counted * aPerSecond + mRemainder;
  mLevel += accrued / kMicrosecondsPerSecond;
  mRemainder = accrued % kMicrosecondsPerSecond;
  Clamp(aCapacity);
}

void
TokenBucket::Clamp(MicroTokens aCapacity)
{
  if (mLevel >= aCapacity) {
    mLevel = std::max<MicroTokens>(aCapacity, 0);
    mRemainder = 0;
  }
}

Microseconds
AccrualTime(MicroTokens aTokens, MicroTokens aPerSecond)
{
  if (aTokens <= 0) {
    return Microseconds(0);
  }
  if (aPerSecond <= 0) {
    return kNever;
  }
  const double seconds =
    static_cast<double>(aTokens) / static_cast<double>(aPerSecond);
  const double limit = std::chrono::duration<double>(kNever).count();
  const double bounded = std::min(seconds, limit);
  const double exact = bounded * static_cast<double>(kMicrosecondsPerSecond);
  return Microseconds(static_cast<std::int64_t>(exact) + 1);
}

} // namespace medlarkeel
