#include "slicepool.h"

#include "sliceledger.h"

#include <algorithm>

namespace medlarkeel {

void
SlicePool::Add(SliceLedger& aLedger, Timestamp aUntil)
{
  mLedgers.push_back(&aLedger);
  mUntil = std::min(mUntil, aUntil);
  mLevel += aLedger.Level();
  mPerSecond += aLedger.PerSecond();
}

void
SlicePool::SortByLevel()
{
  std::sort(mLedgers.begin(),
            mLedgers.end(),
            [](const SliceLedger* aLeft, const SliceLedger* aRight) {
              return aLeft->Level() > aRight->Level();
            });
}

Timestamp
SlicePool::NextTokenAt(Timestamp aNow) const
{
  return aNow + AccrualTime(kWholeToken - mLevel, mPerSecond);
}

bool
SlicePool::Spend(MicroTokens aTokens)
{
  if (mLevel < aTokens) {
    return false;
  }
  mLevel -= aTokens;
  for (SliceLedger* ledger : mLedgers) {
    const MicroTokens part = std::min(aTokens, ledger->Level());
    ledger->Take(part);
    aTokens -= part;
  }
  return true;
}

void
SlicePool::Lend(std::uint64_t aLeaseId, MicroTokens aTokens, Timestamp aEnd)
{
  mLevel -= aTokens;
  for (SliceLedger* ledger : mLedgers) {
    const MicroTokens part = std::min(aTokens, ledger->Level());
    if (part > 0) {
      ledger->Lend(aLeaseId, part, aEnd);
    }
    aTokens -= part;
  }
}

MicroTokens
SlicePool::Lease(std::uint64_t aLeaseId) const
{
  MicroTokens sum = 0;
  for (const SliceLedger* ledger : mLedgers) {
    sum += ledger->Lease(aLeaseId).value_or(0);
  }
  return sum;
}

void
SlicePool::TakeBack(std::uint64_t aLeaseId, MicroTokens aUnspent)
{
  for (SliceLedger* ledger : mLedgers) {
    const MicroTokens lent = ledger->Lease(aLeaseId).value_or(0);
    const MicroTokens part = std::clamp<MicroTokens>(aUnspent, 0, lent);
    ledger->TakeBack(aLeaseId, part);
    aUnspent -= part;
  }
}

} // namespace medlarkeel
