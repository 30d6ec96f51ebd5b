#pragma once

#include "types.h"

#include <cstddef>
#include <optional>

namespace medlarkeel {

/**
 * Requests that one backend server may run at once. Begins at the document's
 * figure for a cold start and keeps it for the document's time; then grows by
 * one for each full window of successes and halves on a failure or on latency.
 */
class ColdStartLimit
{
public:
  /**
   * @param aColdStart Requests at once in a cold start; at least 1 is used.
   * @param aWarm Requests at once of a warm backend server.
   */
  void SetBounds(std::size_t aColdStart, std::size_t aWarm);

  /**
   * @param aTime How long a cold start lasts at least; nothing grows before.
   * @param aNow The first call takes it as the begin of a cold start.
   */
  void SetColdTime(Microseconds aTime, Timestamp aNow);

  /** @return Requests that may run at once. */
  std::size_t Limit() const;

  /** Returns to the cold start's figure; earlier starts count no more. */
  void Restart(Timestamp aNow);

  /**
   * @param aStarted When the request was committed.
   * @param aFull Whether the limit was in use while it ran.
   */
  void RecordSuccess(Timestamp aStarted, bool aFull);

  /**
   * Records a failed or slow request. Requests that started before the last
   * decrease don't count: they ran under the old limit.
   */
  void RecordTrouble(Timestamp aStarted, Timestamp aNow);

private:
  std::size_t mColdStart = 1;
  std::size_t mWarm = 1;
  double mLimit = 1.0;
  Microseconds mColdTime{ 0 };
  std::optional<Timestamp> mColdSince;
  Timestamp mLastDecrease = Timestamp::min();
};

} // namespace medlarkeel
