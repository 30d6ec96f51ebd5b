#include "forecastcorrection.h"

#include <algorithm>
#include <vector>

namespace medlarkeel {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1000.0;

/** The line is supported up to this quantile of the tokens. A single large
 * request doesn't extend its range. */
constexpr double kSupportedShare = 0.9;

double
Median(std::vector<double> aValues)
{
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace

ForecastCorrection::ForecastCorrection(
  const ForecastCorrectionSettings& aSettings)
  : mSettings(aSettings)
{
}

void
ForecastCorrection::Record(double aTokens,
                           Microseconds aElapsed,
                           Timestamp aNow)
{
  mSamples.push_back(
    { aTokens,
      static_cast<double>(aElapsed.count()) / kMicrosecondsPerMillisecond,
      aNow });
  while (mSamples.size() > mSettings.mMaximumSamples ||
         aNow - mSamples.front().mAt > mSettings.mMaximumAge) {
    mSamples.pop_front();
  }
  mLine.reset();
  if (mSamples.size() >= mSettings.mMinimumSamples) {
    mLine = DeriveLine();
  }
}

ForecastCorrection::Line
ForecastCorrection::DeriveLine() const
{
  constexpr std::size_t kGroups = 3;
  std::vector<Sample> sorted(mSamples.begin(), mSamples.end());
  std::sort(sorted.begin(),
            sorted.end(),
            [](const Sample& aFirst, const Sample& aSecond) {
              return aFirst.mTokens < aSecond.mTokens;
            });
  const auto medianOf = [](auto aBegin, auto aEnd, auto aValue) {
    std::vector<double> values;
    std::transform(aBegin, aEnd, std::back_inserter(values), aValue);
    return Median(std::move(values));
  };
  const auto tokens = [](const Sample& aSample) { return aSample.mTokens; };
  const auto time = [](const Sample& aSample) { return aSample.mElapsedMs; };
  const auto size = static_cast<std::ptrdiff_t>(sorted.size() / kGroups);
  const auto lowEnd = sorted.begin() + size;
  const auto highBegin = sorted.end() - size;
  const double tokenDifference = medianOf(highBegin, sorted.end(), tokens) -
                                 medianOf(sorted.begin(), lowEnd, tokens);
  const double timeDifference = medianOf(highBegin, sorted.end(), time) -
                                medianOf(sorted.begin(), lowEnd, time);
  Line line;
  if (tokenDifference > 0.0) {
    line.mMsPerToken = std::max(0.0, timeDifference / tokenDifference);
  }
  line.mBaseMs =
    medianOf(sorted.begin(), sorted.end(), [&line](const Sample& aSample) {
      return aSample.mElapsedMs - line.mMsPerToken * aSample.mTokens;
    });
  const double last = kSupportedShare * static_cast<double>(sorted.size() - 1);
  line.mHighestTokens = sorted[static_cast<std::size_t>(last)].mTokens;
  return line;
}

Milliseconds
ForecastCorrection::Corrected(double aTokens,
                              Milliseconds aForecast,
                              Timestamp aNow) const
{
  if (!mLine || aNow - mSamples.back().mAt > mSettings.mMaximumAge) {
    return aForecast;
  }
  const double supported = std::min(aTokens, mLine->mHighestTokens);
  const double beyondShare =
    aTokens > 0.0 ? (aTokens - supported) / aTokens : 0.0;
  const double correctedMs =
    mLine->mBaseMs + mLine->mMsPerToken * supported +
    beyondShare * static_cast<double>(aForecast.count());
  return Milliseconds(static_cast<std::int64_t>(std::max(0.0, correctedMs)));
}

} // namespace medlarkeel
