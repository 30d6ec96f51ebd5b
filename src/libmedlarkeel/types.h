#pragma once

#include "strongid.h"

#include <chrono>
#include <cstdint>

namespace medlarkeel {

using TeamName = StrongId<struct TeamNameTag>;
using KeyId = StrongId<struct KeyIdTag>;
using ClassName = StrongId<struct ClassNameTag>;
using ZoneName = StrongId<struct ZoneNameTag>;
using RegionName = StrongId<struct RegionNameTag>;
using PoolName = StrongId<struct PoolNameTag>;
using AdapterName = StrongId<struct AdapterNameTag>;
using InstanceId = StrongId<struct InstanceIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;

/**
 * Time since boot of the own machine, suspension included. The core never
 * reads it: every decision takes the present time as an argument.
 */
struct BootClock
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true; // NOLINT: name set by <chrono>
};

using Timestamp = BootClock::time_point;
using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/** Rank of a service tier; 0 is served first. */
struct TierRank
{
  int mValue = 0;

  friend bool operator==(TierRank aLeft, TierRank aRight)
  {
    return aLeft.mValue == aRight.mValue;
  }
  friend bool operator<(TierRank aLeft, TierRank aRight)
  {
    return aLeft.mValue < aRight.mValue;
  }
};

/**
 * Identifies one life of a process: a restart has a higher value. Made from
 * the wall clock at start, so it rises without a disk.
 */
struct Incarnation
{
  std::uint64_t mValue = 0;

  friend bool operator==(Incarnation aLeft, Incarnation aRight)
  {
    return aLeft.mValue == aRight.mValue;
  }
  friend bool operator<(Incarnation aLeft, Incarnation aRight)
  {
    return aLeft.mValue < aRight.mValue;
  }
};

} // namespace medlarkeel
