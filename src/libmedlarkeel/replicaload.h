#pragma once

#include "candidate.h"
#include "types.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace medlarkeel {

/** How the expected wait at a backend server is estimated. */
struct LoadModelSettings
{
  /** Trust in a fresh report against the peers' mean, in [0, 1]. */
  double mReportTrust = 0.4;
  /** Age at which a load report counts half and the peers' mean the rest. */
  Microseconds mReportHalfLife = std::chrono::seconds(2);
  /** Age at which an own measurement counts half. */
  Microseconds mMeasurementHalfLife = std::chrono::seconds(10);
  /** Own measurements that it takes to judge a server by them. */
  int mMinimumSamples = 3;
  /** Duration of a request before the first one was measured. */
  Microseconds mInitialDuration = std::chrono::seconds(2);
  /** Requests at once of a server that hasn't reported its limit. */
  double mInitialLimit = 4.0;
};

/** What one server is expected to make a new request wait. */
struct LoadEstimate
{
  /** Requests running or queued, as far as known. */
  double mOccupancy = 0.0;
  /** Occupancy over the number that may run at once. */
  double mUtilisation = 0.0;
  /** Expected wait, in microseconds. */
  double mWait = 0.0;
};

/**
 * What one entry saw itself of one backend server. Own requests in flight are
 * known exactly; only the other entries' requests are taken from the reports,
 * and drawn towards the peers' mean as a report grows old.
 */
class ReplicaLoad
{
public:
  /** Notes a request that was sent. */
  void RecordSent();

  /** Notes a request that left the server. */
  void RecordLeft();

  /** Notes how long a request took at the server. */
  void RecordDuration(Microseconds aDuration);

  /**
   * Notes the time from reservation to first token. An average that is too old
   * to count starts anew.
   */
  void RecordWait(Microseconds aWait,
                  const LoadModelSettings& aSettings,
                  Timestamp aNow);

  /** Takes the candidate's report if it is newer than the last one taken. */
  void ObserveReport(const Candidate& aCandidate, Timestamp aNow);

  /** @return Other entries' requests at the server, if it has reported. */
  std::optional<double> Others() const { return mOthers; }

  /**
   * Estimates the wait of a new request.
   *
   * @param aCandidate The server, whose report has been observed.
   * @param aMeanOthers Mean of Others() over the server and its peers.
   * @param aSettings The model's settings.
   * @return The estimate.
   */
  LoadEstimate Estimate(const Candidate& aCandidate,
                        double aMeanOthers,
                        const LoadModelSettings& aSettings) const;

  /** @return The moving average of waits, if enough were measured lately. */
  std::optional<double> RecentWait(const LoadModelSettings& aSettings,
                                   Timestamp aNow) const;

  std::size_t InFlight() const { return mInFlight; }

private:
  bool IsWaitRecent(const LoadModelSettings& aSettings, Timestamp aNow) const;

  std::size_t mInFlight = 0;
  /** Requests that the last report counted beyond the own ones. */
  std::optional<double> mOthers;
  /** Queue delay beyond what the reported requests explain. */
  double mExcessDelay = 0.0;
  std::optional<Timestamp> mReportAt;
  std::optional<double> mDuration;
  std::optional<double> mWait;
  int mWaitSamples = 0;
  Timestamp mWaitAt;
};

} // namespace medlarkeel
