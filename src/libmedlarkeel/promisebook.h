#pragma once

#include "types.h"

#include <cstdint>
#include <vector>

namespace medlarkeel {

/**
 * The promises that this instance has given: until their ends it acts as the
 * owner of nothing by a newer list, and clears no heir of a newer list.
 *
 * A new incarnation doesn't know what the one before it promised, so it is
 * bound for the life of a promise after its start.
 */
class PromiseBook
{
public:
  /**
   * @param aLife Life of a promise, from its giving.
   * @param aClockDrift Added, since the asker counts on its own clock.
   */
  PromiseBook(Microseconds aLife, Microseconds aClockDrift);

  /** Notes the start of this incarnation, once. */
  void Start(Timestamp aNow);

  Timestamp StartedAt() const { return mStartedAt; }

  /**
   * Gives or renews a promise.
   *
   * @param aId Chosen by the asker; the same for renewals.
   * @param aRevision The newest list of the asker.
   * @return Whether it is given: not when a newer list has been cleared.
   */
  bool Give(std::uint64_t aId, std::uint64_t aRevision, Timestamp aNow);

  /** Ends a promise that its asker needs no more. */
  void End(std::uint64_t aId);

  /** Forbids all further promises by lists older than the given one. */
  void RaiseFloor(std::uint64_t aRevision);

  /** @return How long promises by lists older than the given one may last. */
  Microseconds BoundFor(std::uint64_t aRevision, Timestamp aNow) const;

private:
  struct GivenPromise
  {
    std::uint64_t mId = 0;
    std::uint64_t mRevision = 0;
    Timestamp mEndsAt;
  };

  Microseconds mLife;
  std::vector<GivenPromise> mGiven;
  std::uint64_t mFloor = 0;
  Timestamp mStartedAt = Timestamp::max();
};

} // namespace medlarkeel
