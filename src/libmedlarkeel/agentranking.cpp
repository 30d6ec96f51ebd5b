#include "agentranking.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace medlarkeel {

namespace {

struct RankedAgent
{
  std::uint64_t mScore = 0;
  InstanceId mId;
};

std::uint64_t
Score(const std::string& aSubject, const InstanceId& aId)
{
  const std::string text = aSubject + '\0' + aId.Text();
  return XXH64(text.data(), text.size(), 0);
}

bool
IsHigher(const RankedAgent& aLeft, const RankedAgent& aRight)
{
  if (aLeft.mScore != aRight.mScore) {
    return aLeft.mScore > aRight.mScore;
  }
  return aLeft.mId < aRight.mId;
}

} // namespace

std::vector<InstanceId>
RankAgents(const std::string& aSubject,
           const PoolName& aPool,
           const InstanceList& aList)
{
  std::vector<RankedAgent> agents;
  for (const InstanceRecord& record : aList.mInstances) {
    const bool isMember =
      record.mRole == InstanceRole::Agent && record.mPool == aPool;
    if (isMember && record.mState == InstanceState::Live) {
      agents.push_back({ Score(aSubject, record.mId), record.mId });
    }
  }
  std::sort(agents.begin(), agents.end(), IsHigher);
  std::vector<InstanceId> ranking;
  ranking.reserve(agents.size());
  for (const RankedAgent& agent : agents) {
    ranking.push_back(agent.mId);
  }
  return ranking;
}

} // namespace medlarkeel
