#include "replicaload.h"

#include <algorithm>
#include <cmath>

namespace medlarkeel {

namespace {

/** Weight of a new sample in the moving averages. */
constexpr double kGain = 0.2;

/** Half-lives after which an own measurement no longer counts. */
constexpr double kForgottenAfterHalfLives = 3.0;

double
ToDouble(Microseconds aTime)
{
  return static_cast<double>(aTime.count());
}

double
ToDouble(std::size_t aCount)
{
  return static_cast<double>(aCount);
}

void
Average(std::optional<double>& aAverage, double aSample)
{
  aAverage = aAverage ? *aAverage + kGain * (aSample - *aAverage) : aSample;
}

} // namespace

void
ReplicaLoad::RecordSent()
{
  ++mInFlight;
}

void
ReplicaLoad::RecordLeft()
{
  if (mInFlight > 0) {
    --mInFlight;
  }
}

void
ReplicaLoad::RecordDuration(Microseconds aDuration)
{
  Average(mDuration, ToDouble(aDuration));
}

void
ReplicaLoad::RecordWait(Microseconds aWait,
                        const LoadModelSettings& aSettings,
                        Timestamp aNow)
{
  if (!IsWaitRecent(aSettings, aNow)) {
    mWait.reset();
    mWaitSamples = 0;
  }
  ++mWaitSamples;
  Average(mWait, ToDouble(aWait));
  mWaitAt = aNow;
}

bool
ReplicaLoad::IsWaitRecent(const LoadModelSettings& aSettings,
                          Timestamp aNow) const
{
  const double age = ToDouble(aNow - mWaitAt);
  const double limit =
    kForgottenAfterHalfLives * ToDouble(aSettings.mMeasurementHalfLife);
  return mWait.has_value() && age <= limit;
}

std::optional<double>
ReplicaLoad::RecentWait(const LoadModelSettings& aSettings,
                        Timestamp aNow) const
{
  const bool counts =
    IsWaitRecent(aSettings, aNow) && mWaitSamples >= aSettings.mMinimumSamples;
  return counts ? mWait : std::nullopt;
}

void
ReplicaLoad::ObserveReport(const Candidate& aCandidate, Timestamp aNow)
{
  if (!aCandidate.mLoadAge) {
    return;
  }
  const Timestamp reportAt = aNow - *aCandidate.mLoadAge;
  if (mReportAt && reportAt <= *mReportAt) {
    return;
  }
  mReportAt = reportAt;
  const LoadSnapshot& load = aCandidate.mLoad;
  const std::size_t occupancy = load.mRunning + load.mQueued;
  mOthers = occupancy > mInFlight ? ToDouble(occupancy - mInFlight) : 0.0;
  const std::size_t waiting =
    occupancy + 1 > load.mLimit ? occupancy + 1 - load.mLimit : 0;
  const double explained = ToDouble(waiting) * mDuration.value_or(0.0) /
                           std::max(1.0, ToDouble(load.mLimit));
  mExcessDelay = std::max(0.0, ToDouble(load.mQueueDelay) - explained);
}

LoadEstimate
ReplicaLoad::Estimate(const Candidate& aCandidate,
                      double aMeanOthers,
                      const LoadModelSettings& aSettings) const
{
  double trust = 0.0;
  if (aCandidate.mLoadAge) {
    trust =
      aSettings.mReportTrust * std::exp2(-ToDouble(*aCandidate.mLoadAge) /
                                         ToDouble(aSettings.mReportHalfLife));
  }
  const LoadSnapshot& load = aCandidate.mLoad;
  const double limit =
    load.mLimit > 0 ? ToDouble(load.mLimit) : aSettings.mInitialLimit;
  const double duration =
    mDuration.value_or(ToDouble(aSettings.mInitialDuration));
  const double perPlace = duration / limit;

  LoadEstimate estimate;
  estimate.mOccupancy = ToDouble(mInFlight) + trust * mOthers.value_or(0.0) +
                        (1.0 - trust) * aMeanOthers;
  estimate.mUtilisation = estimate.mOccupancy / limit;
  const double waiting = std::max(0.0, estimate.mOccupancy + 1.0 - limit);
  const double sharing = std::min(1.0, estimate.mUtilisation);
  estimate.mWait = (waiting + sharing) * perPlace + trust * mExcessDelay;
  return estimate;
}

} // namespace medlarkeel
