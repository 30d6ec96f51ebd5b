#pragma once

#include "limitmessage.h"
#include "types.h"

namespace medlarkeel {

/** A token bucket in exact integers; every rounding loses tokens. */
class TokenBucket
{
public:
  /** Starts empty at the given time. */
  explicit TokenBucket(Timestamp aStart)
    : mSettledAt(aStart)
  {
  }

  /**
   * Accrues tokens up to @p aNow; a time before the last one adds nothing.
   *
   * @param aPerSecond Micro-tokens per second.
   * @param aCapacity Level above which tokens are lost.
   */
  void Accrue(MicroTokens aPerSecond, MicroTokens aCapacity, Timestamp aNow);

  /** Lowers the level to @p aCapacity if it is above. */
  void Clamp(MicroTokens aCapacity);

  /** Takes tokens; the level must suffice. */
  void Take(MicroTokens aTokens) { mLevel -= aTokens; }

  /** Adds tokens that were taken before. */
  void PutBack(MicroTokens aTokens) { mLevel += aTokens; }

  MicroTokens Level() const { return mLevel; }
  Timestamp SettledAt() const { return mSettledAt; }

private:
  MicroTokens mLevel = 0;
  /** Parts of a micro-token, in micro-token microseconds per second. */
  std::int64_t mRemainder = 0;
  Timestamp mSettledAt;
};

/** @return The time in which a rate accrues the given tokens. */
Microseconds
AccrualTime(MicroTokens aTokens, MicroTokens aPerSecond);

} // namespace medlarkeel
