#include "peerview.h"

#include "../rendezvous.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

namespace medlarkeel {

namespace {

/** Orders entries by hash for who follows the directory. */
constexpr const char* kReaderKey = "directory";

/** Orders entries by hash for who exchanges sums for its zone. */
constexpr const char* kSpeakerKey = "speaker";

/** Entries of another zone that are tried most often for its sums, and one. */
constexpr std::uint64_t kFirstCandidates = 4;

/** Rounds of reports between two that name entries. */
constexpr std::uint64_t kRoundsBetweenMembers = 8;

/** Parts that wait to be passed on; the newest ones are kept. */
constexpr std::size_t kMostParts = 1000;

Milliseconds
AgeOf(Timestamp aHeardAt, Timestamp aNow)
{
  return std::chrono::duration_cast<Milliseconds>(aNow - aHeardAt);
}

/** Adds one sum to another, but for the parts that were sent. */
void
AddSum(const LoadSum& aSum, LoadSum& aTotal)
{
  aTotal.mAge = std::max(aTotal.mAge, aSum.mAge);
  aTotal.mDemand.mShortTokens += aSum.mDemand.mShortTokens;
  aTotal.mDemand.mLongTokens += aSum.mDemand.mLongTokens;
  for (const auto& [server, load] : aSum.mLoads) {
    aTotal.mLoads[server].mRequests += load.mRequests;
    aTotal.mLoads[server].mUnreadTokens += load.mUnreadTokens;
  }
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
  /** Share of the bound for which what others read is fresh: longer than a
   * reader's pause and the interval of reports together, and short enough for
   * an own call after it. */
  constexpr double kFreshShare = 0.6;
  PeerSettings settings;
  settings.mFreshDirectory = Milliseconds(static_cast<std::int64_t>(
    kFreshShare * static_cast<double>(aChangeBound.count())));
  return settings;
}

PeerView::PeerView(const PeerSettings& aSettings,
                   std::string aOwn,
                   std::vector<std::string> aSeeds,
                   Timestamp aStartedAt,
                   std::uint32_t aZone)
  : mSettings(aSettings)
  , mOwn(std::move(aOwn))
  , mSeeds(std::move(aSeeds))
  , mStartedAt(aStartedAt)
  , mZone(aZone)
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
  peer.mLoads = aReport.mLoads;
  peer.mDemand = aReport.mDemand;
  peer.mZone = aReport.mZone;
  if (aReport.mSum) {
    peer.mSum = aReport.mSum;
    peer.mSumAt = aNow;
  }
  RecordParts(aReport);
  peer.mDirectoryDigest = aReport.mDirectoryDigest;
  peer.mDirectoryRevision = aReport.mDirectoryRevision;
  peer.mIsDirectoryLost = aReport.mIsDirectoryLost;
  peer.mDirectoryHeardAt = aNow - aReport.mDirectoryAge;
  for (const std::string& known : aReport.mKnown) {
    if (known != mOwn && mPeers.count(known) == 0) {
      // Counted from now on; its own reports follow once it is told of us.
      mPeers[known].mHeardAt = aNow;
    }
  }
  for (const ZoneMember& member : aReport.mMembers) {
    // The sender heard of them itself, or from one that did.
    const bool isNews =
      member.mZone != mZone || mPeers.count(member.mAddress) == 0;
    if (member.mAddress != mOwn && isNews) {
      Peer& known = mPeers[member.mAddress];
      known.mHeardAt = std::max(known.mHeardAt, aNow - member.mAge);
      known.mZone = member.mZone;
    }
  }
  if (aReport.mIsForAll && aReport.mZone != mZone) {
    mNewcomers.insert(aReport.mAddress);
  }
  return true;
}

void
PeerView::RecordParts(const PeerReport& aReport)
{
  const bool isOwnZone = aReport.mZone == mZone;
  std::vector<SentPart>& heard = isOwnZone ? mZoneParts : mOtherParts;
  if (isOwnZone) {
    heard.insert(heard.end(), aReport.mSent.begin(), aReport.mSent.end());
  } else if (aReport.mSum) {
    heard.insert(
      heard.end(), aReport.mSum->mSent.begin(), aReport.mSum->mSent.end());
  }
  if (heard.size() > kMostParts) {
    heard.erase(heard.begin(), heard.end() - kMostParts);
  }
}

std::vector<std::string>
PeerView::Targets(Timestamp aNow) const
{
  std::set<std::string> targets(mSeeds.begin(), mSeeds.end());
  for (const auto& [address, peer] : mPeers) {
    if (aNow - peer.mHeardAt < mSettings.mPeerLife) {
      targets.insert(address);
    }
  }
  targets.erase(mOwn);
  return { targets.begin(), targets.end() };
}

Milliseconds
PeerView::Interval(Timestamp aNow) const
{
  const std::size_t partners =
    IsMesh(aNow) ? Targets(aNow).size() : ZoneMembers(aNow).size();
  const auto entries = static_cast<std::int64_t>(partners + 1);
  return std::max(mSettings.mLeastInterval,
                  mSettings.mIntervalPerEntry * entries);
}

std::size_t
PeerView::EntryCount(Timestamp aNow) const
{
  const std::size_t known = Targets(aNow).size() + 1;
  return known + UnknownCount(known, aNow);
}

std::size_t
PeerView::UnknownCount(std::size_t aKnown, Timestamp aNow) const
{
  const bool hasHeard =
    std::any_of(mPeers.begin(), mPeers.end(), [](const auto& aPeer) {
      return aPeer.second.mSequence != 0;
    });
  const bool isAlone = aKnown == 1;
  const bool isComplete =
    (hasHeard || isAlone) && aNow - mStartedAt >= mSettings.mLearnTime;
  return isComplete || aKnown > mSettings.mAssumedEntries
           ? 0
           : mSettings.mAssumedEntries - aKnown;
}

std::size_t
PeerView::CountBefore(std::uint64_t aKey,
                      const std::vector<std::string>& aTargets) const
{
  const std::uint64_t own = RendezvousScore(aKey, HashText(mOwn));
  return static_cast<std::size_t>(std::count_if(
    aTargets.begin(), aTargets.end(), [&](const std::string& aTarget) {
      return RendezvousScore(aKey, HashText(aTarget)) > own;
    }));
}

bool
PeerView::IsAmongFirst(const InstanceId& aServer,
                       std::size_t aCount,
                       Timestamp aNow) const
{
  /** Keeps the number that takes itself for one of the first below the limit
   * although it is left to chance: half of it is expected. */
  constexpr double kUnknownWeight = 2.0;
  constexpr auto kMostScore =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const std::uint64_t key = HashText(aServer.Text());
  const std::vector<std::string> targets = Targets(aNow);
  const auto unknown =
    static_cast<double>(UnknownCount(targets.size() + 1, aNow));
  const double shareBefore =
    1.0 -
    static_cast<double>(RendezvousScore(key, HashText(mOwn))) / kMostScore;
  const double before = static_cast<double>(CountBefore(key, targets)) +
                        kUnknownWeight * unknown * shareBefore;
  return before < static_cast<double>(aCount);
}

std::vector<std::string>
PeerView::PossibleReaders(Timestamp aNow) const
{
  std::vector<std::string> peers = LivePeers(aNow);
  peers.erase(std::remove_if(peers.begin(),
                             peers.end(),
                             [this](const std::string& aPeer) {
                               return mPeers.at(aPeer).mIsDirectoryLost;
                             }),
              peers.end());
  return peers;
}

std::size_t
PeerView::ReaderCount(Timestamp aNow) const
{
  return IsMesh(aNow) ? mSettings.mDirectoryReaders : mSettings.mZoneReaders;
}

std::set<std::string>
PeerView::Readers(Timestamp aNow) const
{
  const std::uint64_t key = HashText(kReaderKey);
  std::vector<std::pair<std::uint64_t, std::string>> order;
  for (const std::string& peer : PossibleReaders(aNow)) {
    order.emplace_back(RendezvousScore(key, HashText(peer)), peer);
  }
  std::sort(order.rbegin(), order.rend());
  std::set<std::string> readers;
  for (const auto& [score, address] : order) {
    if (readers.size() < ReaderCount(aNow)) {
      readers.insert(address);
    }
  }
  return readers;
}

bool
PeerView::IsReader(Timestamp aNow) const
{
  const std::vector<std::string> others = PossibleReaders(aNow);
  if (mIsDirectoryLost && !others.empty()) {
    return false;
  }
  return CountBefore(HashText(kReaderKey), others) < ReaderCount(aNow);
}

std::vector<std::string>
PeerView::LivePeers(Timestamp aNow) const
{
  const bool isMesh = IsMesh(aNow);
  // Within a zone reports come often.
  const Microseconds life =
    isMesh ? mSettings.mReaderLife : mSettings.mLoadLife;
  std::vector<std::string> live;
  for (const auto& [address, peer] : mPeers) {
    const bool counts = isMesh || peer.mZone == mZone;
    if (counts && peer.mSequence != 0 && aNow - peer.mHeardAt < life) {
      live.push_back(address);
    }
  }
  return live;
}

Microseconds
PeerView::LoadLife(Timestamp aNow) const
{
  constexpr int kIntervals = 3;
  return std::max(mSettings.mLoadLife, Interval(aNow) * kIntervals);
}

bool
PeerView::MayRelyOnOthers(std::uint64_t aDigest,
                          std::uint64_t aRevision,
                          Timestamp aNow) const
{
  if (IsReader(aNow)) {
    return false;
  }
  const std::set<std::string> readers = Readers(aNow);
  bool isConfirmed = false;
  for (const auto& [address, peer] : mPeers) {
    if (readers.count(address) == 0 ||
        aNow - peer.mDirectoryHeardAt > mSettings.mFreshDirectory) {
      continue;
    }
    const bool isSame = peer.mDirectoryDigest == aDigest;
    if (!isSame && peer.mDirectoryRevision > aRevision) {
      return false;
    }
    isConfirmed = isConfirmed || isSame;
  }
  return isConfirmed;
}

PromptDemand
PeerView::OtherDemand(Timestamp aNow) const
{
  return Others(aNow).mDemand;
}

ServerLoads
PeerView::OtherLoads(Timestamp aNow) const
{
  return Others(aNow).mLoads;
}

LoadSum
PeerView::Others(Timestamp aNow) const
{
  // An entry that has just begun is told sums before it takes part in them.
  const Microseconds life = LoadLife(aNow);
  const bool isTold =
    std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aPeer) {
      return aPeer.second.mZone == mZone && aPeer.second.mSum &&
             aNow - aPeer.second.mSumAt <= life;
    });
  const bool isMesh = IsMesh(aNow) && !isTold;
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
  const Microseconds life = LoadLife(aNow);
  for (const auto& [address, peer] : mPeers) {
    const bool counts = !aOwnZoneOnly || peer.mZone == mZone;
    if (counts && aNow - peer.mHeardAt <= life) {
      AddSum({ AgeOf(peer.mHeardAt, aNow), peer.mLoads, peer.mDemand, {} },
             sum);
    }
  }
  return sum;
}

LoadSum
PeerView::SumOfZones(Timestamp aNow) const
{
  const Microseconds life = LoadLife(aNow);
  std::map<std::uint32_t, LoadSum> byZone;
  for (const auto& [address, peer] : mPeers) {
    if (!peer.mSum || aNow - peer.mSumAt > life) {
      continue;
    }
    LoadSum sum = *peer.mSum;
    sum.mAge += AgeOf(peer.mSumAt, aNow);
    // A speaker of the own zone has the sum over all other zones.
    const std::uint32_t zone = peer.mZone;
    const auto known = byZone.find(zone);
    if (known == byZone.end() || sum.mAge < known->second.mAge) {
      byZone[zone] = std::move(sum);
    }
  }
  const auto told = byZone.find(mZone);
  if (told != byZone.end() && !IsSpeaker(aNow)) {
    return told->second;
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
PeerView::KnownCount(Timestamp aNow) const
{
  const auto isKnown = [&](const Peer& aPeer) {
    return aNow - aPeer.mHeardAt < mSettings.mPeerLife;
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
  return mZone == 0 || aNow - mStartedAt < mSettings.mLearnTime ||
         KnownCount(aNow) < mSettings.mMeshEntries;
}

std::vector<std::string>
PeerView::ZoneMembers(Timestamp aNow) const
{
  std::vector<std::string> members;
  for (const auto& [address, peer] : mPeers) {
    // Entries that were only named may be of any zone.
    const bool isMember = peer.mZone == mZone || peer.mZone == 0;
    if (isMember && aNow - peer.mHeardAt < mSettings.mMemberLife) {
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
PeerView::IsSpeaker(Timestamp aNow) const
{
  return CountBefore(HashText(kSpeakerKey), LivePeers(aNow)) == 0;
}

std::vector<std::string>
PeerView::OtherSpeakers(Timestamp aNow) const
{
  struct Candidate
  {
    bool mHasSpoken = false;
    std::uint64_t mScore = 0;
    std::string mAddress;
  };
  std::map<std::uint32_t, std::vector<Candidate>> byZone;
  for (const auto& [address, peer] : mPeers) {
    if (peer.mZone != 0 && peer.mZone != mZone &&
        aNow - peer.mHeardAt < mSettings.mPeerLife) {
      const bool hasSpoken =
        peer.mSum && aNow - peer.mSumAt < mSettings.mSpeakerLife;
      byZone[peer.mZone].push_back(
        { hasSpoken,
          RendezvousScore(HashText(kSpeakerKey), HashText(address)),
          address });
    }
  }
  std::vector<std::string> speakers;
  for (auto& [zone, candidates] : byZone) {
    std::sort(candidates.begin(),
              candidates.end(),
              [](const Candidate& aLeft, const Candidate& aRight) {
                return std::tie(aLeft.mHasSpoken, aLeft.mScore) >
                       std::tie(aRight.mHasSpoken, aRight.mScore);
              });
    // While none has spoken, the next ones in order are tried, and now and then
    // any other.
    const std::uint64_t round = mRounds % kFirstCandidates;
    const std::uint64_t tried =
      round + 1 < kFirstCandidates ? round : mRounds / kFirstCandidates;
    const std::size_t place =
      candidates.front().mHasSpoken ? 0 : tried % candidates.size();
    speakers.push_back(candidates[place].mAddress);
  }
  return speakers;
}

PeerReport
PeerView::ReportForZone(const PeerReport& aOwn, Timestamp aNow)
{
  PeerReport report = aOwn;
  if (!IsSpeaker(aNow)) {
    return report;
  }
  report.mSum = SumOfZones(aNow);
  report.mSum->mSent = std::exchange(mOtherParts, {});
  if (mRounds % kRoundsBetweenMembers == 0) {
    for (const auto& [address, peer] : mPeers) {
      if (peer.mZone != 0 && peer.mZone != mZone &&
          aNow - peer.mHeardAt < mSettings.mMemberLife) {
        report.mMembers.push_back(
          { address, peer.mZone, AgeOf(peer.mHeardAt, aNow) });
      }
    }
  }
  return report;
}

PeerReport
PeerView::ReportForOthers(const PeerReport& aOwn, Timestamp aNow)
{
  PeerReport report;
  report.mAddress = aOwn.mAddress;
  report.mSequence = aOwn.mSequence;
  report.mZone = aOwn.mZone;
  report.mLeaving = aOwn.mLeaving;
  report.mSum = SumOfPeers(aNow, true);
  AddSum({ Milliseconds(0), aOwn.mLoads, aOwn.mDemand, {} }, *report.mSum);
  report.mSum->mSent = std::exchange(mZoneParts, {});
  report.mSum->mSent.insert(
    report.mSum->mSent.end(), aOwn.mSent.begin(), aOwn.mSent.end());
  if (mRounds % kRoundsBetweenMembers == 0) {
    report.mMembers.push_back({ mOwn, mZone, Milliseconds(0) });
    for (const std::string& member : LivePeers(aNow)) {
      report.mMembers.push_back(
        { member, mZone, AgeOf(mPeers.at(member).mHeardAt, aNow) });
    }
  }
  return report;
}

PeerReport
PeerView::ReportForNewcomers(const PeerReport& aOwn, Timestamp aNow) const
{
  PeerReport report;
  report.mAddress = aOwn.mAddress;
  report.mSequence = aOwn.mSequence;
  report.mZone = aOwn.mZone;
  for (const auto& [address, peer] : mPeers) {
    if (peer.mZone != 0 && aNow - peer.mHeardAt < mSettings.mMemberLife) {
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
  std::vector<AddressedReport> reports;
  if (IsMesh(aNow)) {
    std::vector<std::string> targets = Targets(aNow);
    if (mRounds % kRoundsBetweenMembers == 0) {
      own.mKnown = targets;
    }
    own.mIsForAll = true;
    reports.push_back({ own, std::move(targets) });
    mZoneParts.clear();
    mOtherParts.clear();
    mNewcomers.clear();
  } else {
    const bool isSpeaker = IsSpeaker(aNow);
    PeerReport forZone = ReportForZone(own, aNow);
    if (mRounds % kRoundsBetweenMembers == 0) {
      forZone.mKnown = LivePeers(aNow);
    }
    reports.push_back({ std::move(forZone), ZoneMembers(aNow) });
    if (isSpeaker) {
      reports.push_back({ ReportForOthers(own, aNow), OtherSpeakers(aNow) });
    }
  }
  if (!mNewcomers.empty()) {
    reports.push_back({ ReportForNewcomers(own, aNow),
                        { mNewcomers.begin(), mNewcomers.end() } });
    mNewcomers.clear();
  }
  mRounds += 1;
  return reports;
}

} // namespace medlarkeel
