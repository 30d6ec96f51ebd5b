#pragma once

#include "../types.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace medlarkeel {

/** Parameters of the correction of forecasts. */
struct ForecastCorrectionSettings
{
  /** Minimum number of measurements. The line is derived from the medians of
   * three groups, and the median of five tolerates two outliers. */
  std::size_t mMinimumSamples = 15;
  /** Maximum number of measurements, the most recent ones. It bounds the memory
   * and the time in which the line is derived. */
  std::size_t mMaximumSamples = 128;
  /** Age above which measurements aren't used. */
  Microseconds mMaximumAge = std::chrono::minutes(3);
};

/**
 * Corrects forecasts of the time to the first event by recent measurements, for
 * one pool and prompt size. The corrected forecast is a base time and a time
 * per prompt token.
 *
 * The line is derived from medians of groups of measurements (a resistant
 * line), so that a server that hangs doesn't change it.
 */
class ForecastCorrection
{
public:
  explicit ForecastCorrection(const ForecastCorrectionSettings& aSettings);

  /**
   * Records the time to a first event.
   *
   * @param aTokens Prompt tokens whose prefill preceded the event.
   * @param aElapsed Time from sending the request to its first event.
   * @param aNow Time of the event.
   */
  void Record(double aTokens, Microseconds aElapsed, Timestamp aNow);

  /**
   * @param aTokens Prompt tokens whose prefill precedes the event.
   * @param aForecast The forecast without correction.
   * @return The corrected forecast; aForecast if there are too few recent
   * measurements. Tokens above the range of the measurements take the time that
   * aForecast gives them.
   */
  Milliseconds Corrected(double aTokens,
                         Milliseconds aForecast,
                         Timestamp aNow) const;

private:
  struct Sample
  {
    double mTokens = 0.0;
    double mElapsedMs = 0.0;
    Timestamp mAt;
  };

  struct Line
  {
    double mBaseMs = 0.0;
    double mMsPerToken = 0.0;
    /** Tokens up to which the line is supported by measurements. */
    double mHighestTokens = 0.0;
  };

  Line DeriveLine() const;

  ForecastCorrectionSettings mSettings;
  /** In the order in which they were recorded. */
  std::deque<Sample> mSamples;
  std::optional<Line> mLine;
};

} // namespace medlarkeel
