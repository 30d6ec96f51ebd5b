#include "peerreportcodec.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace medlarkeel {

namespace {

constexpr DirectoryEra kEra{ 5 };

PeerReport
ReportOf(DirectoryEra aEra)
{
  PeerReport report;
  report.mAddress = "10.0.0.1";
  report.mSequence = 1;
  report.mDirectoryPosition = { aEra, 90 };
  report.mEraAge = Milliseconds(700);
  // Its field must not be that of the era.
  report.mLoad.mPrefill[3] = { 1'000.0, 20.0 };
  BackendEntry entry;
  entry.mId = InstanceId("one");
  entry.mEndpoint = { "10.0.0.2", 80 };
  entry.mPosition = { aEra, 81 };
  report.mRecentDelta =
    DirectoryDelta{ { aEra, 80 },
                    { aEra, 90 },
                    { entry,
                      BackendRemoval{ InstanceId("two"), { aEra, 82 } },
                      ZoneEvacuation{ ZoneName("a"), true, { aEra, 83 } } } };
  return report;
}

void
CheckEra(const PeerReport& aReport, DirectoryEra aEra)
{
  BOOST_CHECK((aReport.mDirectoryPosition == DirectoryPosition{ aEra, 90 }));
  BOOST_REQUIRE(aReport.mRecentDelta.has_value());
  const DirectoryDelta& delta = *aReport.mRecentDelta;
  BOOST_CHECK((delta.mFrom == DirectoryPosition{ aEra, 80 }));
  BOOST_CHECK((delta.mTo == DirectoryPosition{ aEra, 90 }));
  std::uint64_t revision = 81;
  for (const RelayedChange& change : delta.mChanges) {
    const DirectoryPosition position =
      std::visit([](const auto& aChange) { return aChange.mPosition; }, change);
    BOOST_CHECK((position == DirectoryPosition{ aEra, revision++ }));
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(peerreportcodec)

BOOST_AUTO_TEST_CASE(ReportsCarryTheEraOfAllPositions)
{
  const auto decoded = DecodePeerReport(EncodePeerReport(ReportOf(kEra)));
  BOOST_REQUIRE(decoded.has_value());
  CheckEra(*decoded, kEra);
  BOOST_TEST(decoded->mEraAge.count() == 700);
  BOOST_TEST(decoded->mLoad.mPrefill.at(3).mTokens == 1'000.0);
}

BOOST_AUTO_TEST_CASE(DeltaIsSentWithoutAReport)
{
  const PeerReport report = ReportOf(kEra);
  const std::string bytes = EncodeDirectoryDelta(*report.mRecentDelta);
  BOOST_TEST(IsDirectoryDelta(bytes));
  BOOST_TEST(!IsDirectoryDelta(EncodePeerReport(report)));
  PeerReport decoded = report;
  decoded.mRecentDelta = DecodeDirectoryDelta(bytes);
  CheckEra(decoded, kEra);
  BOOST_TEST(!DecodeDirectoryDelta(bytes.substr(0, bytes.size() - 1)));
  BOOST_TEST(!DecodeDirectoryDelta("\xa1\x61n\x01"));
}

/** Guards against refusing reports of versions of the program that know no
 * eras. */
BOOST_AUTO_TEST_CASE(ReportWithoutEraIsOfEraZero)
{
  auto report = nlohmann::json::from_cbor(EncodePeerReport(ReportOf(kEra)));
  report.erase("y");
  report.erase("h");
  report["n"].erase("y");
  std::string bytes;
  nlohmann::json::to_cbor(report, bytes);
  const auto decoded = DecodePeerReport(bytes);
  BOOST_REQUIRE(decoded.has_value());
  CheckEra(*decoded, DirectoryEra{});
  BOOST_TEST(decoded->mEraAge.count() == 0);
}

/** Guards against reports that older versions of the program can't compare:
 * without eras the bytes are those of before. */
BOOST_AUTO_TEST_CASE(ReportOfEraZeroHasNoNewFields)
{
  PeerReport report = ReportOf(DirectoryEra{});
  report.mEraAge = Milliseconds(0);
  const auto fields = nlohmann::json::from_cbor(EncodePeerReport(report));
  BOOST_TEST(!fields.contains("y"));
  BOOST_TEST(!fields.contains("h"));
  BOOST_TEST(!fields.at("n").contains("y"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
