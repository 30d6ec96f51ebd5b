#include "directorynews.h"

#include <utility>

namespace medlarkeel {

namespace {

/** Time for which news is repeated: several reports of a large fleet, as some
 * are lost. */
constexpr Microseconds kTold = std::chrono::seconds(3);

/** Changes that fit into a report beside the rest of it. */
constexpr std::size_t kMostChanges = 40;

} // namespace

void
DirectoryNewsLog::Restart(std::uint64_t aRevision)
{
  mBatches.clear();
  mChangeCount = 0;
  mBatches.push_back({ aRevision, aRevision, {}, Timestamp() });
}

void
DirectoryNewsLog::Add(std::uint64_t aFrom,
                      std::uint64_t aTo,
                      std::vector<ToldChange> aChanges,
                      Timestamp aNow)
{
  const bool isGap = mBatches.empty() || mBatches.back().mTo != aFrom;
  if (isGap) {
    Restart(aFrom);
  }
  mChangeCount += aChanges.size();
  mBatches.push_back({ aFrom, aTo, std::move(aChanges), aNow });
  while (mBatches.size() > 1 && (mChangeCount > kMostChanges ||
                                 mBatches.front().mLearnedAt + kTold < aNow)) {
    mChangeCount -= mBatches.front().mChanges.size();
    mBatches.pop_front();
  }
}

std::optional<DirectoryNews>
DirectoryNewsLog::News(Timestamp aNow) const
{
  const bool isTold = !mBatches.empty() && mChangeCount <= kMostChanges &&
                      mBatches.front().mFrom < mBatches.back().mTo &&
                      aNow <= mBatches.back().mLearnedAt + kTold;
  if (!isTold) {
    return std::nullopt;
  }
  DirectoryNews news{ mBatches.front().mFrom, mBatches.back().mTo, {} };
  for (const Batch& batch : mBatches) {
    news.mChanges.insert(
      news.mChanges.end(), batch.mChanges.begin(), batch.mChanges.end());
  }
  return news;
}

} // namespace medlarkeel
