#include "prefillrate.h"

#include <algorithm>

namespace medlarkeel {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1000.0;

} // namespace

PrefillRate::PrefillRate(const PrefillRateSettings& aSettings)
  : mSettings(aSettings)
  , mTokens(aSettings.mInitialWeightTokens)
  , mElapsedMs(aSettings.mInitialWeightTokens / aSettings.mInitialTokensPerMs)
{
}

void
PrefillRate::Record(double aTokens, Microseconds aElapsed)
{
  if (aTokens < mSettings.mMinimumSampleTokens || aElapsed.count() <= 0) {
    return;
  }
  const double elapsedMs = std::min(static_cast<double>(aElapsed.count()) /
                                      kMicrosecondsPerMillisecond,
                                    aTokens / mSettings.mMinimumTokensPerMs);
  mTokens += aTokens;
  mElapsedMs += elapsedMs;
  if (mTokens > mSettings.mHalvingThresholdTokens) {
    mTokens /= 2.0;
    mElapsedMs /= 2.0;
  }
}

double
PrefillRate::TokensPerMs() const
{
  return std::max(mSettings.mMinimumTokensPerMs, mTokens / mElapsedMs);
}

Milliseconds
PrefillRate::PrefillTime(double aTokens) const
{
  return Milliseconds(static_cast<std::int64_t>(aTokens / TokensPerMs()));
}

} // namespace medlarkeel
