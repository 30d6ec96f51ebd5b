#include "prefillrate.h"

#include <algorithm>

namespace medlarkeel {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1000.0;

} // namespace

PrefillRate::PrefillRate(const PrefillRateSettings& aSettings)
  : mSettings(aSettings)
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
  mOwnSample += { aTokens, elapsedMs };
  if (mOwnSample.mTokens > mSettings.mHalvingThresholdTokens) {
    mOwnSample.mTokens /= 2.0;
    mOwnSample.mElapsedMs /= 2.0;
  }
}

double
PrefillRate::TokensPerMs() const
{
  PrefillSample total = mOwnSample;
  total += mPeerSample;
  const double assumedTokens =
    std::max(0.0, mSettings.mInitialWeightTokens - total.mTokens);
  total += { assumedTokens, assumedTokens / mSettings.mInitialTokensPerMs };
  return std::max(mSettings.mMinimumTokensPerMs,
                  total.mTokens / total.mElapsedMs);
}

Milliseconds
PrefillRate::PrefillTime(double aTokens) const
{
  return Milliseconds(static_cast<std::int64_t>(aTokens / TokensPerMs()));
}

} // namespace medlarkeel
