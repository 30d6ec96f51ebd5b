#include "adapterplacement.h"

#include "agentranking.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace medlarkeel {

std::set<InstanceId>
AdapterHolders(const AdapterName& aAdapter,
               const PoolName& aPool,
               const InstanceList& aList,
               std::size_t aCopies)
{
  std::vector<InstanceId> agents = RankAgents(aAdapter.Text(), aPool, aList);
  agents.resize(std::min(agents.size(), aCopies));
  return std::set<InstanceId>(agents.begin(), agents.end());
}

AdapterPlacement::AdapterPlacement(InstanceId aOwn, PlacementLimits aLimits)
  : mOwn(std::move(aOwn))
  , mLimits(aLimits)
{
}

void
AdapterPlacement::AdoptLoaded(const std::set<AdapterName>& aLoaded)
{
  mDesired.insert(aLoaded.begin(), aLoaded.end());
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
