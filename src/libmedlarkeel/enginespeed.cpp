#include "enginespeed.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Fixed cost of a prefill, as tokens of prompt. */
constexpr double kPrefillOffset = 64.0;
/** Share of a new sample in the prefill baseline. */
constexpr double kPrefillWeight = 0.1;
constexpr double kSlowPrefillFactor = 3.0;
/** Slow prefills in a row that mean a lost cache. */
constexpr int kCacheLossRun = 4;
/** Samples before a baseline is trusted. */
constexpr int kLeastSamples = 8;
constexpr double kRecentGapWeight = 0.2;
constexpr double kBaselineGapWeight = 0.005;
constexpr double kSlowGapFactor = 2.5;

double
PromptWeight(std::uint32_t aPromptTokens)
{
  return kPrefillOffset + static_cast<double>(aPromptTokens);
}

Microseconds
Rounded(double aMicroseconds)
{
  return Microseconds(static_cast<Microseconds::rep>(aMicroseconds));
}

double
Blend(double aOld, double aNew, double aWeight)
{
  return aOld + aWeight * (aNew - aOld);
}

} // namespace

PrefillVerdict
EngineSpeed::RecordFirstToken(std::uint32_t aPromptTokens,
                              Microseconds aElapsed)
{
  const double sample =
    static_cast<double>(aElapsed.count()) / PromptWeight(aPromptTokens);
  if (!mPrefill) {
    mPrefill = sample;
    mPrefillSamples = 1;
    return PrefillVerdict::Expected;
  }
  const bool trusted = mPrefillSamples >= kLeastSamples;
  if (trusted && sample > kSlowPrefillFactor * *mPrefill) {
    ++mSlowPrefills;
    return mSlowPrefills >= kCacheLossRun ? PrefillVerdict::CacheLost
                                          : PrefillVerdict::Slow;
  }
  mSlowPrefills = 0;
  mPrefillSamples = std::min(mPrefillSamples + 1, kLeastSamples);
  mPrefill = Blend(*mPrefill, sample, kPrefillWeight);
  return PrefillVerdict::Expected;
}

void
EngineSpeed::RecordTokens(std::uint32_t aCount, Microseconds aElapsed)
{
  const double sample =
    static_cast<double>(aElapsed.count()) / static_cast<double>(aCount);
  if (!mRecentGap) {
    mRecentGap = sample;
    mBaselineGap = sample;
    mGapSamples = 1;
    return;
  }
  mRecentGap = Blend(*mRecentGap, sample, kRecentGapWeight);
  const bool trusted = mGapSamples >= kLeastSamples;
  mBaselineGap = Blend(
    mBaselineGap, sample, trusted ? kBaselineGapWeight : 1.0 / kLeastSamples);
  mGapSamples = std::min(mGapSamples + 1, kLeastSamples);
}

std::optional<Microseconds>
EngineSpeed::FirstToken(std::uint32_t aPromptTokens) const
{
  if (!mPrefill) {
    return std::nullopt;
  }
  return Rounded(*mPrefill * PromptWeight(aPromptTokens));
}

std::optional<Microseconds>
EngineSpeed::TokenGap() const
{
  if (!mRecentGap) {
    return std::nullopt;
  }
  return Rounded(*mRecentGap);
}

bool
EngineSpeed::IsSlow() const
{
  return mGapSamples >= kLeastSamples &&
         *mRecentGap > kSlowGapFactor * mBaselineGap;
}

void
EngineSpeed::ForgetPrefill()
{
  mPrefill.reset();
  mSlowPrefills = 0;
  mPrefillSamples = 0;
}

} // namespace medlarkeel
