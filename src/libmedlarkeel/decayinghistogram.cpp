#include "decayinghistogram.h"

#include <algorithm>
#include <cmath>

namespace medlarkeel {

namespace {

/** Upper edge of a bucket over that of the one below. */
constexpr double kGrowth = 1.1;
/** Weight that older samples keep at each new one. */
constexpr double kRetention = 0.99;
/** Weight below which the samples above a value say nothing. */
constexpr double kLeastWeight = 0.05;

double
LowerEdge(std::size_t aBucket)
{
  return std::pow(kGrowth, static_cast<double>(aBucket));
}

std::size_t
BucketOf(double aValue, std::size_t aBuckets)
{
  if (aValue <= 1.0) {
    return 0;
  }
  const double exact = std::floor(std::log(aValue) / std::log(kGrowth));
  return std::min(aBuckets - 1, static_cast<std::size_t>(exact));
}

} // namespace

void
DecayingHistogram::Record(double aValue)
{
  for (std::size_t bucket = mLowest; bucket <= mHighest; ++bucket) {
    mWeights[bucket] *= kRetention;
  }
  const std::size_t bucket = BucketOf(aValue, kBuckets);
  mWeights[bucket] += 1.0;
  mLowest = std::min(mLowest, bucket);
  mHighest = std::max(mHighest, bucket);
}

std::optional<double>
DecayingHistogram::Quantile(double aQuantile, double aReached) const
{
  if (mLowest > mHighest) {
    return std::nullopt;
  }
  const std::size_t reached =
    aReached > 0.0 ? BucketOf(aReached, kBuckets) : std::size_t{ 0 };
  const std::size_t first = std::max(mLowest, reached);
  double above = 0.0;
  for (std::size_t bucket = first; bucket <= mHighest; ++bucket) {
    above += mWeights[bucket];
  }
  if (above < kLeastWeight) {
    return 2.0 * aReached;
  }
  double passed = 0.0;
  std::size_t chosen = first;
  for (std::size_t bucket = first; bucket <= mHighest; ++bucket) {
    chosen = bucket;
    passed += mWeights[bucket];
    if (passed >= aQuantile * above) {
      break;
    }
  }
  return std::max(aReached, LowerEdge(chosen));
}

} // namespace medlarkeel
