#include "adapterplacement.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace medlarkeel {

namespace {

struct RankedAgent
{
  std::uint64_t mScore = 0;
  InstanceId mId;
};

std::uint64_t
Score(const AdapterName& aAdapter, const InstanceId& aId)
{
  const std::string text = aAdapter.Text() + '\0' + aId.Text();
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

std::set<InstanceId>
AdapterHolders(const AdapterName& aAdapter,
               const PoolName& aPool,
               const InstanceList& aList,
               std::size_t aCopies)
{
  std::vector<RankedAgent> agents;
  for (const InstanceRecord& record : aList.mInstances) {
    const bool isMember =
      record.mRole == InstanceRole::Agent && record.mPool == aPool;
    if (isMember && record.mState == InstanceState::Live) {
      agents.push_back({ Score(aAdapter, record.mId), record.mId });
    }
  }
  std::sort(agents.begin(), agents.end(), IsHigher);
  std::set<InstanceId> holders;
  for (const RankedAgent& agent : agents) {
    if (holders.size() == aCopies) {
      break;
    }
    holders.insert(agent.mId);
  }
  return holders;
}

AdapterPlacement::AdapterPlacement(InstanceId aOwn, PlacementLimits aLimits)
  : mOwn(std::move(aOwn))
  , mLimits(aLimits)
{
}

const std::set<AdapterName>&
AdapterPlacement::Update(const Pool& aPool,
                         const InstanceList& aList,
                         Timestamp aNow)
{
  std::set<AdapterName> known(aPool.mAdapters.begin(), aPool.mAdapters.end());
  known.insert(mDesired.begin(), mDesired.end());
  for (const auto& [adapter, since] : mDiffersSince) {
    known.insert(adapter);
  }
  for (const AdapterName& adapter : known) {
    FollowClaim(adapter, IsClaimed(adapter, aPool, aList), aNow);
  }
  return mDesired;
}

bool
AdapterPlacement::IsClaimed(const AdapterName& aAdapter,
                            const Pool& aPool,
                            const InstanceList& aList) const
{
  const auto& adapters = aPool.mAdapters;
  if (std::find(adapters.begin(), adapters.end(), aAdapter) == adapters.end()) {
    return false;
  }
  const auto holders =
    AdapterHolders(aAdapter, aPool.mName, aList, mLimits.mCopies);
  return holders.count(mOwn) != 0;
}

void
AdapterPlacement::FollowClaim(const AdapterName& aAdapter,
                              bool aClaimed,
                              Timestamp aNow)
{
  const bool isDesired = mDesired.count(aAdapter) != 0;
  if (aClaimed == isDesired) {
    mDiffersSince.erase(aAdapter);
    return;
  }
  const auto since = mDiffersSince.emplace(aAdapter, aNow).first->second;
  const Milliseconds wait = aClaimed ? mLimits.mSettle : mLimits.mHold;
  if (aNow - since < wait) {
    return;
  }
  mDiffersSince.erase(aAdapter);
  if (aClaimed) {
    mDesired.insert(aAdapter);
  } else {
    mDesired.erase(aAdapter);
  }
}

} // namespace medlarkeel
