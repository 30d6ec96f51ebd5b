#include "priorityloads.h"

#include "../rendezvous.h"

#include <algorithm>

namespace medlarkeel {

std::uint32_t
PoolHash(const PoolName& aPool)
{
  return static_cast<std::uint32_t>(HashText(aPool.Text()));
}

ServerLoad
LoadAtLeastAsUrgent(const PriorityLoads& aLoads,
                    const LoadGroup& aGroup,
                    PromptSizes aSizes)
{
  ServerLoad sum;
  for (const auto& [group, load] : aLoads) {
    const bool hasSize = aSizes == PromptSizes::All ||
                         group.mIsShortPrompt == aGroup.mIsShortPrompt;
    const bool isUrgent = !(aGroup.mPriority < group.mPriority);
    if (group.mPool == aGroup.mPool && hasSize && isUrgent) {
      sum += load;
    }
  }
  return sum;
}

void
PriorityLoadTracker::RecordStarted(const LoadGroup& aGroup,
                                   std::uint32_t aPrefillTokens)
{
  mLoads[aGroup] += { 1, aPrefillTokens };
}

void
PriorityLoadTracker::RecordPrefilled(const LoadGroup& aGroup,
                                     std::uint32_t aPrefillTokens)
{
  const auto found = mLoads.find(aGroup);
  if (found != mLoads.end()) {
    found->second.mPrefillTokens -=
      std::min(found->second.mPrefillTokens, aPrefillTokens);
  }
}

void
PriorityLoadTracker::RecordEnded(const LoadGroup& aGroup)
{
  const auto found = mLoads.find(aGroup);
  if (found == mLoads.end()) {
    return;
  }
  found->second.mRequests -= 1;
  if (found->second.mRequests == 0) {
    mLoads.erase(found);
  }
}

} // namespace medlarkeel
