#pragma once

#include "limitmessage.h"
#include "types.h"

#include <cstdint>
#include <vector>

namespace medlarkeel {

class SliceLedger;

/**
 * The slices of one team that this instance owns at present, taken as one
 * bucket. Tokens that several slices have in part make a whole one together.
 *
 * A pool is made for one decision; it refers to ledgers of longer life.
 */
class SlicePool
{
public:
  /**
   * @param aLedger Settled up to the present.
   * @param aUntil End of the evidence for owning it.
   */
  void Add(SliceLedger& aLedger, Timestamp aUntil);

  /** Puts the fullest slices first, so that none is full beside empty ones. */
  void SortByLevel();

  bool IsEmpty() const { return mLedgers.empty(); }

  /** @return End of the evidence for all slices. */
  Timestamp Until() const { return mUntil; }

  MicroTokens PerSecond() const { return mPerSecond; }

  /** @return Whole tokens at hand, in micro-tokens. */
  MicroTokens WholeTokens() const { return mLevel - mLevel % kWholeToken; }

  /** @return When the next whole token is due; far off for an empty pool. */
  Timestamp NextTokenAt(Timestamp aNow) const;

  /** Spends tokens, if there are as many. */
  bool Spend(MicroTokens aTokens);

  /** Moves tokens to a lease; there must be as many. */
  void Lend(std::uint64_t aLeaseId, MicroTokens aTokens, Timestamp aEnd);

  /** @return The tokens of a lease that has not ended, or 0. */
  MicroTokens Lease(std::uint64_t aLeaseId) const;

  /** Ends a lease and puts its unspent tokens back. */
  void TakeBack(std::uint64_t aLeaseId, MicroTokens aUnspent);

private:
  std::vector<SliceLedger*> mLedgers;
  Timestamp mUntil = Timestamp::max();
  MicroTokens mLevel = 0;
  MicroTokens mPerSecond = 0;
};

} // namespace medlarkeel
