#pragma once

#include "../types.h"
#include "directoryposition.h"

namespace medlarkeel {

/**
 * Follows the era of the directory: the highest one that this entry has read or
 * heard of from other entries, and since when it is known in the fleet.
 */
class EraTracker
{
public:
  /** @param aHoldTime Time after the beginning of an era in which what was
   * withdrawn before isn't taken from the copy. */
  explicit EraTracker(Milliseconds aHoldTime)
    : mHoldTime(aHoldTime)
  {
  }

  /** @return The highest era known; 0 before any was read or heard of. */
  DirectoryEra Current() const { return mCurrent; }

  /**
   * Records an era that was read or heard of.
   *
   * @param aBeganAt When it became known first, as far as the source knows.
   * @return Whether it is newer than the current one, and becomes current.
   */
  bool Record(DirectoryEra aEra, Timestamp aBeganAt);

  /** Records that the current era was read. */
  void RecordRead() { mRead = mCurrent; }

  /** @return The era of the last full read. */
  DirectoryEra LastRead() const { return mRead; }

  /** @return Whether the current era was heard of and not read yet. */
  bool IsReadDue() const { return mRead != mCurrent; }

  /** @return Time since the current era became known first. */
  Milliseconds Age(Timestamp aNow) const;

  /** @return End of the time in which withdrawn items are withheld. */
  Timestamp HoldUntil() const { return mBeganAt + mHoldTime; }

private:
  Milliseconds mHoldTime;
  DirectoryEra mCurrent;
  DirectoryEra mRead;
  Timestamp mBeganAt;
};

} // namespace medlarkeel
