#pragma once

#include "requestpriority.h"

#include <cstdint>
#include <map>
#include <tuple>

namespace medlarkeel {

/** The load that an entry has in progress at a backend server. */
struct ServerLoad
{
  std::uint32_t mRequests = 0;
  /** Estimated prompt tokens that still need prefill. */
  std::uint32_t mPrefillTokens = 0;

  ServerLoad& operator+=(const ServerLoad& aOther)
  {
    mRequests += aOther.mRequests;
    mPrefillTokens += aOther.mPrefillTokens;
    return *this;
  }
};

/** @return The hash that identifies a pool in peer reports. */
std::uint32_t
PoolHash(const PoolName& aPool);

/** Requests of a pool that have the same priority and prompts of the same
 * size. */
struct LoadGroup
{
  /** See PoolHash(). */
  std::uint32_t mPool = 0;
  bool mIsShortPrompt = false;
  RequestPriority mPriority;

  friend bool operator<(const LoadGroup& aLeft, const LoadGroup& aRight)
  {
    return std::tie(aLeft.mPool, aLeft.mIsShortPrompt, aLeft.mPriority) <
           std::tie(aRight.mPool, aRight.mIsShortPrompt, aRight.mPriority);
  }
};

/** Loads at all backend servers, by groups of requests. */
using PriorityLoads = std::map<LoadGroup, ServerLoad>;

/** Sizes of prompts whose loads are added up. */
enum class PromptSizes
{
  Same,
  All
};

/** @return The load of the requests of a group's pool that are at least as
 * urgent as the group. */
ServerLoad
LoadAtLeastAsUrgent(const PriorityLoads& aLoads,
                    const LoadGroup& aGroup,
                    PromptSizes aSizes);

/** Counts the requests that this entry has in progress. */
class PriorityLoadTracker
{
public:
  const PriorityLoads& Loads() const { return mLoads; }

  /** @param aPrefillTokens Estimated prompt tokens that need prefill. */
  void RecordStarted(const LoadGroup& aGroup, std::uint32_t aPrefillTokens);

  /** Call it once for each request, with the tokens of its start. */
  void RecordPrefilled(const LoadGroup& aGroup, std::uint32_t aPrefillTokens);

  void RecordEnded(const LoadGroup& aGroup);

private:
  PriorityLoads mLoads;
};

} // namespace medlarkeel
