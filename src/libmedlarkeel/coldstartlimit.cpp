#include "coldstartlimit.h"

#include <algorithm>

namespace medlarkeel {

namespace {

constexpr double kDecrease = 0.5;

} // namespace

void
ColdStartLimit::SetBounds(std::size_t aColdStart, std::size_t aWarm)
{
  mWarm = std::max<std::size_t>(1, aWarm);
  mColdStart = std::clamp<std::size_t>(aColdStart, 1, mWarm);
  mLimit = std::clamp(
    mLimit, static_cast<double>(mColdStart), static_cast<double>(mWarm));
}

void
ColdStartLimit::SetColdTime(Microseconds aTime, Timestamp aNow)
{
  mColdTime = aTime;
  if (!mColdSince) {
    mColdSince = aNow;
  }
}

std::size_t
ColdStartLimit::Limit() const
{
  return static_cast<std::size_t>(mLimit);
}

void
ColdStartLimit::Restart(Timestamp aNow)
{
  mLimit = static_cast<double>(mColdStart);
  mLastDecrease = aNow;
  mColdSince = aNow;
}

void
ColdStartLimit::RecordSuccess(Timestamp aStarted, bool aFull)
{
  const bool isCold = mColdSince && aStarted < *mColdSince + mColdTime;
  if (!aFull || isCold || aStarted <= mLastDecrease) {
    return;
  }
  const auto window = static_cast<double>(Limit());
  mLimit = std::min(static_cast<double>(mWarm), mLimit + 1.0 / window);
}

void
ColdStartLimit::RecordTrouble(Timestamp aStarted, Timestamp aNow)
{
  if (aStarted <= mLastDecrease) {
    return;
  }
  mLimit = std::max(static_cast<double>(mColdStart), mLimit * kDecrease);
  mLastDecrease = aNow;
}

} // namespace medlarkeel
