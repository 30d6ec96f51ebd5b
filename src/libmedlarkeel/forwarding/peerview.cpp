#include "peerview.h"

#include "../rendezvous.h"

#include <algorithm>
#include <set>

namespace medlarkeel {

std::uint32_t
ServerHash(const InstanceId& aId)
{
  return static_cast<std::uint32_t>(HashText(aId.Text()));
}

PeerView::PeerView(const PeerSettings& aSettings,
                   std::string aOwn,
                   std::vector<std::string> aSeeds)
  : mSettings(aSettings)
  , mOwn(std::move(aOwn))
  , mSeeds(std::move(aSeeds))
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
  const bool hasHeard =
    std::any_of(mPeers.begin(), mPeers.end(), [](const auto& aPeer) {
      return aPeer.second.mSequence != 0;
    });
  return hasHeard ? Targets(aNow).size() + 1 : mSettings.mAssumedEntries;
}

bool
PeerView::IsAmongFirst(const InstanceId& aServer,
                       std::size_t aCount,
                       Timestamp aNow) const
{
  const std::uint64_t key = HashText(aServer.Text());
  const std::uint64_t own = RendezvousScore(key, HashText(mOwn));
  std::size_t before = 0;
  for (const std::string& target : Targets(aNow)) {
    before += RendezvousScore(key, HashText(target)) > own ? 1 : 0;
  }
  return before < aCount;
}

bool
PeerView::MayRelyOnOthers(std::uint64_t aDigest, Timestamp aNow) const
{
  if (IsAmongFirst(
        InstanceId("directory"), mSettings.mDirectoryReaders, aNow)) {
    return false;
  }
  bool isConfirmed = false;
  for (const auto& [address, peer] : mPeers) {
    if (aNow - peer.mDirectoryHeardAt > mSettings.mFreshDirectory) {
      continue;
    }
    if (peer.mDirectoryDigest != aDigest) {
      return false;
    }
    isConfirmed = true;
  }
  return isConfirmed;
}

PromptDemand
PeerView::OtherDemand(Timestamp aNow) const
{
  PromptDemand sum;
  for (const auto& [address, peer] : mPeers) {
    if (aNow - peer.mHeardAt <= mSettings.mLoadLife) {
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
  for (const auto& [address, peer] : mPeers) {
    if (aNow - peer.mHeardAt > mSettings.mLoadLife) {
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
