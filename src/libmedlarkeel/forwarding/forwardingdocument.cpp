#include "forwardingdocument.h"

#include <algorithm>
#include <set>

namespace medlarkeel {

namespace {

bool
UsesPool(const ForwardRoute& aRoute, const PoolName& aPool)
{
  return std::any_of(
    aRoute.mPools.begin(),
    aRoute.mPools.end(),
    [&aPool](const PoolShare& aShare) { return aShare.mPool == aPool; });
}

} // namespace

Milliseconds
ForwardRoute::FirstEventTimeout() const
{
  // Callers are assumed to time out after the longest of three times without an
  // event: 2000 ms, 4 latency targets, or 8 times the longest gap between
  // events that the route allows.
  constexpr Milliseconds kMinimumTimeout{ 2000 };
  constexpr int kLatencyTargetFactor = 4;
  constexpr int kEventGapFactor = 8;
  const Milliseconds firstEventTimeout =
    std::max({ kMinimumTimeout,
               mLatencyTarget * kLatencyTargetFactor,
               mEventGapTarget * kEventGapFactor });
  return std::min(firstEventTimeout, mTimeout);
}

RequestPriority
PriorityOf(const ForwardTeam* aTeam, const ForwardRoute& aRoute)
{
  const TierRank teamTier =
    aTeam != nullptr ? aTeam->mTier.value_or(aRoute.mTier) : aRoute.mTier;
  return { teamTier, aRoute.mTier };
}

void
ForwardingDocument::DerivePoolValues()
{
  std::set<std::optional<TierRank>> teamTiers;
  for (const ForwardTeam& team : mTeams) {
    if (team.mIsUsable) {
      teamTiers.insert(team.mTier);
    }
  }
  for (auto& [name, pool] : mPools) {
    std::set<RequestPriority> priorities;
    pool.mMaximumLatencyTarget = Milliseconds(0);
    std::optional<Milliseconds> minimumTarget;
    for (const ForwardRoute& route : mRoutes) {
      if (!UsesPool(route, name)) {
        continue;
      }
      if (route.mIsPublic || !mRequiresKeys) {
        priorities.insert({ route.mTier, route.mTier });
      }
      for (const std::optional<TierRank>& tier : teamTiers) {
        priorities.insert({ tier.value_or(route.mTier), route.mTier });
      }
      pool.mMaximumLatencyTarget =
        std::max(pool.mMaximumLatencyTarget, route.mLatencyTarget);
      minimumTarget = std::min(minimumTarget.value_or(route.mLatencyTarget),
                               route.mLatencyTarget);
    }
    pool.mPlacement.mCost =
      ServerCostFor(pool.mPlacement.mEngineMemoryTokens,
                    minimumTarget.value_or(Milliseconds(0)));
    pool.mPriorities.assign(priorities.begin(), priorities.end());
  }
}

const ForwardRoute*
ForwardingDocument::FindRoute(std::string_view aHost,
                              std::string_view aPath) const
{
  const ForwardRoute* best = nullptr;
  for (const ForwardRoute& route : mRoutes) {
    const bool matches =
      route.mHost == aHost &&
      aPath.substr(0, route.mPathPrefix.size()) == route.mPathPrefix;
    if (matches && (best == nullptr ||
                    best->mPathPrefix.size() < route.mPathPrefix.size())) {
      best = &route;
    }
  }
  return best;
}

const ForwardTeam*
ForwardingDocument::FindTeam(const std::string& aKey) const
{
  const auto found = mKeys.find(aKey);
  return found == mKeys.end() ? nullptr : &mTeams[found->second];
}

} // namespace medlarkeel
