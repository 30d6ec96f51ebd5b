#pragma once

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace medlarkeel {

/** What a first token told about a backend server's prefix cache. */
enum class CacheEvidence
{
  /** Nothing was expected to be cached; the prompt's blocks are now. */
  Learnt,
  /** The prefill was as short as the cached blocks promised. */
  Confirmed,
  /** The prefill was longer than the cached blocks promised. */
  Missed,
  /** Too many misses in a row: all that was known was forgotten. */
  Forgotten
};

/**
 * What one entry believes to be in the prefix caches of backend servers. It
 * learns only from prefill times that it saw itself: a prompt that was
 * computed is cached; a prefill that takes longer than the cached blocks
 * promise is a miss; misses in a row mean that the cache was lost without a
 * signal. Each server takes a table of fixed size in which a new block takes
 * the place of an old one. The hash of a block covers all blocks before it, so
 * the last known one tells how long the cached prefix is.
 */
class PrefixCacheView
{
public:
  /**
   * @param aId The backend server.
   * @param aBlocks Hashes of the prompt's blocks, in order.
   * @return Leading blocks that are believed to be cached.
   */
  std::size_t MatchedBlocks(const InstanceId& aId,
                            const std::vector<std::uint64_t>& aBlocks) const;

  /**
   * Takes the time that a prefill took, from commit to first token.
   *
   * @param aPool Pool of the server; prefill speed is compared inside it.
   * @param aId The backend server.
   * @param aBlocks Hashes of the prompt's blocks, in order.
   * @param aPrefill Time from commit to the first token.
   * @return What it told about the cache.
   */
  CacheEvidence RecordPrefill(const PoolName& aPool,
                              const InstanceId& aId,
                              const std::vector<std::uint64_t>& aBlocks,
                              Microseconds aPrefill);

  /** @return Time to compute one block in a pool, in microseconds. */
  double BlockCost(const PoolName& aPool) const;

  /** Forgets what is believed of one server, after a restart. */
  void Forget(const InstanceId& aId);

  /** @return Bytes that the tables take, without the map's own nodes. */
  std::size_t TableBytes() const;

private:
  struct ServerCache
  {
    /** Block hashes, each at the place that its value gives; 0 is free. */
    std::vector<std::uint64_t> mTable;
    int mMissesInRow = 0;
  };

  void Insert(ServerCache& aCache, const std::vector<std::uint64_t>& aBlocks);
  void LearnCost(const PoolName& aPool, double aCost);

  std::map<InstanceId, ServerCache> mServers;
  std::map<PoolName, double> mBlockCosts;
};

} // namespace medlarkeel
