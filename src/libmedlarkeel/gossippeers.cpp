#include "gossippeers.h"

#include "rendezvous.h"

#include <algorithm>
#include <cstdint>

namespace medlarkeel {

namespace {

/** One peer in so many is outside the own region. */
constexpr std::size_t kFarPart = 3;

struct ScoredPeer
{
  std::uint64_t mScore;
  const InstanceRecord* mRecord;
};

void
KeepBest(std::vector<ScoredPeer>& aPeers, std::size_t aCount)
{
  const std::size_t count = std::min(aCount, aPeers.size());
  std::partial_sort(aPeers.begin(),
                    aPeers.begin() + static_cast<std::ptrdiff_t>(count),
                    aPeers.end(),
                    [](const ScoredPeer& aLeft, const ScoredPeer& aRight) {
                      return aLeft.mScore > aRight.mScore;
                    });
  aPeers.resize(count);
}

} // namespace

std::vector<InstanceRecord>
ChooseGossipPeers(const InstanceId& aSelf,
                  const RegionName& aRegion,
                  const InstanceList& aList,
                  std::size_t aCount)
{
  const std::uint64_t self = HashText(aSelf.Text());
  std::vector<ScoredPeer> near;
  std::vector<ScoredPeer> far;
  for (const InstanceRecord& record : aList.mInstances) {
    if (record.mId != aSelf && record.mState == InstanceState::Live) {
      const std::uint64_t peer = HashText(record.mId.Text());
      auto& group = record.mRegion == aRegion ? near : far;
      group.push_back({ RendezvousScore(self, peer), &record });
    }
  }
  const std::size_t nearWanted =
    std::min(near.size(), aCount - aCount / kFarPart);
  KeepBest(far, aCount - nearWanted);
  KeepBest(near, aCount - far.size());
  std::vector<InstanceRecord> peers;
  for (const auto* group : { &near, &far }) {
    for (const ScoredPeer& peer : *group) {
      peers.push_back(*peer.mRecord);
    }
  }
  return peers;
}

} // namespace medlarkeel
