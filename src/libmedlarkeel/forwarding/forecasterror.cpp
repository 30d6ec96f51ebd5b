#include "forecasterror.h"

#include <algorithm>
#include <cmath>

namespace medlarkeel {

namespace {

/** Upper edge of a bucket divided by its lower edge. */
constexpr double kGrowth = 1.1;

constexpr double kMicrosecondsPerMillisecond = 1000.0;

constexpr double kMedianShare = 0.5;
constexpr double kHighShare = 0.9;

} // namespace

std::int64_t
ForecastError::PeriodNumber(Timestamp aTime)
{
  return aTime.time_since_epoch() / kPeriod;
}

std::size_t
ForecastError::BucketOf(double aErrorMs)
{
  if (aErrorMs <= 1.0) {
    return 0;
  }
  const double bucket = std::floor(std::log(aErrorMs) / std::log(kGrowth));
  return std::min(kBuckets - 1, static_cast<std::size_t>(bucket));
}

void
ForecastError::Record(bool aIsShortPrompt,
                      Milliseconds aForecast,
                      Microseconds aActual,
                      Timestamp aNow)
{
  const std::int64_t number = PeriodNumber(aNow);
  Periods& periods = aIsShortPrompt ? mShortPrompts : mLongPrompts;
  Period& period = periods[static_cast<std::size_t>(number) % kPeriods];
  if (period.mNumber != number) {
    period = Period();
    period.mNumber = number;
  }
  const double differenceMs =
    static_cast<double>((Microseconds(aForecast) - aActual).count()) /
    kMicrosecondsPerMillisecond;
  period.mForecasts += 1;
  period.mDifferenceSumMs += differenceMs;
  period.mCounts[BucketOf(std::abs(differenceMs))] += 1;
}

double
ForecastError::Quantile(const BucketCounts& aCounts,
                        std::uint64_t aTotal,
                        double aShare)
{
  const auto rank =
    static_cast<std::uint64_t>(std::ceil(aShare * static_cast<double>(aTotal)));
  std::uint64_t passed = 0;
  std::size_t bucket = 0;
  while (bucket < kBuckets && passed + aCounts[bucket] < rank) {
    passed += aCounts[bucket];
    ++bucket;
  }
  // The geometric mean of the edges bounds the error on both sides.
  return bucket == 0 ? 1.0
                     : std::pow(kGrowth, static_cast<double>(bucket)) *
                         std::sqrt(kGrowth);
}

ForecastErrorSummary
ForecastError::Summary(bool aIsShortPrompt, Timestamp aNow) const
{
  const std::int64_t current = PeriodNumber(aNow);
  ForecastErrorSummary summary;
  double differenceSumMs = 0.0;
  BucketCounts counts{};
  for (const Period& period : PeriodsFor(aIsShortPrompt)) {
    const bool isRecent =
      period.mNumber > current - static_cast<std::int64_t>(kPeriods);
    if (period.mNumber < 0 || !isRecent) {
      continue;
    }
    summary.mForecasts += period.mForecasts;
    differenceSumMs += period.mDifferenceSumMs;
    for (std::size_t i = 0; i < kBuckets; ++i) {
      counts[i] += period.mCounts[i];
    }
  }
  if (summary.mForecasts > 0) {
    summary.mMeanDifferenceMs =
      differenceSumMs / static_cast<double>(summary.mForecasts);
    summary.mMedianErrorMs = Quantile(counts, summary.mForecasts, kMedianShare);
    summary.mNinetiethPercentileErrorMs =
      Quantile(counts, summary.mForecasts, kHighShare);
  }
  return summary;
}

} // namespace medlarkeel
