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

void
Average(std::optional<double>& aAverage, double aSample)
{
  aAverage = aAverage ? *aAverage + kGain * (aSample - *aAverage) : aSample;
}

} // namespace

PeerMeans
MeanOfReports(const std::vector<Candidate>& aCandidates)
{
  PeerMeans means;
  double count = 0.0;
  for (const Candidate& candidate : aCandidates) {
    if (!candidate.mLoadAge) {
      continue;
    }
    const LoadSnapshot& load = candidate.mLoad;
    means.mQueueDelay += ToDouble(load.mQueueDelay);
    means.mOccupancy += static_cast<double>(load.mRunning + load.mQueued);
    count += 1.0;
  }
  if (count > 0.0) {
    means.mQueueDelay /= count;
    means.mOccupancy /= count;
  }
  return means;
}

void
ReplicaLoad::RecordSent()
{
  ++mInFlight;
  mChangeSinceReport += 1.0;
}

void
ReplicaLoad::RecordLeft()
{
  if (mInFlight > 0) {
    --mInFlight;
    mChangeSinceReport -= 1.0;
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
  if (!RecentWait(aSettings, aNow)) {
    mWait.reset();
  }
  Average(mWait, ToDouble(aWait));
  mWaitAt = aNow;
}

std::optional<double>
ReplicaLoad::RecentWait(const LoadModelSettings& aSettings,
                        Timestamp aNow) const
{
  const double age = ToDouble(aNow - mWaitAt);
  const double limit =
    kForgottenAfterHalfLives * ToDouble(aSettings.mMeasurementHalfLife);
  return mWait && age <= limit ? mWait : std::nullopt;
}

void
ReplicaLoad::ObserveReport(const Candidate& aCandidate, Timestamp aNow)
{
  if (!aCandidate.mLoadAge) {
    return;
  }
  const Timestamp reportAt = aNow - *aCandidate.mLoadAge;
  if (!mReportAt || reportAt > *mReportAt) {
    mReportAt = reportAt;
    mChangeSinceReport = 0.0;
  }
}

LoadEstimate
ReplicaLoad::Estimate(const Candidate& aCandidate,
                      const PeerMeans& aMeans,
                      const LoadModelSettings& aSettings,
                      Timestamp aNow)
{
  ObserveReport(aCandidate, aNow);
  const LoadSnapshot& load = aCandidate.mLoad;
  double trust = 0.0;
  if (aCandidate.mLoadAge) {
    trust = std::exp2(-ToDouble(*aCandidate.mLoadAge) /
                      ToDouble(aSettings.mReportHalfLife));
  }
  const double reported =
    trust * static_cast<double>(load.mRunning + load.mQueued) +
    (1.0 - trust) * aMeans.mOccupancy;
  const double delay =
    trust * ToDouble(load.mQueueDelay) + (1.0 - trust) * aMeans.mQueueDelay;
  const double limit = load.mLimit > 0 ? static_cast<double>(load.mLimit)
                                       : aSettings.mInitialLimit;
  const double duration =
    mDuration.value_or(ToDouble(aSettings.mInitialDuration));
  const double perPlace = duration / limit;

  LoadEstimate estimate;
  estimate.mOccupancy =
    std::max(reported + mChangeSinceReport, static_cast<double>(mInFlight));
  estimate.mUtilisation = estimate.mOccupancy / limit;
  const double waiting = std::max(0.0, estimate.mOccupancy + 1.0 - limit);
  const double waitingReported = std::max(0.0, reported + 1.0 - limit);
  const double sinceReport = (waiting - waitingReported) * perPlace;
  const double sharing = std::min(1.0, estimate.mUtilisation) * perPlace;
  estimate.mWait = std::max(0.0, delay + sinceReport) + sharing;
  return estimate;
}

} // namespace medlarkeel
