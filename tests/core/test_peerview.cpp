#include "forwarding/peerview.h"

#include "forwarding/directoryfollower.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };

/** Start of entries that have heard of all others since. */
const Timestamp kLongBefore{ Seconds(900) };

/** Up to which all entries know the directory. */
constexpr std::uint64_t kRevision = 40;

PeerReport
Report(const std::string& aAddress, std::uint64_t aSequence)
{
  PeerReport report;
  report.mAddress = aAddress;
  report.mSequence = aSequence;
  report.mLoads[7] = { 2, 300 };
  report.mDirectoryRevision = kRevision;
  return report;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peerview)

BOOST_AUTO_TEST_CASE(ManyEntriesAreAssumedUntilOneIsHeard)
{
  const PeerSettings settings;
  PeerView view(settings, "10.0.0.1", { "10.0.0.1", "10.0.0.2" }, kLongBefore);
  BOOST_TEST(view.EntryCount(kStart) == settings.mAssumedEntries);
  view.Record(Report("10.0.0.2", 1), kStart);
  BOOST_TEST(view.EntryCount(kStart) == 2U);
}

BOOST_AUTO_TEST_CASE(EntriesKnownToOthersAreCountedAndTold)
{
  PeerView view(PeerSettings(), "10.0.0.1", { "10.0.0.2" }, kLongBefore);
  PeerReport report = Report("10.0.0.2", 1);
  report.mKnown = { "10.0.0.1", "10.0.0.3" };
  view.Record(report, kStart);
  BOOST_TEST(view.EntryCount(kStart) == 3U);
  BOOST_TEST(view.Targets(kStart).size() == 2U);
}

BOOST_AUTO_TEST_CASE(LoadOfASilentPeerIsForgottenBeforeItsShareOfLimits)
{
  const PeerSettings settings;
  PeerView view(settings, "10.0.0.1", {}, kLongBefore);
  view.Record(Report("10.0.0.2", 1), kStart);
  BOOST_TEST(view.OtherLoads(kStart)[7].mUnreadTokens == 300U);
  const Timestamp later = kStart + settings.mLoadLife + Milliseconds(1);
  BOOST_TEST(view.OtherLoads(later).empty());
  BOOST_TEST(view.EntryCount(later) == 2U);
  BOOST_TEST(view.EntryCount(kStart + settings.mPeerLife) == 1U);
}

/** All entries report the same digest; what they know is 200 ms old. */
PeerView
ViewOf(const std::string& aOwn,
       const std::vector<std::string>& aAddresses,
       std::uint64_t aDigest)
{
  PeerView view(PeerSettings(), aOwn, aAddresses, kLongBefore);
  for (const std::string& address : aAddresses) {
    PeerReport report = Report(address, 1);
    report.mDirectoryDigest = aDigest;
    report.mDirectoryAge = Milliseconds(200);
    view.Record(report, kStart);
  }
  return view;
}

BOOST_AUTO_TEST_CASE(ReadersAreReliedOnOnlyWhileTheyAreFreshAndAgree)
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
    PeerView view(settings, own, addresses, kLongBefore);
    BOOST_TEST(!view.MayRelyOnOthers(5, kRevision, kStart));
    view = ViewOf(own, addresses, 5);
    if (readers.count(own) != 0) {
      BOOST_TEST(!view.MayRelyOnOthers(5, kRevision, kStart));
      continue;
    }
    BOOST_TEST(view.MayRelyOnOthers(5, kRevision, kStart));
    BOOST_TEST(!view.MayRelyOnOthers(6, kRevision, kStart));
    BOOST_TEST(
      !view.MayRelyOnOthers(5, kRevision, kStart + settings.mFreshDirectory));
    PeerReport other = Report(*readers.begin(), 2);
    other.mDirectoryDigest = 7;
    view.Record(other, kStart);
    // A reader that is behind knows nothing to ask for.
    BOOST_TEST(view.MayRelyOnOthers(5, kRevision, kStart));
    BOOST_TEST(!view.MayRelyOnOthers(5, kRevision - 1, kStart));
    other.mSequence = 3;
    other.mDirectoryAge = settings.mFreshDirectory + Milliseconds(1);
    view.Record(other, kStart);
    BOOST_TEST(view.MayRelyOnOthers(5, kRevision - 1, kStart));
  }
}

/** Entries that learn of a change one after the other don't make each other
 * call the directory: only its readers count. */
BOOST_AUTO_TEST_CASE(EntryThatIsNoReaderDoesNotMakeOthersCall)
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
  BOOST_TEST(view.MayRelyOnOthers(5, kRevision, kStart));
}

BOOST_AUTO_TEST_CASE(SilentReaderIsReplaced)
{
  std::vector<std::string> addresses;
  for (int i = 1; i <= 30; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i));
  }
  std::size_t readers = 0;
  const Timestamp later = kStart + PeerSettings().mReaderLife;
  for (const std::string& own : addresses) {
    PeerView view = ViewOf(own, addresses, 5);
    if (view.IsReader(kStart)) {
      continue; // All readers of the start have ended.
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
  PeerView view(PeerSettings(), addresses[0], addresses, kLongBefore);
  view.Record(Report(addresses[1], 1), kStart);
  const Timestamp beforeNext =
    kStart + view.Interval(kStart) + Milliseconds(500);
  BOOST_TEST(view.OtherLoads(beforeNext)[7].mRequests == 2U);
}

/** Readers that started together are all as old, so the last report of each
 * must stay fresh until its next one. */
BOOST_AUTO_TEST_CASE(ReadersThatCallTogetherAreReliedOnBetweenTheirReports)
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
      PeerView view(PeerSettingsFor(bound), own, addresses, kLongBefore);
      for (const std::string& address : addresses) {
        PeerReport report = Report(address, 1);
        report.mDirectoryDigest = 5;
        report.mDirectoryAge = pause;
        view.Record(report, kStart);
      }
      const Timestamp beforeNext = kStart + view.Interval(kStart);
      relying += view.MayRelyOnOthers(5, kRevision, beforeNext) ? 1 : 0;
    }
    BOOST_TEST(relying == kEntries - PeerSettings().mDirectoryReaders);
  }
}

BOOST_AUTO_TEST_CASE(OvertakenReportIsIgnored)
{
  PeerView view(PeerSettings(), "10.0.0.1", {}, kLongBefore);
  view.Record(Report("10.0.0.2", 5), kStart);
  PeerReport old = Report("10.0.0.2", 4);
  old.mLoads[7] = { 9, 9 };
  view.Record(old, kStart);
  BOOST_TEST(view.OtherLoads(kStart)[7].mRequests == 2U);
}

BOOST_AUTO_TEST_CASE(AsManyEntriesAsAskedAreAmongTheFirst)
{
  constexpr std::size_t kEntries = 30;
  constexpr std::size_t kFirst = 15;
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < kEntries; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i + 1));
  }
  std::size_t among = 0;
  for (const std::string& own : addresses) {
    PeerView view(PeerSettings(), own, addresses, kLongBefore);
    view.Record(Report(addresses[own == addresses[0] ? 1 : 0], 1), kStart);
    among += view.IsAmongFirst(InstanceId("server"), kFirst, kStart) ? 1 : 0;
  }
  BOOST_TEST(among == kFirst);
}

BOOST_AUTO_TEST_CASE(SomeHeardSoonAfterTheStartAreNotTakenForAll)
{
  const PeerSettings settings;
  PeerView view(settings, "10.0.0.1", { "10.0.0.1", "10.0.0.2" }, kStart);
  view.Record(Report("10.0.0.2", 1), kStart);
  BOOST_TEST(view.EntryCount(kStart) == settings.mAssumedEntries);
  BOOST_TEST(view.EntryCount(kStart + settings.mLearnTime) == 2U);
}

BOOST_AUTO_TEST_CASE(EntryWithoutOthersIsNoneOfMany)
{
  const PeerSettings settings;
  const PeerView view(settings, "10.0.0.1", { "10.0.0.1" }, kStart);
  BOOST_TEST(view.EntryCount(kStart) == settings.mAssumedEntries);
  BOOST_TEST(view.EntryCount(kStart + settings.mLearnTime) == 1U);
}

BOOST_AUTO_TEST_CASE(EntriesThatStartTogetherKeepTheLimitOfAServer)
{
  constexpr int kEntries = 30;
  constexpr std::size_t kLimit = 12;
  // 14 are what the limit was taken from.
  constexpr std::size_t kBound = 14;
  const std::vector<std::string> seeds{ "10.0.0.1", "10.0.0.2" };
  for (int server = 0; server < 300; ++server) {
    std::size_t among = 0;
    for (int i = 1; i <= kEntries; ++i) {
      PeerView view(
        PeerSettings(), "10.0.0." + std::to_string(i), seeds, kStart);
      view.Record(Report(seeds[i == 1 ? 1 : 0], 1), kStart);
      const InstanceId id("server-" + std::to_string(server));
      among += view.IsAmongFirst(id, kLimit, kStart) ? 1 : 0;
    }
    BOOST_TEST(among <= kBound);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
