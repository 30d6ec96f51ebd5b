#include "readingspeed.h"

#include <algorithm>

namespace medlarkeel {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1000.0;

} // namespace

ReadingSpeed::ReadingSpeed(const ReadingSpeedSettings& aSettings)
  : mSettings(aSettings)
  , mTokens(aSettings.mAssumedWeightTokens)
  , mElapsedMs(aSettings.mAssumedWeightTokens / aSettings.mAssumedTokensPerMs)
{
}

void
ReadingSpeed::Record(double aTokens, Microseconds aElapsed)
{
  if (aTokens < mSettings.mLeastTokens || aElapsed.count() <= 0) {
    return;
  }
  const double elapsedMs = std::min(static_cast<double>(aElapsed.count()) /
                                      kMicrosecondsPerMillisecond,
                                    aTokens / mSettings.mLeastTokensPerMs);
  mTokens += aTokens;
  mElapsedMs += elapsedMs;
  if (mTokens > mSettings.mMemoryTokens) {
    mTokens /= 2.0;
    mElapsedMs /= 2.0;
  }
}

double
ReadingSpeed::TokensPerMs() const
{
  return std::max(mSettings.mLeastTokensPerMs, mTokens / mElapsedMs);
}

Milliseconds
ReadingSpeed::TimeFor(double aTokens) const
{
  return Milliseconds(static_cast<std::int64_t>(aTokens / TokensPerMs()));
}

} // namespace medlarkeel
