#include "forwardingdocument.h"

#include <algorithm>

namespace medlarkeel {

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

TierRank
TierOf(const ForwardTeam* aTeam, const ForwardRoute& aRoute)
{
  return aTeam != nullptr ? aTeam->mTier.value_or(aRoute.mTier) : aRoute.mTier;
}

void
ForwardingDocument::DerivePoolValues()
{
  for (auto& [name, pool] : mPools) {
    pool.mTiers.clear();
    pool.mMaximumLatencyTarget = Milliseconds(0);
    for (const ForwardRoute& route : mRoutes) {
      const bool usesPool =
        std::any_of(route.mPools.begin(),
                    route.mPools.end(),
                    [poolName = name](const PoolShare& aShare) {
                      return aShare.mPool == poolName;
                    });
      if (usesPool) {
        pool.mTiers.push_back(route.mTier);
        pool.mMaximumLatencyTarget =
          std::max(pool.mMaximumLatencyTarget, route.mLatencyTarget);
      }
    }
    for (const ForwardTeam& team : mTeams) {
      if (team.mTier) {
        pool.mTiers.push_back(*team.mTier);
      }
    }
    std::sort(pool.mTiers.begin(), pool.mTiers.end());
    pool.mTiers.erase(std::unique(pool.mTiers.begin(), pool.mTiers.end()),
                      pool.mTiers.end());
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
