#pragma once

#include "decayinghistogram.h"
#include "enginespeed.h"
#include "environmentdocument.h"
#include "slottable.h"

#include <cstdint>
#include <map>

namespace medlarkeel {

/**
 * Time that work takes at one backend server. The output length of a model's
 * answer is unknown beforehand: it is estimated by a running quantile of its
 * class and corrected as tokens come out. Without samples it is 0, so that
 * nothing is refused on a guess.
 */
class ServiceEstimator
{
public:
  void SetKind(PoolKind aKind) { mKind = aKind; }

  EngineSpeed& Speed() { return mSpeed; }
  const EngineSpeed& Speed() const { return mSpeed; }

  /** Learns from work that ran to its end. */
  void RecordSuccess(const Slot& aSlot, Timestamp aNow);

  /** @return Whether the length of the class's work has been seen. */
  bool Knows(const ClassName& aClass) const;

  /** @return Time from commit to the end, at a quantile in [0, 1]. */
  Microseconds Total(const Reservation& aReservation, double aQuantile) const;

  /**
   * @return Time from commit to the first byte; a plain service sends it at
   *         the end, which is taken at a quantile in [0, 1].
   */
  Microseconds FirstByte(const Reservation& aReservation,
                         double aQuantile) const;

  /** @return Time that the work in a slot needs from now on. */
  Microseconds Remaining(const Slot& aSlot,
                         Timestamp aNow,
                         double aQuantile) const;

private:
  Microseconds Output(const Reservation& aReservation,
                      std::uint32_t aReached,
                      double aQuantile) const;
  Microseconds Duration(const ClassName& aClass,
                        Microseconds aElapsed,
                        double aQuantile) const;

  PoolKind mKind = PoolKind::Model;
  EngineSpeed mSpeed;
  /** Tokens of output. */
  std::map<ClassName, DecayingHistogram> mTokens;
  /** Milliseconds from commit to the end; for plain services. */
  std::map<ClassName, DecayingHistogram> mDurations;
};

} // namespace medlarkeel
