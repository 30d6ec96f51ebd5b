#include "forwarding/forecastcorrection.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };
constexpr Milliseconds kForecast{ 300 };

/** Records first events after 20 ms and 10 ms for each 1000 tokens, of prompts
 * of up to 3000 tokens. */
void
RecordLine(ForecastCorrection& aCorrection, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    const int tokens = 300 * (1 + i % 10);
    aCorrection.Record(
      tokens, Milliseconds(20) + Microseconds(10) * tokens, kStart);
  }
}

bool
IsNear(Milliseconds aTime, std::int64_t aExpectedMs)
{
  return std::abs(aTime.count() - aExpectedMs) <= 1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(forecastcorrection)

/** Guards against a correction by few or old measurements, as after a restart
 * or a quiet time. */
BOOST_AUTO_TEST_CASE(FewOrOldMeasurementsChangeNothing)
{
  ForecastCorrection correction{ ForecastCorrectionSettings() };
  BOOST_CHECK(correction.Corrected(1000, kForecast, kStart) == kForecast);
  RecordLine(correction, 14);
  BOOST_CHECK(correction.Corrected(1000, kForecast, kStart) == kForecast);
  RecordLine(correction, 1);
  BOOST_CHECK(correction.Corrected(1000, kForecast, kStart) != kForecast);
  BOOST_CHECK(correction.Corrected(1000, kForecast, kStart + Seconds(181)) ==
              kForecast);
  correction.Record(1000, kForecast, kStart + Seconds(181));
  BOOST_CHECK(correction.Corrected(1000, kForecast, kStart + Seconds(181)) ==
              kForecast);
}

/** Guards against servers that hang and determine the corrected forecast: two
 * of fifteen measurements are of such servers. */
BOOST_AUTO_TEST_CASE(ServersThatHangDoNotChangeTheLine)
{
  ForecastCorrection correction{ ForecastCorrectionSettings() };
  RecordLine(correction, 30);
  BOOST_CHECK(IsNear(correction.Corrected(1000, kForecast, kStart), 30));
  correction.Record(2900, std::chrono::hours(1), kStart);
  correction.Record(3000, std::chrono::hours(1), kStart);
  BOOST_CHECK(IsNear(correction.Corrected(1000, kForecast, kStart), 30));
}

/** Guards against a line of short queues that admits requests behind a long
 * queue: tokens that no measurement supports take the uncorrected time. */
BOOST_AUTO_TEST_CASE(TokensBeyondTheMeasurementsTakeTheUncorrectedTime)
{
  ForecastCorrection correction{ ForecastCorrectionSettings() };
  RecordLine(correction, 30);
  const Milliseconds queue =
    correction.Corrected(102'700, Milliseconds(10'270), kStart);
  BOOST_CHECK(IsNear(queue, 20 + 27 + 10'000));
}

BOOST_AUTO_TEST_CASE(MeasurementsOfOneSizeGiveABaseTime)
{
  ForecastCorrection correction{ ForecastCorrectionSettings() };
  for (int i = 0; i < 15; ++i) {
    correction.Record(1000, Milliseconds(40), kStart);
  }
  BOOST_CHECK(IsNear(correction.Corrected(1000, kForecast, kStart), 40));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
