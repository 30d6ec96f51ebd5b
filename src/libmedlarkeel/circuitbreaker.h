#pragma once

#include "types.h"

#include <cstdint>
#include <random>

namespace medlarkeel {

/** When a breaker opens and for how long. */
struct BreakerSettings
{
  /** Failures in a row that open the breaker. */
  int mFailuresToOpen = 5;
  /** First time that it stays open; doubles with every failed trial. */
  Microseconds mOpenTime = std::chrono::seconds(1);
  Microseconds mMaxOpenTime = std::chrono::seconds(30);
  /** Time after which a trial without an outcome counts as failed. */
  Microseconds mTrialTimeout = std::chrono::seconds(10);
};

enum class BreakerState
{
  Closed,
  Open,
  HalfOpen
};

/**
 * Keeps requests away from one backend server after failures in a row, and
 * lets a single request through to find out whether it has recovered. Open
 * times carry jitter, so that many entries don't try at the same moment.
 */
class CircuitBreaker
{
public:
  /**
   * @param aSettings Limits and times.
   * @param aSeed Seed of the jitter; unlike for each entry and agent.
   */
  CircuitBreaker(const BreakerSettings& aSettings, std::uint64_t aSeed);

  /** @return Whether a request may be sent at aNow. */
  bool Allows(Timestamp aNow) const;

  /** Notes that a request was sent; the first one after opening is the trial.
   */
  void RecordSent(Timestamp aNow);

  /** Notes a request that succeeded. */
  void RecordSuccess();

  /** Notes a request that failed for a reason that lies with the server. */
  void RecordFailure(Timestamp aNow);

  BreakerState State() const { return mState; }

private:
  void Open(Timestamp aNow);

  BreakerSettings mSettings;
  std::minstd_rand mRandom;
  BreakerState mState = BreakerState::Closed;
  int mFailures = 0;
  int mOpenings = 0;
  Timestamp mOpenUntil;
  Timestamp mTrialSince;
};

} // namespace medlarkeel
