#include "shutdownadmission.h"

namespace medlarkeel {

namespace {

/** The time left must be this multiple of the recent duration. */
constexpr int kDurationFactor = 2;

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
         kDurationFactor * *aRequest.mRecentDuration <= aRequest.mTimeLeft;
}

} // namespace medlarkeel
