#pragma once

#include "types.h"

#include <cstdint>
#include <optional>

namespace medlarkeel {

/** What one first token says about the backend server. */
enum class PrefillVerdict
{
  Expected,
  Slow,
  /** Enough slow prefills in a row to conclude that the cache is gone. */
  CacheLost
};

/**
 * Speed of the engine as the agent sees it: time to the first token by prompt
 * length, and time between tokens. Each has its own baseline.
 */
class EngineSpeed
{
public:
  /**
   * @param aPromptTokens Tokens of the prompt.
   * @param aElapsed Time from commit to the first token.
   */
  PrefillVerdict RecordFirstToken(std::uint32_t aPromptTokens,
                                  Microseconds aElapsed);

  /** @param aElapsed Time that the tokens took; aCount is above 0. */
  void RecordTokens(std::uint32_t aCount, Microseconds aElapsed);

  /** @return Expected time to the first token; nothing before the first. */
  std::optional<Microseconds> FirstToken(std::uint32_t aPromptTokens) const;

  /** @return Recent time between tokens; nothing before the first. */
  std::optional<Microseconds> TokenGap() const;

  /** @return Whether tokens come far slower than this engine's baseline. */
  bool IsSlow() const;

  /** Forgets the prefill baseline, as after a restart or a cache loss. */
  void ForgetPrefill();

private:
  /** Microseconds per weighted prompt token. */
  std::optional<double> mPrefill;
  int mSlowPrefills = 0;
  int mPrefillSamples = 0;
  /** Microseconds per token, recent and long-term. */
  std::optional<double> mRecentGap;
  double mBaselineGap = 0.0;
  int mGapSamples = 0;
};

} // namespace medlarkeel
