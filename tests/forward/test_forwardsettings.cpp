#include "forwardcounters.h"
#include "forwardsettings.h"
#include "peerchannel.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

const char* const kSettings = R"({
  "node": "entry-1", "zone": "a",
  "callers": "10.0.0.1:80", "readiness": "10.0.0.1:81",
  "metrics": "10.0.0.1:82", "peers": "10.0.0.1:82",
  "seeds": ["10.0.0.1:9", "10.0.0.2:9"], "directory": "10.0.0.9:83",
  "heartbeatMs": 1200, "changeBoundMs": 2000, "shutdownBoundSeconds": 8.0, "retryShare": 0.2,
  "retryReserve": 52, "coldFactor": 1.5, "coldReserve": 5 })";

} // namespace

BOOST_AUTO_TEST_SUITE(forwardsettings)

BOOST_AUTO_TEST_CASE(SettingsAreRead)
{
  const ForwardSettingsResult settings = ParseForwardSettings(kSettings);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings.value().mShutdownBound.count() == 8000);
  BOOST_TEST(settings.value().mCallers.mPort == 80);
  BOOST_TEST(settings.value().mSeeds.size() == 2U);
}

// Without the limits of the machine the bounds of the smallest one apply.
BOOST_AUTO_TEST_CASE(BoundsFollowTheMachineOrTheSmallestOne)
{
  const auto settingsWith = [](const std::string& aFields) {
    return ParseForwardSettings("{" + aFields +
                                std::string(kSettings).substr(1));
  };
  const ForwardSettingsResult unknown = settingsWith("");
  const ForwardSettingsResult null =
    settingsWith(R"("memoryMb": null, "maximumDescriptors": null,)");
  for (const ForwardSettingsResult& settings : { unknown, null }) {
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(CallerMemoryBoundFor(settings.value()) == 67'108'864U);
    BOOST_TEST(CallerDescriptorBoundFor(settings.value()) == 3852U);
  }
  const ForwardSettingsResult known = settingsWith(
    R"("memoryMb": 512, "maximumDescriptors": 8192,
       "callerMemoryShare": 0.25,)");
  BOOST_REQUIRE(known.has_value());
  BOOST_TEST(CallerMemoryBoundFor(known.value()) == 134'217'728U);
  BOOST_TEST(CallerDescriptorBoundFor(known.value()) == 7944U);
  BOOST_TEST(!settingsWith(R"("memoryMb": 0,)").has_value());
  BOOST_TEST(!settingsWith(R"("callerMemoryShare": 1.5,)").has_value());
}

BOOST_AUTO_TEST_CASE(EveryMistakeIsReportedAtOnce)
{
  const ForwardSettingsResult settings = ParseForwardSettings(R"({
    "node": "", "zone": "a", "callers": "host:80", "readiness": "10.0.0.1",
    "metrics": "10.0.0.1:82", "peers": "10.0.0.1:82", "seeds": ["x"],
    "directory": "10.0.0.9:83", "heartbeatMs": 0, "changeBoundMs": 2000, "extra": 1,
    "shutdownBoundSeconds": 8.0, "retryShare": 0.2, "retryReserve": 52,
    "coldFactor": 1.5, "coldReserve": 5 })");
  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(settings.error().size() == 6U);
}

BOOST_AUTO_TEST_CASE(CountersAreRenderedAsText)
{
  ForwardCounters counters;
  counters.mRequests = 3;
  counters.mFirstByte.Record(7.0);
  counters.mPoolLoads["pool"] = { 0.5, 64.0 };
  counters.mForecastErrors["pool"].mLongPrompts = { 3, -20.0, 40.0, 900.0 };
  const std::string text = RenderForwardCounters(counters, 2);
  BOOST_TEST(text.find("medlarkeel_forward_forecast_p90_error_ms{pool=\"pool\","
                       "prompt=\"long\"} 900") != std::string::npos);
  BOOST_TEST(text.find("medlarkeel_forward_requests_total 3") !=
             std::string::npos);
  BOOST_TEST(text.find("medlarkeel_forward_log_lines_dropped_total 2") !=
             std::string::npos);
  BOOST_TEST(
    text.find("medlarkeel_forward_admission_load{pool=\"pool\"} 0.5") !=
    std::string::npos);
  BOOST_TEST(
    text.find("medlarkeel_forward_first_byte_ms_bucket{le=\"10\"} 1") !=
    std::string::npos);
}

/** Guards against metrics that can't be read because of a pool's name. */
BOOST_AUTO_TEST_CASE(NamesOfPoolsAreEscapedInLabels)
{
  ForwardCounters counters;
  counters.mPoolLoads["a\"b\\c\nd"] = { 0.5, 64.0 };
  const std::string text = RenderForwardCounters(counters, 0);
  BOOST_TEST(text.find("admission_load{pool=\"a\\\"b\\\\c\\nd\"} 0.5") !=
             std::string::npos);
}

/** Guards against a process that ends when it reports to an address that is no
 * IP number. */
BOOST_AUTO_TEST_CASE(ReportWithAnAddressThatIsNoIpNumberIsUnreadable)
{
  PeerReport report;
  report.mAddress = "10.0.0.1";
  for (const char* const known : { "10.0.0.2:80", "", "host", "10.0.0" }) {
    report.mKnownAddresses = { "10.0.0.3", known };
    BOOST_TEST(!DecodePeerReport(EncodePeerReport(report)).has_value(), known);
  }
  report.mKnownAddresses = { "10.0.0.3" };
  BOOST_TEST(DecodePeerReport(EncodePeerReport(report)).has_value());
}

BOOST_AUTO_TEST_CASE(PeerReportsSurviveTheirEncoding)
{
  PeerReport report;
  report.mAddress = "10.0.0.1";
  report.mSequence = 7;
  report.mLoad.mServers[4'000'000'000U] = { 3, 40'000 };
  const LoadGroup group{ 9, true, { TierRank{ 1 }, TierRank{ 2 } } };
  report.mLoad.mPriorities[group] = { 5, 64'000 };
  report.mLoad.mPrefill[3'000'000'000U] = { 1'000'000.0, 20'000.0 };
  report.mKnownAddresses = { "10.0.0.2" };
  report.mSent = { { 4'000'000'000U, 7 } };
  report.mDocumentVersion = 5'000'000'000U;
  report.mLinkMbps = 200;
  const auto decoded = DecodePeerReport(EncodePeerReport(report));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->mAddress == report.mAddress);
  BOOST_TEST(decoded->mSequence == 7U);
  BOOST_TEST(decoded->mDocumentVersion == 5'000'000'000U);
  BOOST_TEST(decoded->mLinkMbps == 200U);
  BOOST_TEST(decoded->mLoad.mServers.at(4'000'000'000U).mPrefillTokens ==
             40'000U);
  BOOST_TEST(decoded->mLoad.mPriorities.at(group).mRequests == 5U);
  BOOST_TEST(decoded->mLoad.mPriorities.at(group).mPrefillTokens == 64'000U);
  const PrefillSample& sample = decoded->mLoad.mPrefill.at(3'000'000'000U);
  BOOST_TEST(sample.mTokens == 1'000'000.0);
  BOOST_TEST(sample.mElapsedMs == 20'000.0);
  BOOST_TEST(decoded->mKnownAddresses.size() == 1U);
  BOOST_TEST(decoded->mSent.at(0).mServer == 4'000'000'000U);
  BOOST_TEST(decoded->mSent.at(0).mPart == 7U);
}

BOOST_AUTO_TEST_CASE(BytesThatAreNoReportAreRefused)
{
  BOOST_TEST(!DecodePeerReport("").has_value());
  BOOST_TEST(!DecodePeerReport("not a report").has_value());
  PeerReport report;
  report.mAddress = "no address";
  BOOST_TEST(!DecodePeerReport(EncodePeerReport(report)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
