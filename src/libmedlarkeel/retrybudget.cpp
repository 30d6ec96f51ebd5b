#include "retrybudget.h"

#include <algorithm>

namespace medlarkeel {

void
RetryBudget::RecordFirstAttempt()
{
  mBalance = std::min(mBalance + mSettings.mShare, mSettings.mReserve);
}

bool
RetryBudget::TryTakeRetry()
{
  if (mBalance < 1.0) {
    ++mRefused;
    return false;
  }
  mBalance -= 1.0;
  return true;
}

} // namespace medlarkeel
