#include "forwarding/peerview.h"

#include "forwarding/directoryfollower.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };

/** Start time of entries whose discovery of other entries is complete. */
const Timestamp kDiscoveredStart{ Seconds(900) };

/** Directory position of all entries. */
constexpr DirectoryPosition kPosition{ {}, 40 };
/** An earlier position. */
constexpr DirectoryPosition kEarlier{ {}, 39 };

PeerReport
Report(const std::string& aAddress, std::uint64_t aSequence)
{
  PeerReport report;
  report.mAddress = aAddress;
  report.mSequence = aSequence;
  report.mLoad.mServers[7] = { 2, 300 };
  report.mDirectoryPosition = kPosition;
  return report;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peerview)

BOOST_AUTO_TEST_CASE(MinimumFleetSizeIsAssumedUntilAPeerReports)
{
  const PeerSettings settings;
  PeerView view(
    settings, "10.0.0.1", { "10.0.0.1", "10.0.0.2" }, kDiscoveredStart);
  BOOST_TEST(view.EntryCount(kStart) == settings.mAssumedEntries);
  view.Record(Report("10.0.0.2", 1), kStart);
  BOOST_TEST(view.EntryCount(kStart) == 2U);
}

BOOST_AUTO_TEST_CASE(EntriesListedByPeersAreCountedAndReportedTo)
{
  PeerView view(PeerSettings(), "10.0.0.1", { "10.0.0.2" }, kDiscoveredStart);
  PeerReport report = Report("10.0.0.2", 1);
  report.mKnownAddresses = { "10.0.0.1", "10.0.0.3" };
  view.Record(report, kStart);
  BOOST_TEST(view.EntryCount(kStart) == 3U);
  BOOST_TEST(view.Targets(kStart).size() == 2U);
}

BOOST_AUTO_TEST_CASE(LoadOfASilentPeerExpiresBeforeItsShareOfLimits)
{
  const PeerSettings settings;
  PeerView view(settings, "10.0.0.1", {}, kDiscoveredStart);
  view.Record(Report("10.0.0.2", 1), kStart);
  BOOST_TEST(view.PeerLoads(kStart)[7].mPrefillTokens == 300U);
  const Timestamp later = kStart + settings.mLoadTimeout + Milliseconds(1);
  BOOST_TEST(view.PeerLoads(later).empty());
  BOOST_TEST(view.EntryCount(later) == 2U);
  BOOST_TEST(view.EntryCount(kStart + settings.mPeerTimeout) == 1U);
}

/** @return The view of an entry whose peers all report the same digest, read
 * 200 ms ago. */
PeerView
ViewOf(const std::string& aOwn,
       const std::vector<std::string>& aAddresses,
       std::uint64_t aDigest)
{
  PeerView view(PeerSettings(), aOwn, aAddresses, kDiscoveredStart);
  for (const std::string& address : aAddresses) {
    PeerReport report = Report(address, 1);
    report.mDirectoryDigest = aDigest;
    report.mDirectoryAge = Milliseconds(200);
    view.Record(report, kStart);
  }
  return view;
}

BOOST_AUTO_TEST_CASE(CallIsSkippedOnlyWhileReadersAreFreshAndAgree)
{
  const PeerSettings settings;
  std::vector<std::string> addresses;
  for (int i = 1; i <= 30; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i));
  }
  std::set<std::string> readers;
  for (const std::string& own : addresses) {
    if (ViewOf(own, addresses, 5).IsReader(kStart)) {
      readers.insert(own);
    }
  }
  BOOST_TEST(readers.size() == settings.mDirectoryReaders);
  for (const std::string& own : addresses) {
    PeerView view(settings, own, addresses, kDiscoveredStart);
    BOOST_TEST(!view.CanSkipDirectoryCall(5, kPosition, kStart));
    view = ViewOf(own, addresses, 5);
    if (readers.count(own) != 0) {
      BOOST_TEST(!view.CanSkipDirectoryCall(5, kPosition, kStart));
      continue;
    }
    BOOST_TEST(view.CanSkipDirectoryCall(5, kPosition, kStart));
    BOOST_TEST(!view.CanSkipDirectoryCall(6, kPosition, kStart));
    BOOST_TEST(!view.CanSkipDirectoryCall(
      5, kPosition, kStart + settings.mMaximumDirectoryAge));
    PeerReport other = Report(*readers.begin(), 2);
    other.mDirectoryDigest = 7;
    view.Record(other, kStart);
    // A reader with another digest and an older revision causes no call.
    BOOST_TEST(view.CanSkipDirectoryCall(5, kPosition, kStart));
    BOOST_TEST(!view.CanSkipDirectoryCall(5, kEarlier, kStart));
    other.mSequence = 3;
    other.mDirectoryAge = settings.mMaximumDirectoryAge + Milliseconds(1);
    view.Record(other, kStart);
    BOOST_TEST(view.CanSkipDirectoryCall(5, kEarlier, kStart));
  }
}

/** Guards against directory readers whose links are too slow for the renewals
 * of all servers. */
BOOST_AUTO_TEST_CASE(EntriesWithTheFastestLinksReadTheDirectory)
{
  const PeerSettings settings;
  constexpr int kEntries = 30;
  const auto linkOf = [](int aEntry) { return aEntry % 5 == 0 ? 200U : 10U; };
  std::size_t readers = 0;
  for (int own = 0; own < kEntries; ++own) {
    const auto address = [](int aEntry) {
      return "10.0.0." + std::to_string(aEntry + 1);
    };
    PeerView view(settings, address(own), {}, kDiscoveredStart, 0, linkOf(own));
    for (int other = 0; other < kEntries; ++other) {
      PeerReport report = Report(address(other), 1);
      report.mLinkMbps = linkOf(other);
      view.Record(report, kStart);
    }
    readers += view.IsReader(kStart) ? 1 : 0;
    BOOST_TEST((!view.IsReader(kStart) || linkOf(own) == 200U));
  }
  BOOST_TEST(readers == settings.mDirectoryReaders);
}

/** Guards against entries that rely on their own copy because a reader's copy
 * of a later era has a lower revision, and against calls because of readers
 * that are still in an earlier era. */
BOOST_AUTO_TEST_CASE(CallIsNotSkippedWhenAReaderIsInALaterEra)
{
  std::vector<std::string> addresses;
  for (int i = 1; i <= 30; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i));
  }
  std::string reader;
  std::string other;
  for (const std::string& own : addresses) {
    (ViewOf(own, addresses, 5).IsReader(kStart) ? reader : other) = own;
  }
  PeerView view = ViewOf(other, addresses, 5);
  PeerReport report = Report(reader, 2);
  report.mDirectoryDigest = 7;
  report.mDirectoryPosition = { { 1 }, kEarlier.mRevision };
  view.Record(report, kStart);
  BOOST_TEST(!view.CanSkipDirectoryCall(5, kPosition, kStart));
  const DirectoryPosition later{ { 2 }, 1 };
  BOOST_TEST(view.CanSkipDirectoryCall(5, later, kStart));
}

/** Guards against an era that only the entries of one zone learn of: reports to
 * other zones have no other state of the directory. */
BOOST_AUTO_TEST_CASE(ReportsToOtherZonesCarryTheEra)
{
  PeerSettings settings;
  settings.mMaximumMeshEntries = 2;
  PeerView view(settings, "10.0.0.1", {}, kDiscoveredStart, 1);
  for (int i = 2; i <= 5; ++i) {
    PeerReport report = Report("10.0.0." + std::to_string(i), 1);
    report.mZone = 2;
    view.Record(report, kStart);
  }
  PeerReport own = Report("10.0.0.1", 1);
  own.mDirectoryPosition = { { 4 }, 9 };
  own.mEraAge = Milliseconds(30);
  const std::vector<AddressedReport> reports = view.Reports(own, kStart);
  BOOST_TEST(reports.size() > 1U);
  for (const AddressedReport& report : reports) {
    BOOST_TEST(report.mReport.mDirectoryPosition.mEra.mValue == 4U);
    BOOST_TEST(report.mReport.mEraAge.count() == 30);
  }
}

/** Guards against directory calls that spread through the fleet: entries
 * learn of a change one after the other, and their digests differ meanwhile.
 * Only the digests of directory readers may cause a call. */
BOOST_AUTO_TEST_CASE(ReportOfANonReaderCausesNoDirectoryCall)
{
  std::vector<std::string> addresses;
  for (int i = 1; i <= 30; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i));
  }
  std::vector<std::string> others;
  for (const std::string& own : addresses) {
    if (!ViewOf(own, addresses, 5).IsReader(kStart)) {
      others.push_back(own);
    }
  }
  PeerView view = ViewOf(others[0], addresses, 5);
  PeerReport report = Report(others[1], 2);
  report.mDirectoryDigest = 7;
  view.Record(report, kStart);
  BOOST_TEST(view.CanSkipDirectoryCall(5, kPosition, kStart));
}

BOOST_AUTO_TEST_CASE(SilentReaderIsReplaced)
{
  std::vector<std::string> addresses;
  for (int i = 1; i <= 30; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i));
  }
  std::size_t readers = 0;
  const Timestamp later = kStart + PeerSettings().mDirectoryReaderTimeout;
  for (const std::string& own : addresses) {
    PeerView view = ViewOf(own, addresses, 5);
    if (view.IsReader(kStart)) {
      continue; // The first readers have all stopped reporting.
    }
    for (const std::string& address : addresses) {
      if (!ViewOf(address, addresses, 5).IsReader(kStart)) {
        view.Record(Report(address, 2), later);
      }
    }
    readers += view.IsReader(later) ? 1 : 0;
  }
  BOOST_TEST(readers == PeerSettings().mDirectoryReaders);
}

BOOST_AUTO_TEST_CASE(LoadsCountUntilTheNextReportsOfALargeFleet)
{
  std::vector<std::string> addresses;
  for (int i = 1; i <= 410; ++i) {
    addresses.push_back("10.0." + std::to_string(i / 200) + "." +
                        std::to_string(i % 200 + 1));
  }
  PeerView view(PeerSettings(), addresses[0], addresses, kDiscoveredStart);
  view.Record(Report(addresses[1], 1), kStart);
  const Timestamp beforeNext =
    kStart + view.Interval(kStart) + Milliseconds(500);
  BOOST_TEST(view.PeerLoads(beforeNext)[7].mRequests == 2U);
}

/** Guards against needless directory calls: readers that started together
 * call the directory at the same time, so their states reach the same age
 * together. The last report of each must stay fresh until its next one. */
BOOST_AUTO_TEST_CASE(SynchronizedReadersStayFreshBetweenTheirReports)
{
  constexpr int kEntries = 30;
  std::vector<std::string> addresses;
  for (int i = 1; i <= kEntries; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i));
  }
  for (const Milliseconds bound : { Milliseconds(2000), Milliseconds(3000) }) {
    const Milliseconds pause =
      FollowerSettingsFor(bound, Milliseconds(1200)).mPause;
    std::size_t relying = 0;
    for (const std::string& own : addresses) {
      PeerView view(PeerSettingsFor(bound), own, addresses, kDiscoveredStart);
      for (const std::string& address : addresses) {
        PeerReport report = Report(address, 1);
        report.mDirectoryDigest = 5;
        report.mDirectoryAge = pause;
        view.Record(report, kStart);
      }
      const Timestamp beforeNext = kStart + view.Interval(kStart);
      relying += view.CanSkipDirectoryCall(5, kPosition, beforeNext) ? 1 : 0;
    }
    BOOST_TEST(relying == kEntries - PeerSettings().mDirectoryReaders);
  }
}

BOOST_AUTO_TEST_CASE(OutOfOrderReportIsIgnored)
{
  PeerView view(PeerSettings(), "10.0.0.1", {}, kDiscoveredStart);
  view.Record(Report("10.0.0.2", 5), kStart);
  PeerReport old = Report("10.0.0.2", 4);
  old.mLoad.mServers[7] = { 9, 9 };
  view.Record(old, kStart);
  BOOST_TEST(view.PeerLoads(kStart)[7].mRequests == 2U);
}

BOOST_AUTO_TEST_CASE(RequestedNumberOfEntriesIsSelected)
{
  constexpr std::size_t kEntries = 30;
  constexpr std::size_t kSelected = 15;
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < kEntries; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i + 1));
  }
  std::size_t selected = 0;
  for (const std::string& own : addresses) {
    PeerView view(PeerSettings(), own, addresses, kDiscoveredStart);
    view.Record(Report(addresses[own == addresses[0] ? 1 : 0], 1), kStart);
    selected +=
      view.IsSelectedForServer(InstanceId("server"), kSelected, kStart) ? 1 : 0;
  }
  BOOST_TEST(selected == kSelected);
}

BOOST_AUTO_TEST_CASE(DiscoveryIsIncompleteSoonAfterTheStart)
{
  const PeerSettings settings;
  PeerView view(settings, "10.0.0.1", { "10.0.0.1", "10.0.0.2" }, kStart);
  view.Record(Report("10.0.0.2", 1), kStart);
  BOOST_TEST(view.EntryCount(kStart) == settings.mAssumedEntries);
  BOOST_TEST(view.EntryCount(kStart + settings.mDiscoveryTime) == 2U);
}

BOOST_AUTO_TEST_CASE(EntryWithoutPeersCountsOnlyItselfAfterDiscovery)
{
  const PeerSettings settings;
  const PeerView view(settings, "10.0.0.1", { "10.0.0.1" }, kStart);
  BOOST_TEST(view.EntryCount(kStart) == settings.mAssumedEntries);
  BOOST_TEST(view.EntryCount(kStart + settings.mDiscoveryTime) == 1U);
}

BOOST_AUTO_TEST_CASE(EntriesThatStartTogetherKeepTheLimitOfAServer)
{
  constexpr int kEntries = 30;
  constexpr std::size_t kLimit = 12;
  // The limit of 12 is derived from this bound of 14 entries.
  constexpr std::size_t kBound = 14;
  const std::vector<std::string> seeds{ "10.0.0.1", "10.0.0.2" };
  for (int server = 0; server < 300; ++server) {
    std::size_t selected = 0;
    for (int i = 1; i <= kEntries; ++i) {
      PeerView view(
        PeerSettings(), "10.0.0." + std::to_string(i), seeds, kStart);
      view.Record(Report(seeds[i == 1 ? 1 : 0], 1), kStart);
      const InstanceId id("server-" + std::to_string(server));
      selected += view.IsSelectedForServer(id, kLimit, kStart) ? 1 : 0;
    }
    BOOST_TEST(selected <= kBound);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
