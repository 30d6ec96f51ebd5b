#include "prefixcacheview.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Block hashes kept per backend server. */
constexpr std::size_t kTableSlots = 1024;

/** Misses in a row after which all is forgotten. */
constexpr int kMissesToForget = 2;

/** Weight of a new sample in the moving average of the block cost. */
constexpr double kCostGain = 0.1;

/** Leading blocks below which a match is too short to be judged by time. */
constexpr std::size_t kMinimumMatch = 4;

} // namespace

std::size_t
PrefixCacheView::MatchedBlocks(const InstanceId& aId,
                               const std::vector<std::uint64_t>& aBlocks) const
{
  const auto found = mServers.find(aId);
  if (found == mServers.end() || found->second.mTable.empty()) {
    return 0;
  }
  const std::vector<std::uint64_t>& table = found->second.mTable;
  std::size_t matched = aBlocks.size();
  while (matched > 0 &&
         table[aBlocks[matched - 1] % kTableSlots] != aBlocks[matched - 1]) {
    --matched;
  }
  return matched;
}

double
PrefixCacheView::BlockCost(const PoolName& aPool) const
{
  const auto found = mBlockCosts.find(aPool);
  return found == mBlockCosts.end() ? 0.0 : found->second;
}

void
PrefixCacheView::LearnCost(const PoolName& aPool, double aCost)
{
  const auto [found, isNew] = mBlockCosts.emplace(aPool, aCost);
  if (!isNew) {
    found->second += kCostGain * (aCost - found->second);
  }
}

void
PrefixCacheView::Insert(ServerCache& aCache,
                        const std::vector<std::uint64_t>& aBlocks)
{
  aCache.mTable.resize(kTableSlots, 0);
  for (const std::uint64_t block : aBlocks) {
    aCache.mTable[block % kTableSlots] = block;
  }
}

CacheEvidence
PrefixCacheView::RecordPrefill(const PoolName& aPool,
                               const InstanceId& aId,
                               const std::vector<std::uint64_t>& aBlocks,
                               Microseconds aPrefill)
{
  if (aBlocks.empty()) {
    return CacheEvidence::Learnt;
  }
  const std::size_t matched = MatchedBlocks(aId, aBlocks);
  const double seen = static_cast<double>(aPrefill.count());
  const double blocks = static_cast<double>(aBlocks.size());
  ServerCache& cache = mServers[aId];
  CacheEvidence evidence = CacheEvidence::Learnt;
  if (matched < kMinimumMatch) {
    const double computed = blocks - static_cast<double>(matched);
    LearnCost(aPool, seen / std::max(1.0, computed));
  } else {
    const double halfway =
      BlockCost(aPool) * (blocks - static_cast<double>(matched) / 2.0);
    const bool isMiss = seen > halfway;
    cache.mMissesInRow = isMiss ? cache.mMissesInRow + 1 : 0;
    evidence = isMiss ? CacheEvidence::Missed : CacheEvidence::Confirmed;
  }
  if (cache.mMissesInRow >= kMissesToForget) {
    cache.mTable.clear();
    cache.mMissesInRow = 0;
    evidence = CacheEvidence::Forgotten;
  }
  Insert(cache, aBlocks);
  return evidence;
}

void
PrefixCacheView::Forget(const InstanceId& aId)
{
  mServers.erase(aId);
}

std::size_t
PrefixCacheView::TableBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [id, cache] : mServers) {
    bytes += cache.mTable.capacity() * sizeof(std::uint64_t);
  }
  return bytes;
}

} // namespace medlarkeel
