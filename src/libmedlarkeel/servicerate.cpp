#include "servicerate.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Weight that older releases keep at each new one. */
constexpr double kRetention = 0.95;
/** Shortest busy time that a rate is divided by, in seconds. */
constexpr double kShortestBusy = 1e-3;

double
InSeconds(Microseconds aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void
ServiceRate::Observe(bool aBusy, Timestamp aNow)
{
  mOpen = BusySeconds(aNow);
  mObserved = aNow;
  mBusy = aBusy;
}

void
ServiceRate::RecordRelease(Timestamp aNow)
{
  mOpen = BusySeconds(aNow);
  mObserved = aNow;
  mBusySum = mBusySum * kRetention + mOpen;
  mReleases = mReleases * kRetention + 1.0;
  mOpen = 0.0;
}

std::optional<double>
ServiceRate::PerSecond(Timestamp aNow) const
{
  if (mReleases <= 0.0) {
    return std::nullopt;
  }
  const double busy = mBusySum + BusySeconds(aNow);
  return mReleases / std::max(kShortestBusy, busy);
}

double
ServiceRate::BusySeconds(Timestamp aNow) const
{
  if (!mBusy || aNow <= mObserved) {
    return mOpen;
  }
  return mOpen + InSeconds(aNow - mObserved);
}

} // namespace medlarkeel
