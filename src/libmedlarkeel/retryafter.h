#pragma once

#include "types.h"

#include <cstdint>
#include <optional>
#include <random>

namespace medlarkeel {

/** How refused callers are asked to come back. */
struct RetryAfterSettings
{
  Microseconds mMinimum = std::chrono::milliseconds(500);
  Microseconds mMaximum = std::chrono::seconds(60);
  /** Share of the served rate that callers who come back may take. */
  double mShare = 0.5;
  /** Least rate that is planned with, in requests per second. */
  double mMinimumRate = 1.0;
  /** Time over which the served rate is remembered. */
  Microseconds mMemory = std::chrono::seconds(60);
};

/**
 * Spreads refused callers over time. Each refusal takes the next place in a
 * plan that is filled no faster than a share of the rate served lately, with
 * jitter inside the place. Callers that were all refused at once so come back
 * one after the other and not as a wave.
 */
class RetryAfterPlanner
{
public:
  /**
   * @param aSettings Limits and shares.
   * @param aSeed Seed of the jitter.
   */
  RetryAfterPlanner(const RetryAfterSettings& aSettings, std::uint64_t aSeed);

  /** Notes a request that was served; the plan follows their rate. */
  void RecordServed(Timestamp aNow);

  /**
   * Plans when one refused caller comes back.
   *
   * @param aNow The present time.
   * @return The time to wait; at most the maximum.
   */
  Milliseconds Plan(Timestamp aNow);

  /** @return The rate served lately, in requests per second. */
  double ServedRate(Timestamp aNow) const;

private:
  double Jitter();

  RetryAfterSettings mSettings;
  std::mt19937_64 mRandom;
  /** Served requests, each counting less with its age. */
  double mServed = 0.0;
  std::optional<Timestamp> mFirstServedAt;
  Timestamp mServedAt;
  Timestamp mNextPlace;
};

} // namespace medlarkeel
