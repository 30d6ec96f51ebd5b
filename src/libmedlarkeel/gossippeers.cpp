#include "gossippeers.h"

#include "rendezvous.h"

#include <algorithm>
#include <cstdint>

namespace medlarkeel {

std::vector<InstanceRecord>
ChooseGossipPeers(const InstanceId& aSelf,
                  const InstanceList& aList,
                  std::size_t aCount)
{
  struct ScoredPeer
  {
    std::uint64_t mScore;
    const InstanceRecord* mRecord;
  };
  const std::uint64_t self = HashText(aSelf.Text());
  std::vector<ScoredPeer> scored;
  for (const InstanceRecord& record : aList.mInstances) {
    if (record.mId != aSelf && record.mState == InstanceState::Live) {
      const std::uint64_t peer = HashText(record.mId.Text());
      scored.push_back({ RendezvousScore(self, peer), &record });
    }
  }
  const std::size_t count = std::min(aCount, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(),
                    [](const ScoredPeer& aLeft, const ScoredPeer& aRight) {
                      return aLeft.mScore > aRight.mScore;
                    });
  std::vector<InstanceRecord> peers;
  for (std::size_t index = 0; index < count; ++index) {
    peers.push_back(*scored[index].mRecord);
  }
  return peers;
}

} // namespace medlarkeel
