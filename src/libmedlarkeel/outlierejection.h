#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace medlarkeel {

/** When a backend server counts as far from its peers. */
struct OutlierSettings
{
  /** Multiple of the peers' median latency beyond which one is an outlier. */
  double mLatencyFactor = 3.0;
  /** Latency, in microseconds, below which none is an outlier. */
  double mMinimumLatency = 50'000.0;
  /** Share of peers above which, when they look bad, none is ejected. */
  double mPanicShare = 0.5;
};

/** One backend server as its peers are compared. */
struct PeerHealth
{
  /** Time to the first token that was seen, in microseconds, if any. */
  std::optional<double> mLatency;
  bool mBreakerOpen = false;
};

/** Which of the compared peers get no work. */
struct EjectionVerdict
{
  /** One flag per peer, in the order of the input. */
  std::vector<bool> mEjected;
  /** So many look bad that none of the signals is trusted. */
  bool mPanic = false;
};

/**
 * Compares backend servers of one pool with each other.
 *
 * @param aPeers The servers that could be chosen.
 * @param aSettings The limits.
 * @return Who is ejected; nobody when more than the panic share would be.
 */
EjectionVerdict
EjectOutliers(const std::vector<PeerHealth>& aPeers,
              const OutlierSettings& aSettings);

} // namespace medlarkeel
