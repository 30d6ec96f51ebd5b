#include "eratracker.h"

#include <algorithm>

namespace medlarkeel {

bool
EraTracker::Record(DirectoryEra aEra, Timestamp aBeganAt)
{
  if (mCurrent < aEra) {
    mCurrent = aEra;
    mBeganAt = aBeganAt;
    return true;
  }
  if (aEra == mCurrent) {
    // The earliest time is the same at all entries once it has spread, so that
    // they stop withholding items at the same time.
    mBeganAt = std::min(mBeganAt, aBeganAt);
  }
  return false;
}

Milliseconds
EraTracker::Age(Timestamp aNow) const
{
  return std::chrono::duration_cast<Milliseconds>(aNow - mBeganAt);
}

} // namespace medlarkeel
