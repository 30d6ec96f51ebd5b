#pragma once

#include "entryload.h"

namespace medlarkeel {

/** Parameters of the estimate of a pool's prefill rate. */
struct PrefillRateSettings
{
  /** Prefill rate that is assumed before any measurement, in prompt tokens per
   * millisecond. It lies between the rates of the slowest and the fastest
   * engines in current deployments. */
  double mInitialTokensPerMs = 64.0;
  /** Prompt tokens of measurements that replace the initial rate. */
  double mInitialWeightTokens = 200'000.0;
  /** Prompt tokens of measurements above which the weight of all earlier
   * measurements is halved. */
  double mHalvingThresholdTokens = 1'000'000.0;
  /** Minimum prompt tokens of a measurement. With fewer tokens, the time to
   * the first event consists mainly of network latency and of single engine
   * steps. */
  double mMinimumSampleTokens = 8192.0;
  /** Lower bound of a measured rate and of the estimate, in prompt tokens per
   * millisecond. Without it, a server that hangs would reduce the estimate for
   * all servers. */
  double mMinimumTokensPerMs = 10.0;
};

/**
 * Estimates the prefill rate of the backend servers of a pool from the times to
 * the first events and the prompt tokens whose prefill preceded them. It uses
 * the measurements of all entries, so that they estimate the same rate.
 */
class PrefillRate
{
public:
  explicit PrefillRate(const PrefillRateSettings& aSettings);

  /**
   * Records the time to a first event.
   *
   * @param aTokens Prompt tokens whose prefill preceded the event.
   * @param aElapsed Time from sending the request to its first event.
   */
  void Record(double aTokens, Microseconds aElapsed);

  /** @return This entry's measurements. */
  const PrefillSample& OwnSample() const { return mOwnSample; }

  /** Replaces the measurements of the peers. */
  void SetPeerSample(const PrefillSample& aSample) { mPeerSample = aSample; }

  /** @return Estimated prefill rate of a server, in prompt tokens per
   * millisecond. */
  double TokensPerMs() const;

  /** @return Estimated time in which a server completes the prefill of a number
   * of prompt tokens. */
  Milliseconds PrefillTime(double aTokens) const;

private:
  PrefillRateSettings mSettings;
  PrefillSample mOwnSample;
  PrefillSample mPeerSample;
};

} // namespace medlarkeel
