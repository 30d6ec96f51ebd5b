#include "recentmaximum.h"

#include <algorithm>

namespace medlarkeel {

void
RecentMaximum::Record(Milliseconds aValue, Timestamp aNow)
{
  if (aNow - mPeriodBegin >= kPeriod) {
    const bool isAdjacent = aNow - mPeriodBegin < 2 * kPeriod;
    mPrevious = isAdjacent ? mCurrent : std::nullopt;
    mCurrent.reset();
    mPeriodBegin = aNow;
  }
  mCurrent = std::max(mCurrent.value_or(aValue), aValue);
}

std::optional<Milliseconds>
RecentMaximum::Value(Timestamp aNow) const
{
  if (aNow - mPeriodBegin >= 2 * kPeriod || !mCurrent) {
    return std::nullopt;
  }
  return std::max(*mCurrent, mPrevious.value_or(*mCurrent));
}

} // namespace medlarkeel
