#include "peerview.h"

#include "../rendezvous.h"

#include <algorithm>
#include <limits>
#include <set>

namespace medlarkeel {

namespace {

/** Orders entries by hash for who follows the directory. */
constexpr const char* kReaderKey = "directory";

} // namespace

std::uint32_t
ServerHash(const InstanceId& aId)
{
  return static_cast<std::uint32_t>(HashText(aId.Text()));
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
                   Timestamp aStartedAt)
  : mSettings(aSettings)
  , mOwn(std::move(aOwn))
  , mSeeds(std::move(aSeeds))
  , mStartedAt(aStartedAt)
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
  peer.mDirectoryDigest = aReport.mDirectoryDigest;
  peer.mDirectoryRevision = aReport.mDirectoryRevision;
  peer.mDirectoryHeardAt = aNow - aReport.mDirectoryAge;
  for (const std::string& known : aReport.mKnown) {
    if (known != mOwn && mPeers.count(known) == 0) {
      // Counted from now on; its own reports follow once it is told of us.
      mPeers[known].mHeardAt = aNow;
    }
  }
  return true;
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
  const auto entries = static_cast<std::int64_t>(Targets(aNow).size() + 1);
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

std::set<std::string>
PeerView::Readers(Timestamp aNow) const
{
  const std::uint64_t key = HashText(kReaderKey);
  std::vector<std::pair<std::uint64_t, std::string>> order;
  for (const std::string& peer : LivePeers(aNow)) {
    order.emplace_back(RendezvousScore(key, HashText(peer)), peer);
  }
  std::sort(order.rbegin(), order.rend());
  std::set<std::string> readers;
  for (const auto& [score, address] : order) {
    if (readers.size() < mSettings.mDirectoryReaders) {
      readers.insert(address);
    }
  }
  return readers;
}

bool
PeerView::IsReader(Timestamp aNow) const
{
  return CountBefore(HashText(kReaderKey), LivePeers(aNow)) <
         mSettings.mDirectoryReaders;
}

std::vector<std::string>
PeerView::LivePeers(Timestamp aNow) const
{
  std::vector<std::string> live;
  for (const auto& [address, peer] : mPeers) {
    if (peer.mSequence != 0 && aNow - peer.mHeardAt < mSettings.mReaderLife) {
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
  PromptDemand sum;
  const Microseconds life = LoadLife(aNow);
  for (const auto& [address, peer] : mPeers) {
    if (aNow - peer.mHeardAt <= life) {
      sum.mShortTokens += peer.mDemand.mShortTokens;
      sum.mLongTokens += peer.mDemand.mLongTokens;
    }
  }
  return sum;
}

ServerLoads
PeerView::OtherLoads(Timestamp aNow) const
{
  ServerLoads sum;
  const Microseconds life = LoadLife(aNow);
  for (const auto& [address, peer] : mPeers) {
    if (aNow - peer.mHeardAt > life) {
      continue;
    }
    for (const auto& [server, load] : peer.mLoads) {
      sum[server].mRequests += load.mRequests;
      sum[server].mUnreadTokens += load.mUnreadTokens;
    }
  }
  return sum;
}

} // namespace medlarkeel
