#include "shutdownadmission.h"

namespace medlarkeel {

namespace {

/** Multiple of the recent duration that must be left. */
constexpr int kDurationReserve = 2;

} // namespace

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
