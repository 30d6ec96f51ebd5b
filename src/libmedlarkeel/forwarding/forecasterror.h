#pragma once

#include "../types.h"

#include <array>
#include <cstdint>

namespace medlarkeel {

/** Errors of the recent forecasts of one prompt size. */
struct ForecastErrorSummary
{
  std::uint64_t mForecasts = 0;
  /** Mean of forecast minus actual time; negative if first events came later
   * than expected. */
  double mMeanDifferenceMs = 0.0;
  /** Median and 90th percentile of the absolute error, to within 5 %; errors
   * below 1 ms count as 1 ms. */
  double mMedianErrorMs = 0.0;
  double mNinetiethPercentileErrorMs = 0.0;
};

/**
 * Keeps the errors of the forecasts of the time to the first event, for one
 * pool and by prompt size, over the last 150 to 180 s.
 *
 * The absolute errors are counted in logarithmic buckets by period, so that the
 * memory (about 7 kB) depends neither on the number of requests nor on the
 * length of the errors.
 */
class ForecastError
{
public:
  /**
   * Records the error of a forecast.
   *
   * @param aIsShortPrompt Whether the forecast was made for a short prompt.
   * @param aForecast Expected time to the first event.
   * @param aActual Actual time to the first event.
   * @param aNow Time of the first event.
   */
  void Record(bool aIsShortPrompt,
              Milliseconds aForecast,
              Microseconds aActual,
              Timestamp aNow);

  /** @return The errors of the recent forecasts for a prompt size. */
  ForecastErrorSummary Summary(bool aIsShortPrompt, Timestamp aNow) const;

private:
  /** With a growth of 1.1 per bucket, the last one begins at 13 minutes. */
  static constexpr std::size_t kBuckets = 144;
  static constexpr std::size_t kPeriods = 6;
  static constexpr Microseconds kPeriod = std::chrono::seconds(30);

  using BucketCounts = std::array<std::uint32_t, kBuckets>;

  /** The errors of one period. */
  struct Period
  {
    /** Periods since the zero of the clock. */
    std::int64_t mNumber = -1;
    std::uint64_t mForecasts = 0;
    double mDifferenceSumMs = 0.0;
    BucketCounts mCounts{};
  };
  using Periods = std::array<Period, kPeriods>;

  static std::int64_t PeriodNumber(Timestamp aTime);
  static std::size_t BucketOf(double aErrorMs);
  /** @return The error that a share of the counted ones doesn't exceed. */
  static double Quantile(const BucketCounts& aCounts,
                         std::uint64_t aTotal,
                         double aShare);
  const Periods& PeriodsFor(bool aIsShortPrompt) const
  {
    return aIsShortPrompt ? mShortPrompts : mLongPrompts;
  }

  Periods mShortPrompts;
  Periods mLongPrompts;
};

} // namespace medlarkeel
