#pragma once

#include "../types.h"

#include <tuple>
#include <vector>

namespace medlarkeel {

/** Urgency of a request. The tier of its team takes precedence over the tier of
 * its route, which orders the requests of teams of the same tier. */
struct RequestPriority
{
  /** Tier of the team, or that of the route if the team has none. */
  TierRank mTeamTier;
  TierRank mRouteTier;

  friend bool operator==(const RequestPriority& aLeft,
                         const RequestPriority& aRight)
  {
    return aLeft.mTeamTier == aRight.mTeamTier &&
           aLeft.mRouteTier == aRight.mRouteTier;
  }
  /** @return Whether aLeft is more urgent. */
  friend bool operator<(const RequestPriority& aLeft,
                        const RequestPriority& aRight)
  {
    return std::tie(aLeft.mTeamTier, aLeft.mRouteTier) <
           std::tie(aRight.mTeamTier, aRight.mRouteTier);
  }
};

/**
 * Maps a priority to one of the ranks that a backend server distinguishes.
 *
 * @param aPriorities All priorities of the pool, the most urgent first.
 * @param aMaximumRank Highest rank that the backend server accepts.
 * @return A rank from 0, the most urgent, to aMaximumRank. Priorities share
 * ranks only if there are more of them than ranks.
 */
int
BackendRank(const std::vector<RequestPriority>& aPriorities,
            const RequestPriority& aPriority,
            int aMaximumRank);

} // namespace medlarkeel
