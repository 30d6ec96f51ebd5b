#pragma once

#include "../types.h"
#include "promptdescription.h"

#include <cstdint>
#include <unordered_map>

namespace medlarkeel {

/** How long a server is expected to keep a part that isn't used again. */
struct PartLifetime
{
  /** Age up to which the part counts as cached for certain. */
  Microseconds mCertain{ 0 };
  /** Age from which the part counts as evicted. */
  Microseconds mMaximum{ 0 };

  /** @return Probability that a part is still cached, from 0 to 1. It falls
   * linearly between mCertain and mMaximum. */
  double ProbabilityAt(Microseconds aAge) const;
};

/** Memory of an engine and what uses it. */
struct EngineMemoryUse
{
  /** Tokens that running requests and cached parts can take together. */
  double mMemoryTokens = 0.0;
  /** Tokens of the prompts of running requests. */
  double mRunningTokens = 0.0;
  /** Prompt tokens that the engine reads per second. */
  double mPrefillTokensPerSecond = 0.0;
};

/**
 * Estimates the lifetime of a part in an engine that evicts the least recently
 * used parts: the time in which it reads as many tokens as its running requests
 * leave room for. Servers differ from the mean, so the probability falls from
 * half to one and a half of that time.
 */
PartLifetime
EvictionLifetime(const EngineMemoryUse& aUse);

/** The prompt parts that one server was sent, and when each was last used. */
class CachedParts
{
public:
  /** @return The time of the previous use of the part; the start of the clock
   * if it isn't known. */
  Timestamp RecordUse(std::uint64_t aPart, Timestamp aNow);

  /** Records a use that a peer has reported. */
  void RecordReportedUse(std::uint64_t aPart, Timestamp aNow);

  /**
   * Decides whether a use has to be reported to the peers. A part in constant
   * use is reported again and again; otherwise peers would take it for evicted.
   * Reports of peers count as well: all entries know them.
   *
   * @param aInterval Time after a report in which the part isn't reported
   * again.
   * @return Whether a report is due; it then counts as made.
   */
  bool TakeDueReport(std::uint64_t aPart,
                     Microseconds aInterval,
                     Timestamp aNow);

  /** Drops all records if there are too many of them. */
  void LimitSize();

  /** @return Expected number of the prompt's shared tokens that the server has
   * cached. */
  double CachedTokens(const PromptDescription& aPrompt,
                      const PartLifetime& aLifetime,
                      Timestamp aNow) const;

private:
  struct Part
  {
    Timestamp mLastUse;
    Timestamp mLastReport;
  };

  /** Parts by the lower half of their ids. */
  std::unordered_map<std::uint32_t, Part> mParts;
};

} // namespace medlarkeel
