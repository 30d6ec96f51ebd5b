#include "outlierejection.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Peers with a known latency below which there is no comparison. */
constexpr std::size_t kMinimumPeers = 3;

/** @return The lower median, which one bad peer of three can't raise. */
std::optional<double>
MedianLatency(const std::vector<PeerHealth>& aPeers)
{
  std::vector<double> latencies;
  for (const PeerHealth& peer : aPeers) {
    if (peer.mLatency) {
      latencies.push_back(*peer.mLatency);
    }
  }
  if (latencies.size() < kMinimumPeers) {
    return std::nullopt;
  }
  const auto middle =
    latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

} // namespace

EjectionVerdict
EjectOutliers(const std::vector<PeerHealth>& aPeers,
              const OutlierSettings& aSettings)
{
  const std::optional<double> median = MedianLatency(aPeers);
  EjectionVerdict verdict;
  std::size_t ejected = 0;
  for (const PeerHealth& peer : aPeers) {
    bool isFar = false;
    if (median && peer.mLatency) {
      const double limit =
        std::max(*median * aSettings.mLatencyFactor, aSettings.mMinimumLatency);
      isFar = *peer.mLatency > limit;
    }
    const bool isBad = peer.mBreakerOpen || isFar;
    verdict.mEjected.push_back(isBad);
    ejected += isBad ? 1 : 0;
  }
  const double limit =
    aSettings.mPanicShare * static_cast<double>(aPeers.size());
  if (ejected > 0 && static_cast<double>(ejected) > limit) {
    verdict.mPanic = true;
    verdict.mEjected.assign(aPeers.size(), false);
  }
  return verdict;
}

} // namespace medlarkeel
