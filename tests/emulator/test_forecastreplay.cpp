#include "emulatedfleet.h"

#include "../support/sourcefile.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace medlarkeel {

namespace {

Microseconds
TimeOf(double aMs)
{
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  return Microseconds(
    static_cast<std::int64_t>(aMs * kMicrosecondsPerMillisecond));
}

} // namespace

BOOST_AUTO_TEST_SUITE(forecastreplay)

/** Guards against a correction that makes forecasts worse. Replays forecasts
 * that were made without it; a corrected one uses only the first events that
 * its entry had seen when it sent the request. */
BOOST_AUTO_TEST_CASE(CorrectionReducesTheErrorsOfShortPrompts)
{
  constexpr std::uint64_t kSeeds = 4;
  const LoadPlanResult plan =
    ParseLoadPlan(SourceFile("bench/experiment/plans/hard-load.json"));
  BOOST_REQUIRE(plan.has_value());
  FleetPolicy policy;
  policy.mAdmission->mForecastCorrectionSettings.mMinimumSamples = SIZE_MAX;
  const Timestamp start{ Seconds(1000) };
  ForecastError before;
  ForecastError after;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FleetOutcome outcome =
      EmulatedFleet(plan.value(), policy, seed).Play();
    std::vector<ForecastCorrection> corrections(
      plan.value().mEntries, ForecastCorrection(ForecastCorrectionSettings()));
    std::multimap<double, std::function<void()>> steps;
    for (const ForecastOutcome& made : outcome.mForecasts) {
      if (!made.mIsShortPrompt) {
        continue;
      }
      ForecastCorrection& correction = corrections[made.mEntry];
      const Milliseconds forecast(static_cast<std::int64_t>(made.mExpectedMs));
      const Microseconds actual = TimeOf(made.ActualMs());
      steps.emplace(made.mSentMs, [&, forecast, actual]() {
        const Milliseconds corrected = correction.Corrected(
          made.mTokens, forecast, start + TimeOf(made.mSentMs));
        before.Record(true, forecast, actual, start);
        after.Record(true, corrected, actual, start);
      });
      steps.emplace(made.mFirstEventMs, [&, actual]() {
        correction.Record(
          made.mTokens, actual, start + TimeOf(made.mFirstEventMs));
      });
    }
    for (const auto& [time, step] : steps) {
      step();
    }
  }
  const ForecastErrorSummary raw = before.Summary(true, start);
  const ForecastErrorSummary corrected = after.Summary(true, start);
  BOOST_TEST(raw.mForecasts > 0U);
  BOOST_TEST(corrected.mMedianErrorMs < raw.mMedianErrorMs);
  BOOST_TEST(corrected.mNinetiethPercentileErrorMs <
             raw.mNinetiethPercentileErrorMs);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
