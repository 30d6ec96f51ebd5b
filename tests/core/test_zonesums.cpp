#include "forwarding/peerview.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };
const Timestamp kDiscoveredStart{ Seconds(900) };
constexpr Milliseconds kRound{ 200 };
constexpr std::uint32_t kServer = 7;
constexpr std::size_t kZones = 5;
constexpr std::size_t kLargeFleetEntries = 100;

/** Entries of several zones that exchange reports without sockets. Each entry
 * has one request in progress at the same backend server. */
class Fleet
{
public:
  explicit Fleet(std::size_t aEntries, bool aAreAllKnown = true)
  {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < aEntries; ++i) {
      addresses.push_back("10.0.2." + std::to_string(i + 1));
    }
    const std::vector<std::string> seeds(addresses.begin(),
                                         addresses.begin() + 3);
    for (std::size_t i = 0; i < aEntries; ++i) {
      Add(addresses[i],
          aAreAllKnown ? addresses : seeds,
          aAreAllKnown ? kDiscoveredStart : kStart);
    }
  }

  void Add(const std::string& aAddress,
           const std::vector<std::string>& aSeeds,
           Timestamp aStartedAt)
  {
    const auto zone = static_cast<std::uint32_t>(1 + mViews.size() % kZones);
    mAddresses.push_back(aAddress);
    mViews.emplace_back(PeerSettings(), aAddress, aSeeds, aStartedAt, zone);
    mSequences.push_back(0);
  }

  /** Sends and delivers one round of reports of each running entry. */
  void RunRound()
  {
    mNow += kRound;
    for (std::size_t i = 0; i < mViews.size(); ++i) {
      if (mStopped.count(i) != 0) {
        continue;
      }
      PeerReport own;
      own.mAddress = mAddresses[i];
      own.mSequence = ++mSequences[i];
      own.mLoad.mServers[kServer] = { 1, 100 };
      own.mLoad.mPriorities[LoadGroup()] = { 1, 100 };
      own.mLoad.mPrefill[kServer] = { 100.0, 1.0 };
      own.mSent = { { kServer, static_cast<std::uint32_t>(i) } };
      for (const AddressedReport& addressed : mViews[i].Reports(own, mNow)) {
        mDatagrams += addressed.mTargets.size();
        Deliver(i, addressed);
      }
    }
  }

  void RunRounds(int aRounds)
  {
    for (int i = 0; i < aRounds; ++i) {
      RunRound();
    }
  }

  void Stop(std::size_t aEntry) { mStopped.insert(aEntry); }

  std::uint32_t ReportedLoad(std::size_t aEntry) const
  {
    ServerLoads loads = mViews[aEntry].PeerLoads(mNow);
    return loads[kServer].mRequests;
  }

  EntryLoad PeerLoad(std::size_t aEntry) const
  {
    return mViews[aEntry].TotalPeerLoad(mNow).mLoad;
  }

  std::size_t Count(std::size_t aEntry) const
  {
    return mViews[aEntry].EntryCount(mNow);
  }

  std::vector<std::size_t> ZoneAggregators() const
  {
    std::vector<std::size_t> aggregators;
    for (std::size_t i = 0; i < mViews.size(); ++i) {
      if (mStopped.count(i) == 0 && mViews[i].IsZoneAggregator(mNow)) {
        aggregators.push_back(i);
      }
    }
    return aggregators;
  }

  std::size_t TakeDatagrams() { return std::exchange(mDatagrams, 0); }

  /** @return Ids of the prompt parts that the first entry received. */
  const std::set<std::uint32_t>& PartsReceivedByFirst() const
  {
    return mPartsReceivedByFirst;
  }

  Timestamp Now() const { return mNow; }

private:
  void Deliver(std::size_t aSender, const AddressedReport& aReport)
  {
    for (std::size_t i = 0; i < mViews.size(); ++i) {
      const bool isTarget = std::find(aReport.mTargets.begin(),
                                      aReport.mTargets.end(),
                                      mAddresses[i]) != aReport.mTargets.end();
      if (!isTarget || i == aSender || mStopped.count(i) != 0) {
        continue;
      }
      mViews[i].Record(aReport.mReport, mNow);
      if (i == 0) {
        RecordParts(aReport.mReport.mSent);
      }
      if (i == 0 && aReport.mReport.mSum) {
        RecordParts(aReport.mReport.mSum->mSent);
      }
    }
  }

  void RecordParts(const std::vector<SentPart>& aParts)
  {
    for (const SentPart& part : aParts) {
      mPartsReceivedByFirst.insert(part.mPart);
    }
  }

  std::vector<std::string> mAddresses;
  std::vector<PeerView> mViews;
  std::vector<std::uint64_t> mSequences;
  std::set<std::size_t> mStopped;
  std::set<std::uint32_t> mPartsReceivedByFirst;
  Timestamp mNow = kStart;
  std::size_t mDatagrams = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(zonesums)

BOOST_AUTO_TEST_CASE(SmallFleetReportsToAll)
{
  constexpr std::size_t kEntries = 30;
  Fleet fleet(kEntries);
  fleet.RunRounds(3);
  fleet.TakeDatagrams();
  fleet.RunRound();
  BOOST_TEST(fleet.TakeDatagrams() == kEntries * (kEntries - 1));
  BOOST_TEST(fleet.ReportedLoad(0) == kEntries - 1);
}

BOOST_AUTO_TEST_CASE(LargeFleetSharesAllLoadsWithFewDatagrams)
{
  Fleet fleet(kLargeFleetEntries);
  fleet.RunRounds(40);
  for (std::size_t i = 0; i < kLargeFleetEntries; ++i) {
    BOOST_TEST(fleet.ReportedLoad(i) == kLargeFleetEntries - 1);
    const EntryLoad load = fleet.PeerLoad(i);
    BOOST_TEST(load.mPriorities.at(LoadGroup()).mRequests ==
               kLargeFleetEntries - 1);
    BOOST_TEST(load.mPrefill.at(kServer).mElapsedMs ==
               static_cast<double>(kLargeFleetEntries - 1));
    BOOST_TEST(fleet.Count(i) == kLargeFleetEntries);
  }
  BOOST_TEST(fleet.ZoneAggregators().size() == kZones);
  fleet.TakeDatagrams();
  fleet.RunRound();
  // Reports within the zones, and between the zone aggregators.
  constexpr std::size_t kPerZone = kLargeFleetEntries / kZones;
  BOOST_TEST(fleet.TakeDatagrams() <=
             kLargeFleetEntries * (kPerZone - 1) + kZones * (kZones - 1));
}

BOOST_AUTO_TEST_CASE(PartsAreForwardedToAllZones)
{
  Fleet fleet(kLargeFleetEntries);
  fleet.RunRounds(20);
  // The parts of all entries except its own.
  BOOST_TEST(fleet.PartsReceivedByFirst().size() >= kLargeFleetEntries - 1);
}

BOOST_AUTO_TEST_CASE(StoppedZoneAggregatorIsReplaced)
{
  Fleet fleet(kLargeFleetEntries);
  fleet.RunRounds(40);
  for (const std::size_t aggregator : fleet.ZoneAggregators()) {
    fleet.Stop(aggregator);
  }
  fleet.RunRounds(
    static_cast<int>(2 * PeerSettings().mDirectoryReaderTimeout / kRound));
  const std::vector<std::size_t> after = fleet.ZoneAggregators();
  BOOST_TEST(after.size() == kZones);
  for (const std::size_t aggregator : after) {
    BOOST_TEST(fleet.ReportedLoad(aggregator) ==
               kLargeFleetEntries - kZones - 1);
  }
}

/** Guards against new entries that stay undiscovered: the new entry only knows
 * three seeds of other zones, and no entry knows it. */
BOOST_AUTO_TEST_CASE(NewEntryOfALargeFleetIsDiscoveredAndDiscoversAll)
{
  Fleet fleet(kLargeFleetEntries);
  fleet.RunRounds(40);
  fleet.Add("10.0.3.9", { "10.0.2.2", "10.0.2.3", "10.0.2.4" }, fleet.Now());
  fleet.RunRounds(40);
  BOOST_TEST(fleet.ReportedLoad(kLargeFleetEntries) == kLargeFleetEntries);
  BOOST_TEST(fleet.Count(kLargeFleetEntries) >= kLargeFleetEntries + 1);
  BOOST_TEST(fleet.ReportedLoad(0) == kLargeFleetEntries);
  BOOST_TEST(fleet.ReportedLoad(3) == kLargeFleetEntries);
}

BOOST_AUTO_TEST_CASE(EntriesThatStartWithSeedsOnlyDiscoverAll)
{
  Fleet fleet(kLargeFleetEntries, false);
  fleet.RunRounds(60);
  for (std::size_t i = 0; i < kLargeFleetEntries; ++i) {
    BOOST_TEST(fleet.Count(i) == kLargeFleetEntries);
    BOOST_TEST(fleet.ReportedLoad(i) == kLargeFleetEntries - 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
