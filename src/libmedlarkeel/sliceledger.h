#pragma once

#include "teamlimit.h"
#include "tokenbucket.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace medlarkeel {

/**
 * The owner's account of one slice: a bucket and the tokens on lease.
 *
 * Level and leases together never pass the slice's burst, so that leased
 * tokens that are spent late can't add up with a bucket that filled meanwhile.
 */
class SliceLedger
{
public:
  /** Starts with an empty bucket. */
  SliceLedger(SliceLimit aLimit, Timestamp aSince);

  /** Accrues tokens and ends leases up to @p aNow. */
  void Settle(Timestamp aNow);

  /** Drops the level for an ownership that began anew. */
  void RestartAt(Timestamp aSince);

  /**
   * Changes rate and burst. No tokens are added.
   *
   * @param aRaiseAt From when a higher rate counts.
   */
  void ChangeLimit(SliceLimit aLimit, Timestamp aNow, Timestamp aRaiseAt);

  /** Takes tokens for good; the level must suffice. */
  void Take(MicroTokens aTokens) { mBucket.Take(aTokens); }

  /** Moves tokens to a lease that ends at @p aExpiresAt. */
  void Lend(std::uint64_t aLeaseId, MicroTokens aTokens, Timestamp aExpiresAt);

  /** @return The tokens of a lease that has not ended. */
  std::optional<MicroTokens> Lease(std::uint64_t aLeaseId) const;

  /** Ends a lease and puts its unspent tokens back. */
  void TakeBack(std::uint64_t aLeaseId, MicroTokens aUnspent);

  /** Takes over what the previous owner handed over. */
  void Receive(MicroTokens aLevel, MicroTokens aOnLease, Timestamp aLeaseEnd);

  MicroTokens PerSecond() const { return mLimit.mPerSecond; }
  MicroTokens OnLease() const { return mOnLease; }
  MicroTokens Level() const { return mBucket.Level(); }
  Timestamp SettledAt() const { return mBucket.SettledAt(); }

  /** @return Whether a new ledger would say the same. */
  bool IsFull() const;

private:
  struct LeaseRecord
  {
    std::uint64_t mId = 0;
    MicroTokens mTokens = 0;
    Timestamp mExpiresAt;
  };

  void AccrueTo(Timestamp aNow);
  void InsertLease(const LeaseRecord& aLease);
  MicroTokens Capacity() const { return mLimit.mBurst - mOnLease; }

  SliceLimit mLimit;
  MicroTokens mRaisedRate = 0;
  Timestamp mRaiseAt;
  TokenBucket mBucket;
  /** In the order of their ends. */
  std::vector<LeaseRecord> mLeases;
  MicroTokens mOnLease = 0;
};

} // namespace medlarkeel
