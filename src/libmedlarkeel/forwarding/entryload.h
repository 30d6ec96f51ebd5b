#pragma once

#include <cstdint>
#include <unordered_map>

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

/** What an entry, or several entries together, report about the load of the
 * backend servers. */
struct EntryLoad
{
  ServerLoads mServers;
  PromptDemand mDemand;

  /** Adds the load of other entries. */
  EntryLoad& operator+=(const EntryLoad& aOther);
};

} // namespace medlarkeel
