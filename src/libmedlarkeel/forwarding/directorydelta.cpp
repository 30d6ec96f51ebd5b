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
DirectoryDeltaLog::Restart(std::uint64_t aRevision)
{
  mBatches.clear();
  mChangeCount = 0;
  mBatches.push_back({ aRevision, aRevision, {}, Timestamp() });
}

void
DirectoryDeltaLog::Add(std::uint64_t aFrom,
                       std::uint64_t aTo,
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
  const bool isAvailable = !mBatches.empty() &&
                           mChangeCount <= kMaximumRelayedChanges &&
                           mBatches.front().mFrom < mBatches.back().mTo &&
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
