#include "shutdownadmission.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Multiple of the recent duration that must be left. */
constexpr int kDurationReserve = 2;

} // namespace

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

bool
CanEndBeforeShutdown(const ForwardRoute& aRoute,
                     const ShutdownRequest& aRequest)
{
  if (aRequest.mTimeLimit <= aRequest.mTimeLeft) {
    return true;
  }
  const bool mayBreakOff = aRoute.mIsStream || aRoute.MayRunAgain();
  return mayBreakOff && aRequest.mRecentDuration &&
         kDurationReserve * *aRequest.mRecentDuration <= aRequest.mTimeLeft;
}

} // namespace medlarkeel
