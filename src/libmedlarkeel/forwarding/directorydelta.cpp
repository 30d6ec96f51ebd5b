#include "directorydelta.h"

#include <utility>

namespace medlarkeel {

namespace {

/** Time for which a change is relayed. It spans several report intervals of a
 * large fleet, since reports can be lost. */
constexpr Microseconds kRelayPeriod = std::chrono::seconds(3);

/** Number of changes that fit into a report together with its other content. */
constexpr std::size_t kMaximumRelayedChanges = 40;

/** Splits the changes of an answer into deltas that fit into a report. Changes
 * of one position stay together. */
std::vector<DirectoryDelta>
Split(const DirectoryPosition& aFrom,
      const DirectoryPosition& aTo,
      std::vector<RelayedChange>&& aChanges)
{
  std::vector<DirectoryDelta> parts{ { aFrom, aTo, {} } };
  for (RelayedChange& change : aChanges) {
    DirectoryDelta& part = parts.back();
    if (part.mChanges.size() >= kMaximumRelayedChanges) {
      const DirectoryPosition last = PositionOf(part.mChanges.back());
      if (last.IsAfter(part.mFrom) && PositionOf(change).IsAfter(last)) {
        part.mTo = last;
        parts.push_back({ last, aTo, {} });
      }
    }
    parts.back().mChanges.push_back(std::move(change));
  }
  return parts;
}

} // namespace

DirectoryPosition
PositionOf(const RelayedChange& aChange)
{
  return std::visit([](const auto& aKind) { return aKind.mPosition; }, aChange);
}

void
DirectoryDeltaLog::Restart(const DirectoryPosition& aPosition)
{
  mBatches.clear();
  mChangeCount = 0;
  mBatches.push_back({ { aPosition, aPosition, {} }, Timestamp() });
}

std::vector<DirectoryDelta>
DirectoryDeltaLog::Add(const DirectoryPosition& aFrom,
                       const DirectoryPosition& aTo,
                       std::vector<RelayedChange> aChanges,
                       Timestamp aNow)
{
  const bool isGap = mBatches.empty() || mBatches.back().mDelta.mTo != aFrom;
  if (isGap) {
    Restart(aFrom);
  }
  std::vector<DirectoryDelta> parts = Split(aFrom, aTo, std::move(aChanges));
  const std::size_t older = mBatches.size();
  for (const DirectoryDelta& part : parts) {
    mChangeCount += part.mChanges.size();
    mBatches.push_back({ part, aNow });
  }
  std::size_t removed = 0;
  while (mBatches.size() > 1 &&
         (mChangeCount > kMaximumRelayedChanges ||
          mBatches.front().mReceivedAt + kRelayPeriod < aNow)) {
    mChangeCount -= mBatches.front().mDelta.mChanges.size();
    mBatches.pop_front();
    removed += 1;
  }
  parts.resize(removed > older ? removed - older : 0);
  return parts;
}

std::optional<DirectoryDelta>
DirectoryDeltaLog::RecentDelta(Timestamp aNow) const
{
  const bool isAvailable =
    !mBatches.empty() && mChangeCount <= kMaximumRelayedChanges &&
    mBatches.back().mDelta.mTo.IsAfter(mBatches.front().mDelta.mFrom) &&
    aNow <= mBatches.back().mReceivedAt + kRelayPeriod;
  if (!isAvailable) {
    return std::nullopt;
  }
  DirectoryDelta delta{ mBatches.front().mDelta.mFrom,
                        mBatches.back().mDelta.mTo,
                        {} };
  for (const Batch& batch : mBatches) {
    const std::vector<RelayedChange>& changes = batch.mDelta.mChanges;
    delta.mChanges.insert(delta.mChanges.end(), changes.begin(), changes.end());
  }
  return delta;
}

} // namespace medlarkeel
