#include "sliceledger.h"

#include <algorithm>

namespace medlarkeel {

SliceLedger::SliceLedger(SliceLimit aLimit, Timestamp aSince)
  : mLimit(aLimit)
  , mRaisedRate(aLimit.mPerSecond)
  , mRaiseAt(aSince)
  , mBucket(aSince)
{
}

void
SliceLedger::AccrueTo(Timestamp aNow)
{
  if (mLimit.mPerSecond != mRaisedRate && mRaiseAt <= aNow) {
    mBucket.Accrue(mLimit.mPerSecond, Capacity(), mRaiseAt);
    mLimit.mPerSecond = mRaisedRate;
  }
  mBucket.Accrue(mLimit.mPerSecond, Capacity(), aNow);
}

void
SliceLedger::Settle(Timestamp aNow)
{
  auto lease = mLeases.begin();
  while (lease != mLeases.end() && lease->mExpiresAt <= aNow) {
    AccrueTo(lease->mExpiresAt);
    mOnLease -= lease->mTokens;
    ++lease;
  }
  mLeases.erase(mLeases.begin(), lease);
  AccrueTo(aNow);
}

void
SliceLedger::RestartAt(Timestamp aSince)
{
  mBucket = TokenBucket(aSince);
}

void
SliceLedger::ChangeLimit(SliceLimit aLimit, Timestamp aNow, Timestamp aRaiseAt)
{
  Settle(aNow);
  mRaisedRate = aLimit.mPerSecond;
  mRaiseAt = aRaiseAt;
  mLimit.mPerSecond = std::min(mLimit.mPerSecond, mRaisedRate);
  mLimit.mBurst = aLimit.mBurst;
  mBucket.Clamp(Capacity());
}

void
SliceLedger::InsertLease(const LeaseRecord& aLease)
{
  const auto place =
    std::upper_bound(mLeases.begin(),
                     mLeases.end(),
                     aLease.mExpiresAt,
                     [](Timestamp aTime, const LeaseRecord& aOther) {
                       return aTime < aOther.mExpiresAt;
                     });
  mLeases.insert(place, aLease);
  mOnLease += aLease.mTokens;
}

void
SliceLedger::Lend(std::uint64_t aLeaseId,
                  MicroTokens aTokens,
                  Timestamp aExpiresAt)
{
  mBucket.Take(aTokens);
  InsertLease(LeaseRecord{ aLeaseId, aTokens, aExpiresAt });
}

std::optional<MicroTokens>
SliceLedger::Lease(std::uint64_t aLeaseId) const
{
  for (const LeaseRecord& lease : mLeases) {
    if (lease.mId == aLeaseId) {
      return lease.mTokens;
    }
  }
  return std::nullopt;
}

void
SliceLedger::TakeBack(std::uint64_t aLeaseId, MicroTokens aUnspent)
{
  const auto lease = std::find_if(
    mLeases.begin(), mLeases.end(), [&](const LeaseRecord& aOther) {
      return aOther.mId == aLeaseId;
    });
  if (lease == mLeases.end()) {
    return;
  }
  mBucket.PutBack(std::clamp<MicroTokens>(aUnspent, 0, lease->mTokens));
  mOnLease -= lease->mTokens;
  mLeases.erase(lease);
  mBucket.Clamp(Capacity());
}

void
SliceLedger::Receive(MicroTokens aLevel,
                     MicroTokens aOnLease,
                     Timestamp aLeaseEnd)
{
  if (aOnLease > 0) {
    InsertLease(LeaseRecord{ 0, aOnLease, aLeaseEnd });
  }
  mBucket.PutBack(std::max<MicroTokens>(aLevel, 0));
  mBucket.Clamp(Capacity());
}

bool
SliceLedger::IsFull() const
{
  return mLeases.empty() && mBucket.Level() >= mLimit.mBurst &&
         mLimit.mPerSecond == mRaisedRate;
}

} // namespace medlarkeel
