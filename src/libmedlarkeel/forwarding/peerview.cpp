#include "peerview.h"

#include "../rendezvous.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

namespace medlarkeel {

namespace {

/** Rendezvous hash key that selects the directory readers. All entries must use
 * the same text. */
constexpr const char* kReaderKey = "directory";

/** Rendezvous hash key that selects the aggregator of each zone. All entries
 * must use the same text. */
constexpr const char* kZoneAggregatorKey = "speaker";

/** Rounds in a cycle that searches for the aggregator of another zone. All but
 * the last one try the entries that rank first; the last one tries any other.
 */
constexpr std::uint64_t kRoundsPerSearchCycle = 4;

/** Reports list the known entries once in this number of rounds. */
constexpr std::uint64_t kRoundsPerMemberList = 8;

/** Maximum number of prompt parts that are queued for forwarding. The oldest
 * ones are dropped. */
constexpr std::size_t kMaximumQueuedParts = 1000;

Milliseconds
AgeOf(Timestamp aHeardAt, Timestamp aNow)
{
  return std::chrono::duration_cast<Milliseconds>(aNow - aHeardAt);
}

/** Adds one sum to another, without the prompt parts. */
void
AddSum(const LoadSum& aSum, LoadSum& aTotal)
{
  aTotal.mAge = std::max(aTotal.mAge, aSum.mAge);
  aTotal.mLoad += aSum.mLoad;
  aTotal.mReports += aSum.mReports;
}

} // namespace

std::uint32_t
ServerHash(const InstanceId& aId)
{
  return static_cast<std::uint32_t>(HashText(aId.Text()));
}

std::uint32_t
ZoneHash(const ZoneName& aZone)
{
  return static_cast<std::uint32_t>(HashText(aZone.Text())) | 1U;
}

PeerSettings
PeerSettingsFor(Milliseconds aChangeBound)
{
  /** Fraction of the bound during which a reader's state is fresh. It is longer
   * than the reader's pause plus the report interval, and short enough that
   * this entry can still call the directory itself within the bound. */
  constexpr double kFreshFraction = 0.6;
  PeerSettings settings;
  settings.mMaximumDirectoryAge = Milliseconds(static_cast<std::int64_t>(
    kFreshFraction * static_cast<double>(aChangeBound.count())));
  return settings;
}

PeerView::PeerView(const PeerSettings& aSettings,
                   std::string aOwn,
                   std::vector<std::string> aSeeds,
                   Timestamp aStartedAt,
                   std::uint32_t aZone,
                   std::uint32_t aLinkMbps)
  : mSettings(aSettings)
  , mOwn(std::move(aOwn))
  , mSeeds(std::move(aSeeds))
  , mStartedAt(aStartedAt)
  , mZone(aZone)
  , mLinkMbps(aLinkMbps)
{
}

bool
PeerView::Record(const PeerReport& aReport, Timestamp aNow)
{
  if (aReport.mAddress == mOwn) {
    return false;
  }
  Peer& peer = mPeers[aReport.mAddress];
  if (aReport.mSequence <= peer.mSequence) {
    return false;
  }
  peer.mHeardAt = aNow;
  peer.mSequence = aReport.mSequence;
  peer.mLoad = aReport.mLoad;
  peer.mZone = aReport.mZone;
  peer.mLinkMbps = aReport.mLinkMbps;
  if (aReport.mSum) {
    peer.mSum = aReport.mSum;
    peer.mSumAt = aNow;
  }
  QueueParts(aReport);
  peer.mDirectoryDigest = aReport.mDirectoryDigest;
  peer.mDirectoryPosition = aReport.mDirectoryPosition;
  peer.mHasLostDirectoryContact = aReport.mHasLostDirectoryContact;
  peer.mDirectoryHeardAt = aNow - aReport.mDirectoryAge;
  for (const std::string& known : aReport.mKnownAddresses) {
    if (known != mOwn && mPeers.count(known) == 0) {
      // Counts as an entry from now on; it sends reports itself once it knows
      // of this entry.
      mPeers[known].mHeardAt = aNow;
    }
  }
  for (const ZoneMember& member : aReport.mMembers) {
    // The sender received reports from the member, or from an entry that did.
    // About this entry's own zone, only members that aren't known yet matter.
    const bool isRelevant =
      member.mZone != mZone || mPeers.count(member.mAddress) == 0;
    if (member.mAddress != mOwn && isRelevant) {
      Peer& known = mPeers[member.mAddress];
      known.mHeardAt = std::max(known.mHeardAt, aNow - member.mAge);
      known.mZone = member.mZone;
    }
  }
  if (aReport.mIsBroadcast && aReport.mZone != mZone) {
    mNewEntries.insert(aReport.mAddress);
  }
  return true;
}

void
PeerView::QueueParts(const PeerReport& aReport)
{
  const bool isOwnZone = aReport.mZone == mZone;
  std::vector<SentPart>& queue = isOwnZone ? mOwnZoneParts : mOtherZoneParts;
  if (isOwnZone) {
    queue.insert(queue.end(), aReport.mSent.begin(), aReport.mSent.end());
  } else if (aReport.mSum) {
    queue.insert(
      queue.end(), aReport.mSum->mSent.begin(), aReport.mSum->mSent.end());
  }
  if (queue.size() > kMaximumQueuedParts) {
    queue.erase(queue.begin(), queue.end() - kMaximumQueuedParts);
  }
}

std::vector<std::string>
PeerView::Targets(Timestamp aNow) const
{
  std::set<std::string> targets(mSeeds.begin(), mSeeds.end());
  for (const auto& [address, peer] : mPeers) {
    if (aNow - peer.mHeardAt < mSettings.mPeerTimeout) {
      targets.insert(address);
    }
  }
  targets.erase(mOwn);
  return { targets.begin(), targets.end() };
}

std::vector<std::string>
PeerView::DeltaTargets(Timestamp aNow) const
{
  return IsMesh(aNow) ? Targets(aNow) : ZoneMembers(aNow);
}

Milliseconds
PeerView::Interval(Timestamp aNow) const
{
  const std::size_t partners =
    IsMesh(aNow) ? Targets(aNow).size() : ZoneMembers(aNow).size();
  const auto entries = static_cast<std::int64_t>(partners + 1);
  return std::max(mSettings.mMinimumInterval,
                  mSettings.mMinimumIntervalPerEntry * entries);
}

std::size_t
PeerView::EntryCount(Timestamp aNow) const
{
  const std::size_t known = Targets(aNow).size() + 1;
  return known + UndiscoveredCount(known, aNow);
}

std::size_t
PeerView::UndiscoveredCount(std::size_t aKnown, Timestamp aNow) const
{
  const bool hasReport =
    std::any_of(mPeers.begin(), mPeers.end(), [](const auto& aPeer) {
      return aPeer.second.mSequence != 0;
    });
  const bool isAlone = aKnown == 1;
  const bool isComplete =
    (hasReport || isAlone) && aNow - mStartedAt >= mSettings.mDiscoveryTime;
  return isComplete || aKnown > mSettings.mAssumedEntries
           ? 0
           : mSettings.mAssumedEntries - aKnown;
}

std::size_t
PeerView::CountRankedBefore(std::uint64_t aKey,
                            const std::vector<std::string>& aTargets) const
{
  const std::uint64_t own = RendezvousScore(aKey, HashText(mOwn));
  return static_cast<std::size_t>(std::count_if(
    aTargets.begin(), aTargets.end(), [&](const std::string& aTarget) {
      return RendezvousScore(aKey, HashText(aTarget)) > own;
    }));
}

bool
PeerView::IsSelectedForServer(const InstanceId& aServer,
                              std::size_t aCount,
                              Timestamp aNow) const
{
  /** Number of entries that each undiscovered entry counts for. With 2, the
   * expected number of entries that consider themselves selected is half of
   * the limit, which keeps the actual number below the limit although it is
   * random. */
  constexpr double kUndiscoveredWeight = 2.0;
  constexpr auto kMaximumScore =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const std::uint64_t key = HashText(aServer.Text());
  const std::vector<std::string> targets = Targets(aNow);
  const auto unknown =
    static_cast<double>(UndiscoveredCount(targets.size() + 1, aNow));
  const double shareBefore =
    1.0 -
    static_cast<double>(RendezvousScore(key, HashText(mOwn))) / kMaximumScore;
  const double before = static_cast<double>(CountRankedBefore(key, targets)) +
                        kUndiscoveredWeight * unknown * shareBefore;
  return before < static_cast<double>(aCount);
}

bool
PeerView::IsDiscovering(Timestamp aNow) const
{
  return UndiscoveredCount(Targets(aNow).size() + 1, aNow) > 0;
}

bool
PeerView::IsRunning(const Peer& aPeer, Timestamp aNow) const
{
  const bool reportsToThis =
    aPeer.mSequence != 0 && (IsMesh(aNow) || aPeer.mZone == mZone);
  const Microseconds timeout = reportsToThis
                                 ? LoadTimeout(aNow)
                                 : Microseconds(mSettings.mZoneMemberTimeout);
  return aNow - aPeer.mHeardAt < timeout;
}

std::size_t
PeerView::RunningCount(Timestamp aNow) const
{
  const auto running =
    std::count_if(mPeers.begin(), mPeers.end(), [&](const auto& aPeer) {
      return IsRunning(aPeer.second, aNow);
    });
  return 1 + static_cast<std::size_t>(running);
}

std::vector<std::string>
PeerView::RankedIssuers(ProcessHash aProcess, Timestamp aNow) const
{
  std::vector<std::pair<std::uint64_t, std::string>> order;
  order.emplace_back(RendezvousScore(aProcess, HashText(mOwn)), mOwn);
  for (const auto& [address, peer] : mPeers) {
    if (IsRunning(peer, aNow)) {
      order.emplace_back(RendezvousScore(aProcess, HashText(address)), address);
    }
  }
  std::sort(order.rbegin(), order.rend());
  std::vector<std::string> ranked;
  ranked.reserve(order.size());
  for (auto& [score, address] : order) {
    ranked.push_back(std::move(address));
  }
  return ranked;
}

double
PeerView::IssuableShare(ProcessHash aProcess,
                        std::size_t aRequesters,
                        Timestamp aNow) const
{
  const std::uint64_t own = RendezvousScore(aProcess, HashText(mOwn));
  const bool isFirst =
    std::none_of(mPeers.begin(), mPeers.end(), [&](const auto& aPeer) {
      const auto& [address, peer] = aPeer;
      return aNow - peer.mHeardAt < mSettings.mPeerTimeout &&
             RendezvousScore(aProcess, HashText(address)) > own;
    });
  const std::size_t reliant = isFirst ? RunningCount(aNow) : aRequesters;
  const auto known = static_cast<double>(EntryCount(aNow));
  return std::min(1.0, static_cast<double>(reliant) / known);
}

std::vector<std::string>
PeerView::ReaderCandidates(Timestamp aNow) const
{
  std::vector<std::string> peers = LivePeers(aNow);
  peers.erase(std::remove_if(peers.begin(),
                             peers.end(),
                             [this](const std::string& aPeer) {
                               return mPeers.at(aPeer).mHasLostDirectoryContact;
                             }),
              peers.end());
  return peers;
}

std::size_t
PeerView::ReaderCount(Timestamp aNow) const
{
  return IsMesh(aNow) ? mSettings.mDirectoryReaders
                      : mSettings.mDirectoryReadersPerZone;
}

PeerView::ReaderRank
PeerView::ReaderRankOf(const std::string& aAddress, std::uint32_t aLinkMbps)
{
  return { aLinkMbps,
           RendezvousScore(HashText(kReaderKey), HashText(aAddress)) };
}

std::set<std::string>
PeerView::PeerReaders(Timestamp aNow) const
{
  std::vector<std::pair<ReaderRank, std::string>> order;
  for (const std::string& peer : ReaderCandidates(aNow)) {
    order.emplace_back(ReaderRankOf(peer, mPeers.at(peer).mLinkMbps), peer);
  }
  std::sort(order.rbegin(), order.rend());
  std::set<std::string> readers;
  for (const auto& [rank, address] : order) {
    if (readers.size() < ReaderCount(aNow)) {
      readers.insert(address);
    }
  }
  return readers;
}

bool
PeerView::IsReader(Timestamp aNow) const
{
  const std::vector<std::string> others = ReaderCandidates(aNow);
  if (mHasLostDirectoryContact && !others.empty()) {
    return false;
  }
  const ReaderRank own = ReaderRankOf(mOwn, mLinkMbps);
  const auto before =
    std::count_if(others.begin(), others.end(), [&](const std::string& aOther) {
      return ReaderRankOf(aOther, mPeers.at(aOther).mLinkMbps) > own;
    });
  return static_cast<std::size_t>(before) < ReaderCount(aNow);
}

std::vector<std::string>
PeerView::LivePeers(Timestamp aNow) const
{
  const bool isMesh = IsMesh(aNow);
  // Reports within a zone are frequent, so the shorter timeout is enough.
  const Microseconds maximumAge =
    isMesh ? mSettings.mDirectoryReaderTimeout : mSettings.mLoadTimeout;
  std::vector<std::string> live;
  for (const auto& [address, peer] : mPeers) {
    const bool counts = isMesh || peer.mZone == mZone;
    if (counts && peer.mSequence != 0 && aNow - peer.mHeardAt < maximumAge) {
      live.push_back(address);
    }
  }
  return live;
}

Microseconds
PeerView::LoadTimeout(Timestamp aNow) const
{
  constexpr int kIntervals = 3;
  return std::max(mSettings.mLoadTimeout, Interval(aNow) * kIntervals);
}

bool
PeerView::CanSkipDirectoryCall(std::uint64_t aDigest,
                               const DirectoryPosition& aPosition,
                               Timestamp aNow) const
{
  if (IsReader(aNow)) {
    return false;
  }
  const std::set<std::string> readers = PeerReaders(aNow);
  bool isConfirmed = false;
  for (const auto& [address, peer] : mPeers) {
    if (readers.count(address) == 0 ||
        aNow - peer.mDirectoryHeardAt > mSettings.mMaximumDirectoryAge) {
      continue;
    }
    const bool isSame = peer.mDirectoryDigest == aDigest;
    const DirectoryPosition& known = peer.mDirectoryPosition;
    if (!isSame && (known.IsAfter(aPosition) || aPosition.mEra < known.mEra)) {
      return false;
    }
    isConfirmed = isConfirmed || isSame;
  }
  return isConfirmed;
}

PromptDemand
PeerView::PeerDemand(Timestamp aNow) const
{
  return TotalPeerLoad(aNow).mLoad.mDemand;
}

ServerLoads
PeerView::PeerLoads(Timestamp aNow) const
{
  return TotalPeerLoad(aNow).mLoad.mServers;
}

LoadSum
PeerView::TotalPeerLoad(Timestamp aNow) const
{
  // An entry that has just started receives load sums of the other zones while
  // it still reports to all entries.
  const Microseconds maximumAge = LoadTimeout(aNow);
  const bool hasZoneAggregatorSum =
    std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aPeer) {
      return aPeer.second.mZone == mZone && aPeer.second.mSum &&
             aNow - aPeer.second.mSumAt <= maximumAge;
    });
  const bool isMesh = IsMesh(aNow) && !hasZoneAggregatorSum;
  LoadSum sum = SumOfPeers(aNow, !isMesh);
  if (!isMesh) {
    AddSum(SumOfZones(aNow), sum);
  }
  return sum;
}

LoadSum
PeerView::SumOfPeers(Timestamp aNow, bool aOwnZoneOnly) const
{
  LoadSum sum;
  const Microseconds maximumAge = LoadTimeout(aNow);
  for (const auto& [address, peer] : mPeers) {
    const bool counts = !aOwnZoneOnly || peer.mZone == mZone;
    if (counts && aNow - peer.mHeardAt <= maximumAge) {
      AddSum({ AgeOf(peer.mHeardAt, aNow), peer.mLoad, {}, 1 }, sum);
    }
  }
  return sum;
}

LoadSum
PeerView::SumOfZones(Timestamp aNow) const
{
  const Microseconds maximumAge = LoadTimeout(aNow);
  std::map<std::uint32_t, LoadSum> byZone;
  for (const auto& [address, peer] : mPeers) {
    if (!peer.mSum || aNow - peer.mSumAt > maximumAge) {
      continue;
    }
    LoadSum sum = *peer.mSum;
    sum.mAge += AgeOf(peer.mSumAt, aNow);
    sum.mReports = 1;
    // A sum from the aggregator of this entry's own zone covers all other
    // zones.
    const std::uint32_t zone = peer.mZone;
    const auto known = byZone.find(zone);
    if (known == byZone.end() || sum.mAge < known->second.mAge) {
      byZone[zone] = std::move(sum);
    }
  }
  const auto ownZoneSum = byZone.find(mZone);
  if (ownZoneSum != byZone.end() && !IsZoneAggregator(aNow)) {
    return ownZoneSum->second;
  }
  LoadSum total;
  for (const auto& [zone, sum] : byZone) {
    if (zone != mZone) {
      AddSum(sum, total);
    }
  }
  return total;
}

std::size_t
PeerView::KnownPeerCount(Timestamp aNow) const
{
  const auto isKnown = [&](const Peer& aPeer) {
    return aNow - aPeer.mHeardAt < mSettings.mPeerTimeout;
  };
  const auto peers =
    std::count_if(mPeers.begin(), mPeers.end(), [&](const auto& aPeer) {
      return isKnown(aPeer.second);
    });
  const auto seeds =
    std::count_if(mSeeds.begin(), mSeeds.end(), [&](const std::string& aSeed) {
      const auto found = mPeers.find(aSeed);
      return aSeed != mOwn &&
             (found == mPeers.end() || !isKnown(found->second));
    });
  return static_cast<std::size_t>(peers + seeds);
}

bool
PeerView::IsMesh(Timestamp aNow) const
{
  return mZone == 0 || aNow - mStartedAt < mSettings.mDiscoveryTime ||
         KnownPeerCount(aNow) < mSettings.mMaximumMeshEntries;
}

std::vector<std::string>
PeerView::ZoneMembers(Timestamp aNow) const
{
  std::vector<std::string> members;
  for (const auto& [address, peer] : mPeers) {
    // The zone of an entry that was only listed by a peer isn't known (0).
    const bool isMember = peer.mZone == mZone || peer.mZone == 0;
    if (isMember && aNow - peer.mHeardAt < mSettings.mZoneMemberTimeout) {
      members.push_back(address);
    }
  }
  for (const std::string& seed : mSeeds) {
    if (seed != mOwn && mPeers.count(seed) == 0) {
      members.push_back(seed);
    }
  }
  return members;
}

bool
PeerView::IsZoneAggregator(Timestamp aNow) const
{
  return CountRankedBefore(HashText(kZoneAggregatorKey), LivePeers(aNow)) == 0;
}

std::vector<std::string>
PeerView::OtherZoneAggregators(Timestamp aNow) const
{
  struct Candidate
  {
    bool mHasSentSum = false;
    std::uint64_t mScore = 0;
    std::string mAddress;
  };
  std::map<std::uint32_t, std::vector<Candidate>> byZone;
  for (const auto& [address, peer] : mPeers) {
    if (peer.mZone != 0 && peer.mZone != mZone &&
        aNow - peer.mHeardAt < mSettings.mPeerTimeout) {
      const bool hasSentSum =
        peer.mSum && aNow - peer.mSumAt < mSettings.mZoneAggregatorTimeout;
      byZone[peer.mZone].push_back(
        { hasSentSum,
          RendezvousScore(HashText(kZoneAggregatorKey), HashText(address)),
          address });
    }
  }
  std::vector<std::string> aggregators;
  for (auto& [zone, candidates] : byZone) {
    std::sort(candidates.begin(),
              candidates.end(),
              [](const Candidate& aLeft, const Candidate& aRight) {
                return std::tie(aLeft.mHasSentSum, aLeft.mScore) >
                       std::tie(aRight.mHasSentSum, aRight.mScore);
              });
    // Until a zone sends a sum, tries its first three entries in rank order
    // and, in each fourth round, the next one of all its entries.
    const std::uint64_t round = mRounds % kRoundsPerSearchCycle;
    const std::uint64_t tried = round + 1 < kRoundsPerSearchCycle
                                  ? round
                                  : mRounds / kRoundsPerSearchCycle;
    const std::size_t place =
      candidates.front().mHasSentSum ? 0 : tried % candidates.size();
    aggregators.push_back(candidates[place].mAddress);
  }
  return aggregators;
}

PeerReport
PeerView::ReportForZone(const PeerReport& aOwn, Timestamp aNow)
{
  PeerReport report = aOwn;
  if (!IsZoneAggregator(aNow)) {
    return report;
  }
  report.mSum = SumOfZones(aNow);
  report.mSum->mSent = std::exchange(mOtherZoneParts, {});
  if (mRounds % kRoundsPerMemberList == 0) {
    for (const auto& [address, peer] : mPeers) {
      if (peer.mZone != 0 && peer.mZone != mZone &&
          aNow - peer.mHeardAt < mSettings.mZoneMemberTimeout) {
        report.mMembers.push_back(
          { address, peer.mZone, AgeOf(peer.mHeardAt, aNow) });
      }
    }
  }
  return report;
}

PeerReport
PeerView::ReportForOtherZones(const PeerReport& aOwn, Timestamp aNow)
{
  PeerReport report;
  report.mAddress = aOwn.mAddress;
  report.mSequence = aOwn.mSequence;
  report.mZone = aOwn.mZone;
  report.mDirectoryPosition.mEra = aOwn.mDirectoryPosition.mEra;
  report.mEraAge = aOwn.mEraAge;
  report.mShuttingDownProcesses = aOwn.mShuttingDownProcesses;
  report.mLimits = aOwn.mLimits;
  report.mSum = SumOfPeers(aNow, true);
  AddSum({ Milliseconds(0), aOwn.mLoad, {}, 0 }, *report.mSum);
  report.mSum->mSent = std::exchange(mOwnZoneParts, {});
  report.mSum->mSent.insert(
    report.mSum->mSent.end(), aOwn.mSent.begin(), aOwn.mSent.end());
  if (mRounds % kRoundsPerMemberList == 0) {
    report.mMembers.push_back({ mOwn, mZone, Milliseconds(0) });
    for (const std::string& member : LivePeers(aNow)) {
      report.mMembers.push_back(
        { member, mZone, AgeOf(mPeers.at(member).mHeardAt, aNow) });
    }
  }
  return report;
}

PeerReport
PeerView::ReportForNewEntries(const PeerReport& aOwn, Timestamp aNow) const
{
  PeerReport report;
  report.mAddress = aOwn.mAddress;
  report.mSequence = aOwn.mSequence;
  report.mZone = aOwn.mZone;
  report.mDirectoryPosition.mEra = aOwn.mDirectoryPosition.mEra;
  report.mEraAge = aOwn.mEraAge;
  report.mLimits = aOwn.mLimits;
  for (const auto& [address, peer] : mPeers) {
    if (peer.mZone != 0 &&
        aNow - peer.mHeardAt < mSettings.mZoneMemberTimeout) {
      report.mMembers.push_back(
        { address, peer.mZone, AgeOf(peer.mHeardAt, aNow) });
    }
  }
  return report;
}

std::vector<AddressedReport>
PeerView::Reports(const PeerReport& aOwn, Timestamp aNow)
{
  PeerReport own = aOwn;
  own.mZone = mZone;
  own.mLinkMbps = mLinkMbps;
  std::vector<AddressedReport> reports;
  if (IsMesh(aNow)) {
    std::vector<std::string> targets = Targets(aNow);
    if (mRounds % kRoundsPerMemberList == 0) {
      own.mKnownAddresses = targets;
    }
    own.mIsBroadcast = true;
    reports.push_back({ own, std::move(targets) });
    mOwnZoneParts.clear();
    mOtherZoneParts.clear();
    mNewEntries.clear();
  } else {
    const bool isAggregator = IsZoneAggregator(aNow);
    PeerReport forZone = ReportForZone(own, aNow);
    if (mRounds % kRoundsPerMemberList == 0) {
      forZone.mKnownAddresses = LivePeers(aNow);
    }
    reports.push_back({ std::move(forZone), ZoneMembers(aNow) });
    if (isAggregator) {
      reports.push_back(
        { ReportForOtherZones(own, aNow), OtherZoneAggregators(aNow) });
    }
  }
  if (!mNewEntries.empty()) {
    reports.push_back({ ReportForNewEntries(own, aNow),
                        { mNewEntries.begin(), mNewEntries.end() } });
    mNewEntries.clear();
  }
  mRounds += 1;
  return reports;
}

} // namespace medlarkeel
