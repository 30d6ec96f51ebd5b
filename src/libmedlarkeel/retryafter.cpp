#include "retryafter.h"

#include <algorithm>
#include <cmath>

namespace medlarkeel {

namespace {

double
ToSeconds(Microseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Microseconds
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Microseconds>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace

RetryAfterPlanner::RetryAfterPlanner(const RetryAfterSettings& aSettings,
                                     std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
{
}

void
RetryAfterPlanner::RecordServed(Timestamp aNow)
{
  if (!mFirstServedAt) {
    mFirstServedAt = aNow;
    mServedAt = aNow;
  }
  const double age = ToSeconds(aNow - mServedAt) / ToSeconds(mSettings.mMemory);
  mServed = mServed * std::exp(-age) + 1.0;
  mServedAt = aNow;
}

double
RetryAfterPlanner::ServedRate(Timestamp aNow) const
{
  if (!mFirstServedAt) {
    return 0.0;
  }
  const double memory = ToSeconds(mSettings.mMemory);
  const double age = ToSeconds(aNow - mServedAt) / memory;
  const double life = ToSeconds(aNow - *mFirstServedAt) / memory;
  const double window = memory * (1.0 - std::exp(-life));
  return mServed * std::exp(-age) / std::max(1.0, window);
}

double
RetryAfterPlanner::Jitter()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
}

Milliseconds
RetryAfterPlanner::Plan(Timestamp aNow)
{
  const double rate =
    std::max(mSettings.mMinimumRate, mSettings.mShare * ServedRate(aNow));
  const double spacing = 1.0 / rate;
  const Timestamp earliest = aNow + mSettings.mMinimum;
  const Timestamp place = std::max(mNextPlace, earliest);
  Microseconds wait = place - aNow + FromSeconds(spacing * Jitter());
  if (wait > mSettings.mMaximum) {
    const double share = (1.0 + Jitter()) / 2.0;
    wait = FromSeconds(ToSeconds(mSettings.mMaximum) * share);
  } else {
    mNextPlace = place + FromSeconds(spacing);
  }
  return std::chrono::ceil<Milliseconds>(wait);
}

} // namespace medlarkeel
