#include "requestpriority.h"

#include <algorithm>

namespace medlarkeel {

int
BackendRank(const std::vector<RequestPriority>& aPriorities,
            const RequestPriority& aPriority,
            int aMaximumRank)
{
  const auto place =
    std::lower_bound(aPriorities.begin(), aPriorities.end(), aPriority);
  const auto position = static_cast<int>(place - aPriorities.begin());
  const auto count = static_cast<int>(aPriorities.size());
  const int ranks = aMaximumRank + 1;
  const int rank = count <= ranks ? position : position * ranks / count;
  return std::min(rank, aMaximumRank);
}

} // namespace medlarkeel
