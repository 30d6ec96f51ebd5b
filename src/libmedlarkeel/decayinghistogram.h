#pragma once

#include <array>
#include <cstddef>
#include <optional>

namespace medlarkeel {

/**
 * Running distribution of a positive quantity in logarithmic buckets. Older
 * samples fade, so that quantiles follow a change of the workload.
 */
class DecayingHistogram
{
public:
  /** @param aValue A sample in the caller's unit; at least 0. */
  void Record(double aValue);

  /**
   * Quantile of the samples above a value that has been reached already.
   *
   * @param aQuantile In [0, 1].
   * @param aReached Lower bound that the quantity is known to exceed.
   * @return The lower edge of the quantile's bucket, or nothing without
   *         samples. Where no sample lies above aReached, twice aReached.
   */
  std::optional<double> Quantile(double aQuantile, double aReached = 0.0) const;

private:
  static constexpr std::size_t kBuckets = 160;

  std::array<double, kBuckets> mWeights{};
  /** Range of the buckets that hold samples. */
  std::size_t mLowest = kBuckets;
  std::size_t mHighest = 0;
};

} // namespace medlarkeel
