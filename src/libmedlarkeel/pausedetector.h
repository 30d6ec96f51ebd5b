#pragma once

#include "types.h"

#include <optional>

namespace medlarkeel {

/**
 * Finds out that the own process was paused: a loop that should come round at
 * short intervals sees a gap on the boot clock. After a gap, everything that
 * the process knew is old and must be validated again before it acts.
 */
class PauseDetector
{
public:
  /** @param aLimit Longest gap between two observations that is no pause. */
  explicit PauseDetector(Microseconds aLimit)
    : mLimit(aLimit)
  {
  }

  /**
   * Notes one round of the loop; call it before acting.
   *
   * @param aNow The present time.
   * @return The length of the gap if the process was paused.
   */
  std::optional<Microseconds> Observe(Timestamp aNow);

  /** @return Whether a pause was seen and not yet followed by Revalidated(). */
  bool MustRevalidate() const { return mPausedUntil.has_value(); }

  /** @return End of the last pause that still needs validation. */
  std::optional<Timestamp> PausedUntil() const { return mPausedUntil; }

  /**
   * Ends the need for validation.
   *
   * @param aEvidenceSentAt When the request was sent whose answer confirmed
   *        the state; evidence from before the end of the pause doesn't count.
   * @return Whether the state counts as validated.
   */
  bool Revalidated(Timestamp aEvidenceSentAt);

private:
  Microseconds mLimit;
  std::optional<Timestamp> mLast;
  std::optional<Timestamp> mPausedUntil;
};

} // namespace medlarkeel
