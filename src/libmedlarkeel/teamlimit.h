#pragma once

#include "limitmessage.h"
#include "types.h"

#include <cstdint>

namespace medlarkeel {

/** Rate and burst of a team over all instances together. */
struct TeamLimit
{
  TeamName mTeam;
  /** Admissions per second. */
  double mRate = 0.0;
  /** Admissions at once. */
  double mBurst = 0.0;
};

/** Rate and burst of one slice of a team's limit. */
struct SliceLimit
{
  MicroTokens mPerSecond = 0;
  MicroTokens mBurst = 0;

  friend bool operator==(const SliceLimit& aLeft, const SliceLimit& aRight)
  {
    return aLeft.mPerSecond == aRight.mPerSecond &&
           aLeft.mBurst == aRight.mBurst;
  }
};

/** A team's limit in exact integers, cut into slices. */
class SlicedLimit
{
public:
  SlicedLimit() = default;

  /** Rounds rate and burst down; negative values count as 0. */
  SlicedLimit(const TeamLimit& aLimit, std::uint32_t aSlices);

  /**
   * @return The part of one slice. All slices add up to the limit exactly. A
   *         larger burst makes no slice's burst smaller.
   */
  SliceLimit Slice(std::uint32_t aIndex) const;

  /** @return Slices that hold a part of the burst. */
  std::uint32_t ActiveSlices() const { return mActive; }

  MicroTokens PerSecond() const { return mPerSecond; }
  MicroTokens Burst() const { return mBurst; }

  friend bool operator==(const SlicedLimit& aLeft, const SlicedLimit& aRight)
  {
    return aLeft.mPerSecond == aRight.mPerSecond &&
           aLeft.mBurst == aRight.mBurst && aLeft.mSlices == aRight.mSlices;
  }

private:
  MicroTokens mPerSecond = 0;
  MicroTokens mBurst = 0;
  std::uint32_t mSlices = 1;
  std::uint32_t mActive = 0;
};

} // namespace medlarkeel
