#include "receivebuffers.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Part of the machine's memory that may be in receive buffers. */
constexpr std::size_t kMachineParts = 8;

/** Part of the free bytes that one connection may get. */
constexpr std::size_t kFreeParts = 64;

/** Part of the bound that connections may fill before they are accepted. */
constexpr std::size_t kQueueParts = 4;

} // namespace

std::size_t
ReceiveBufferBound(std::size_t aMachineBytes)
{
  return aMachineBytes / kMachineParts;
}

ReceiveBuffers::ReceiveBuffers(const ReceiveBufferSettings& aSettings)
  : mSettings(aSettings)
{
}

std::size_t
ReceiveBuffers::Next() const
{
  const std::size_t free =
    mSettings.mBoundBytes - std::min(mSettings.mBoundBytes, mTotalBytes);
  return std::clamp(
    free / kFreeParts, mSettings.mSmallestBytes, mSettings.mLargestBytes);
}

std::size_t
ReceiveBuffers::Queued() const
{
  const std::size_t part =
    mSettings.mBoundBytes / kQueueParts / mSettings.mQueueLength;
  return std::clamp(part, mSettings.mSmallestBytes, Next());
}

} // namespace medlarkeel
