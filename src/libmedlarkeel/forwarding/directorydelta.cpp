#include "directorydelta.h"

#include <utility>

namespace medlarkeel {

namespace {

/** Time for which a change is relayed. It spans several report intervals of a
 * large fleet, since reports can be lost. */
constexpr Microseconds kRelayPeriod = std::chrono::seconds(3);

/** Number of changes that fit into a report together with its other content. */
constexpr std::size_t kMaximumRelayedChanges = 40;

} // namespace

void
DirectoryDeltaLog::Restart(const DirectoryPosition& aPosition)
{
  mBatches.clear();
  mChangeCount = 0;
  mBatches.push_back({ aPosition, aPosition, {}, Timestamp() });
}

void
DirectoryDeltaLog::Add(const DirectoryPosition& aFrom,
                       const DirectoryPosition& aTo,
                       std::vector<RelayedChange> aChanges,
                       Timestamp aNow)
{
  const bool isGap = mBatches.empty() || mBatches.back().mTo != aFrom;
  if (isGap) {
    Restart(aFrom);
  }
  mChangeCount += aChanges.size();
  mBatches.push_back({ aFrom, aTo, std::move(aChanges), aNow });
  while (mBatches.size() > 1 &&
         (mChangeCount > kMaximumRelayedChanges ||
          mBatches.front().mReceivedAt + kRelayPeriod < aNow)) {
    mChangeCount -= mBatches.front().mChanges.size();
    mBatches.pop_front();
  }
}

std::optional<DirectoryDelta>
DirectoryDeltaLog::RecentDelta(Timestamp aNow) const
{
  const bool isAvailable =
    !mBatches.empty() && mChangeCount <= kMaximumRelayedChanges &&
    mBatches.back().mTo.IsAfter(mBatches.front().mFrom) &&
    aNow <= mBatches.back().mReceivedAt + kRelayPeriod;
  if (!isAvailable) {
    return std::nullopt;
  }
  DirectoryDelta delta{ mBatches.front().mFrom, mBatches.back().mTo, {} };
  for (const Batch& batch : mBatches) {
    delta.mChanges.insert(
      delta.mChanges.end(), batch.mChanges.begin(), batch.mChanges.end());
  }
  return delta;
}

} // namespace medlarkeel
