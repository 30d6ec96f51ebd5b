#pragma once

#include "requestrate.h"

#include "../types.h"

namespace medlarkeel {

/** Spreads the retries of refused callers over time, at the rate at which the
 * servers accept requests. */
class RetrySchedule
{
public:
  /**
   * @param aEarliest When the next request may be accepted.
   * @param aRate Rate at which callers may return to this entry.
   * @return Time after which the caller should retry, at most a minute.
   */
  Milliseconds NextDelay(Timestamp aEarliest,
                         RequestRate aRate,
                         Timestamp aNow);

private:
  /** Time that was given to the last caller. */
  Timestamp mLast;
};

} // namespace medlarkeel
