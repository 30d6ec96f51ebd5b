#include "forwarding/peerview.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };
const Timestamp kLongBefore{ Seconds(900) };
constexpr Milliseconds kRound{ 200 };
constexpr std::uint32_t kServer = 7;
constexpr std::size_t kZones = 5;
constexpr std::size_t kLarge = 100;

/** Entries of several zones that report to each other without sockets; all of
 * them have one request in progress at the same server. */
class Fleet
{
public:
  explicit Fleet(std::size_t aEntries, bool aKnowsAll = true)
  {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < aEntries; ++i) {
      addresses.push_back("10.0.2." + std::to_string(i + 1));
    }
    const std::vector<std::string> seeds(addresses.begin(),
                                         addresses.begin() + 3);
    for (std::size_t i = 0; i < aEntries; ++i) {
      Add(addresses[i],
          aKnowsAll ? addresses : seeds,
          aKnowsAll ? kLongBefore : kStart);
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

  /** Lets each entry that is up send one round of reports. */
  void PlayRound()
  {
    mNow += kRound;
    for (std::size_t i = 0; i < mViews.size(); ++i) {
      if (mEnded.count(i) != 0) {
        continue;
      }
      PeerReport own;
      own.mAddress = mAddresses[i];
      own.mSequence = ++mSequences[i];
      own.mLoads[kServer] = { 1, 100 };
      own.mSent = { { kServer, static_cast<std::uint32_t>(i) } };
      for (const AddressedReport& addressed : mViews[i].Reports(own, mNow)) {
        mDatagrams += addressed.mTargets.size();
        Deliver(i, addressed);
      }
    }
  }

  void PlayRounds(int aRounds)
  {
    for (int i = 0; i < aRounds; ++i) {
      PlayRound();
    }
  }

  void End(std::size_t aEntry) { mEnded.insert(aEntry); }

  std::uint32_t SeenLoad(std::size_t aEntry) const
  {
    ServerLoads loads = mViews[aEntry].OtherLoads(mNow);
    return loads[kServer].mRequests;
  }

  std::size_t Count(std::size_t aEntry) const
  {
    return mViews[aEntry].EntryCount(mNow);
  }

  std::vector<std::size_t> Speakers() const
  {
    std::vector<std::size_t> speakers;
    for (std::size_t i = 0; i < mViews.size(); ++i) {
      if (mEnded.count(i) == 0 && mViews[i].IsSpeaker(mNow)) {
        speakers.push_back(i);
      }
    }
    return speakers;
  }

  std::size_t TakeDatagrams() { return std::exchange(mDatagrams, 0); }

  /** @return Entries whose parts the first entry was told of. */
  const std::set<std::uint32_t>& PartsSeenByFirst() const
  {
    return mPartsSeenByFirst;
  }

  Timestamp Now() const { return mNow; }

private:
  void Deliver(std::size_t aSender, const AddressedReport& aReport)
  {
    for (std::size_t i = 0; i < mViews.size(); ++i) {
      const bool isTarget = std::find(aReport.mTargets.begin(),
                                      aReport.mTargets.end(),
                                      mAddresses[i]) != aReport.mTargets.end();
      if (!isTarget || i == aSender || mEnded.count(i) != 0) {
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
      mPartsSeenByFirst.insert(part.mPart);
    }
  }

  std::vector<std::string> mAddresses;
  std::vector<PeerView> mViews;
  std::vector<std::uint64_t> mSequences;
  std::set<std::size_t> mEnded;
  std::set<std::uint32_t> mPartsSeenByFirst;
  Timestamp mNow = kStart;
  std::size_t mDatagrams = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(zonesums)

BOOST_AUTO_TEST_CASE(SmallFleetReportsToAll)
{
  constexpr std::size_t kEntries = 30;
  Fleet fleet(kEntries);
  fleet.PlayRounds(3);
  fleet.TakeDatagrams();
  fleet.PlayRound();
  BOOST_TEST(fleet.TakeDatagrams() == kEntries * (kEntries - 1));
  BOOST_TEST(fleet.SeenLoad(0) == kEntries - 1);
}

BOOST_AUTO_TEST_CASE(LargeFleetKnowsTheSameWithFewDatagrams)
{
  Fleet fleet(kLarge);
  fleet.PlayRounds(40);
  for (std::size_t i = 0; i < kLarge; ++i) {
    BOOST_TEST(fleet.SeenLoad(i) == kLarge - 1);
    BOOST_TEST(fleet.Count(i) == kLarge);
  }
  BOOST_TEST(fleet.Speakers().size() == kZones);
  fleet.TakeDatagrams();
  fleet.PlayRound();
  // Within the zones, and between their speakers.
  constexpr std::size_t kPerZone = kLarge / kZones;
  BOOST_TEST(fleet.TakeDatagrams() <=
             kLarge * (kPerZone - 1) + kZones * (kZones - 1));
}

BOOST_AUTO_TEST_CASE(PartsAreToldToAllZones)
{
  Fleet fleet(kLarge);
  fleet.PlayRounds(20);
  // All but its own.
  BOOST_TEST(fleet.PartsSeenByFirst().size() >= kLarge - 1);
}

BOOST_AUTO_TEST_CASE(EndedSpeakerIsReplaced)
{
  Fleet fleet(kLarge);
  fleet.PlayRounds(40);
  for (const std::size_t speaker : fleet.Speakers()) {
    fleet.End(speaker);
  }
  fleet.PlayRounds(static_cast<int>(2 * PeerSettings().mReaderLife / kRound));
  const std::vector<std::size_t> after = fleet.Speakers();
  BOOST_TEST(after.size() == kZones);
  for (const std::size_t speaker : after) {
    BOOST_TEST(fleet.SeenLoad(speaker) == kLarge - kZones - 1);
  }
}

/** A new entry knows three seeds of other zones and nobody knows it. */
BOOST_AUTO_TEST_CASE(NewEntryOfALargeFleetIsKnownAndKnowsAll)
{
  Fleet fleet(kLarge);
  fleet.PlayRounds(40);
  fleet.Add("10.0.3.9", { "10.0.2.2", "10.0.2.3", "10.0.2.4" }, fleet.Now());
  fleet.PlayRounds(40);
  BOOST_TEST(fleet.SeenLoad(kLarge) == kLarge);
  BOOST_TEST(fleet.Count(kLarge) >= kLarge + 1);
  BOOST_TEST(fleet.SeenLoad(0) == kLarge);
  BOOST_TEST(fleet.SeenLoad(3) == kLarge);
}

BOOST_AUTO_TEST_CASE(EntriesThatStartWithSeedsOnlyFindAll)
{
  Fleet fleet(kLarge, false);
  fleet.PlayRounds(60);
  for (std::size_t i = 0; i < kLarge; ++i) {
    BOOST_TEST(fleet.Count(i) == kLarge);
    BOOST_TEST(fleet.SeenLoad(i) == kLarge - 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
