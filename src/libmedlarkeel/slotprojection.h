#pragma once

#include "types.h"

#include <cstddef>
#include <vector>

namespace medlarkeel {

/** Predicts when slots come free if work is started in a given order. */
class SlotProjection
{
public:
  /**
   * @param aBusyUntil When each taken slot is expected to come free.
   * @param aLimit Slots in all; at least 1 is used.
   */
  SlotProjection(std::vector<Timestamp> aBusyUntil,
                 std::size_t aLimit,
                 Timestamp aNow);

  /** @return When the next work would start. */
  Timestamp NextStart() const;

  /** Gives the slot that comes free first to work of this length. */
  void Place(Microseconds aLength);

  /** Places work in the given order. */
  void PlaceAll(const std::vector<Microseconds>& aLengths);

private:
  /** A heap with the earliest time in front. */
  std::vector<Timestamp> mFreeAt;
};

} // namespace medlarkeel
