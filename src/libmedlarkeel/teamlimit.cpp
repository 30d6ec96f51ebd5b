#include "teamlimit.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Bound on rates and bursts, so that no sum overflows. */
constexpr double kLargestLimit = 1e9;
/** Burst below which a slice is not worth its own bucket. */
constexpr MicroTokens kSmallestSliceBurst = 5 * kWholeToken;

MicroTokens
ToMicroTokens(double aTokens)
{
  const double bounded = std::clamp(aTokens, 0.0, kLargestLimit);
  return static_cast<MicroTokens>(bounded * static_cast<double>(kWholeToken));
}

MicroTokens
Part(MicroTokens aWhole, std::uint32_t aParts, std::uint32_t aIndex)
{
  const MicroTokens even = aWhole / aParts;
  return even + (aIndex < aWhole % aParts ? 1 : 0);
}

} // namespace

SlicedLimit::SlicedLimit(const TeamLimit& aLimit, std::uint32_t aSlices)
  : mPerSecond(ToMicroTokens(aLimit.mRate))
  , mBurst(ToMicroTokens(aLimit.mBurst))
  , mSlices(aSlices)
{
  const MicroTokens most = mBurst / kSmallestSliceBurst;
  mActive = static_cast<std::uint32_t>(
    std::clamp<MicroTokens>(most, 1, static_cast<MicroTokens>(mSlices)));
}

SliceLimit
SlicedLimit::Slice(std::uint32_t aIndex) const
{
  if (aIndex >= mActive) {
    return {};
  }
  SliceLimit slice;
  slice.mPerSecond = Part(mPerSecond, mActive, aIndex);
  slice.mBurst = Part(mBurst / kWholeToken, mActive, aIndex) * kWholeToken;
  if (aIndex == 0) {
    slice.mBurst += mBurst % kWholeToken;
  }
  return slice;
}

} // namespace medlarkeel
