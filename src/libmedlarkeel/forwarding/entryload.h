#pragma once

#include "priorityloads.h"

#include <cstdint>
#include <unordered_map>

namespace medlarkeel {

/** Loads keyed by the hash of the backend server's id; see ServerHash(). */
using ServerLoads = std::unordered_map<std::uint32_t, ServerLoad>;

/** Prompt tokens of recent requests, weighted by age. */
struct PromptDemand
{
  /** Tokens of short prompts. */
  double mShortPromptDemand = 0.0;
  /** Tokens of long prompts. */
  double mLongPromptDemand = 0.0;
};

/** Prefill that was measured at the backend servers of a pool. */
struct PrefillSample
{
  /** Prompt tokens whose prefill was completed. */
  double mTokens = 0.0;
  double mElapsedMs = 0.0;

  PrefillSample& operator+=(const PrefillSample& aOther)
  {
    mTokens += aOther.mTokens;
    mElapsedMs += aOther.mElapsedMs;
    return *this;
  }
};

/** Measured prefill keyed by the hash of the pool's name; see PoolHash(). */
using PrefillSamples = std::unordered_map<std::uint32_t, PrefillSample>;

/** What an entry, or several entries together, report about the load of the
 * backend servers. */
struct EntryLoad
{
  ServerLoads mServers;
  PriorityLoads mPriorities;
  PromptDemand mDemand;
  PrefillSamples mPrefill;

  /** Adds the load of other entries. */
  EntryLoad& operator+=(const EntryLoad& aOther);
};

} // namespace medlarkeel
