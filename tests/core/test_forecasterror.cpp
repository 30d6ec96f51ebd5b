#include "forwarding/forecasterror.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };
constexpr double kBucketError = 0.05;

} // namespace

BOOST_AUTO_TEST_SUITE(forecasterror)

BOOST_AUTO_TEST_CASE(SizesAreKeptApartAndDifferencesKeepTheirSign)
{
  ForecastError errors;
  errors.Record(true, Milliseconds(100), Milliseconds(300), kStart);
  errors.Record(false, Milliseconds(900), Milliseconds(500), kStart);
  errors.Record(false, Milliseconds(500), Milliseconds(700), kStart);
  BOOST_TEST(errors.Summary(true, kStart).mForecasts == 1U);
  BOOST_TEST(errors.Summary(true, kStart).mMeanDifferenceMs == -200.0);
  BOOST_TEST(errors.Summary(false, kStart).mForecasts == 2U);
  BOOST_TEST(errors.Summary(false, kStart).mMeanDifferenceMs == 100.0);
}

/** Guards against errors of a past load that hide those of the present one, and
 * against a summary that empties when a period begins. */
BOOST_AUTO_TEST_CASE(ErrorsAreForgottenAfterThreeMinutes)
{
  ForecastError errors;
  errors.Record(true, Milliseconds(900), Milliseconds(100), kStart);
  errors.Record(
    true, Milliseconds(20), Milliseconds(10), kStart + Seconds(140));
  BOOST_TEST(errors.Summary(true, kStart + Seconds(140)).mForecasts == 2U);
  BOOST_TEST(errors.Summary(true, kStart + Seconds(180)).mForecasts == 1U);
  BOOST_TEST(errors.Summary(true, kStart + Seconds(330)).mForecasts == 0U);
  errors.Record(
    true, Milliseconds(20), Milliseconds(10), kStart + Seconds(360));
  BOOST_TEST(errors.Summary(true, kStart + Seconds(360)).mMeanDifferenceMs ==
             10.0);
}

/** Compares with the sorted errors. Guards against percentiles that single
 * large errors change, as those of a server that hangs. */
BOOST_AUTO_TEST_CASE(PercentilesAreThoseOfTheSortedErrors)
{
  BOOST_TEST(rc::check([]() {
    const auto errors =
      *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(
        rc::gen::inRange<std::int64_t>(-600'000, 600'000)));
    ForecastError kept;
    std::vector<double> sorted;
    for (const std::int64_t error : errors) {
      kept.Record(
        false, Milliseconds(700'000), Milliseconds(700'000 - error), kStart);
      sorted.push_back(std::max(1.0, std::abs(static_cast<double>(error))));
    }
    std::sort(sorted.begin(), sorted.end());
    const auto size = static_cast<double>(sorted.size());
    const auto at = [&](double aShare) {
      return sorted[static_cast<std::size_t>(std::ceil(aShare * size)) - 1];
    };
    const ForecastErrorSummary summary = kept.Summary(false, kStart);
    RC_ASSERT(std::abs(summary.mMedianErrorMs / at(0.5) - 1.0) <= kBucketError);
    RC_ASSERT(std::abs(summary.mNinetiethPercentileErrorMs / at(0.9) - 1.0) <=
              kBucketError);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
