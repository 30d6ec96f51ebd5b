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
  /** Age at which a load report counts half and the peers' mean the rest. */
  Microseconds mReportHalfLife = std::chrono::seconds(2);
  /** Age at which an own measurement counts half. */
  Microseconds mMeasurementHalfLife = std::chrono::seconds(10);
  /** Duration of a request before the first one was measured. */
  Microseconds mInitialDuration = std::chrono::seconds(2);
  /** Requests at once of a server that hasn't reported its limit. */
  double mInitialLimit = 4.0;
};

/** Mean of what the candidates last reported. */
struct PeerMeans
{
  double mQueueDelay = 0.0;
  /** Requests running or queued. */
  double mOccupancy = 0.0;
};

/** @return The mean over all candidates that have reported. */
PeerMeans
MeanOfReports(const std::vector<Candidate>& aCandidates);

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
 * What one entry saw itself of one backend server. Own counts correct the
 * reports that lag: requests sent since the report, and never fewer in the
 * server than the own ones in flight.
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

  /**
   * Estimates the wait of a new request.
   *
   * @param aCandidate The server with its last report.
   * @param aMeans What its peers reported.
   * @param aSettings The model's settings.
   * @param aNow The present time.
   * @return The estimate.
   */
  LoadEstimate Estimate(const Candidate& aCandidate,
                        const PeerMeans& aMeans,
                        const LoadModelSettings& aSettings,
                        Timestamp aNow);

  /** @return The moving average of waits, if one was measured lately. */
  std::optional<double> RecentWait(const LoadModelSettings& aSettings,
                                   Timestamp aNow) const;

  std::size_t InFlight() const { return mInFlight; }

private:
  void ObserveReport(const Candidate& aCandidate, Timestamp aNow);

  std::size_t mInFlight = 0;
  /** Requests sent less requests that left since the last report. */
  double mChangeSinceReport = 0.0;
  std::optional<Timestamp> mReportAt;
  std::optional<double> mDuration;
  std::optional<double> mWait;
  Timestamp mWaitAt;
};

} // namespace medlarkeel
