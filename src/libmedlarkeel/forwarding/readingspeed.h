#pragma once

#include "../types.h"

namespace medlarkeel {

/** How the reading speed of a pool is estimated. */
struct ReadingSpeedSettings
{
  /** Prompt tokens per millisecond that are assumed at the start: between the
   * slowest and the fastest engines of today's deployments. */
  double mAssumedTokensPerMs = 64.0;
  /** Prompt tokens that the assumption weighs as much as. */
  double mAssumedWeightTokens = 200'000.0;
  /** Observed tokens after which older observations count half. */
  double mMemoryTokens = 1'000'000.0;
  /** Least tokens ahead of a first event that tell something: below, the time
   * is that of travel and single steps. */
  double mLeastTokens = 8192.0;
  /** Slowest speed that is believed: a server that hangs tells nothing about
   * the others. */
  double mLeastTokensPerMs = 10.0;
};

/**
 * Estimates how fast the backend servers of a pool read prompts, from the time
 * to the first event and the tokens that were to be read before it.
 */
class ReadingSpeed
{
public:
  explicit ReadingSpeed(const ReadingSpeedSettings& aSettings);

  /**
   * Notes a first event.
   *
   * @param aTokens Prompt tokens that were to be read before it.
   * @param aElapsed Time from sending the request to its first event.
   */
  void Record(double aTokens, Microseconds aElapsed);

  /** @return Prompt tokens that a server reads in a millisecond. */
  double TokensPerMs() const;

  /** @return How long a server reads that many tokens. */
  Milliseconds TimeFor(double aTokens) const;

private:
  ReadingSpeedSettings mSettings;
  double mTokens;
  double mElapsedMs;
};

} // namespace medlarkeel
