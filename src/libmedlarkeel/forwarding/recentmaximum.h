#pragma once

#include "../types.h"

#include <optional>

namespace medlarkeel {

/** The longest of the durations of the last 20 to 40 s. */
class RecentMaximum
{
public:
  /** Adds a duration that ended at the time given. */
  void Record(Milliseconds aValue, Timestamp aNow);

  /** @return The longest recent duration, or nothing without one. */
  std::optional<Milliseconds> Value(Timestamp aNow) const;

private:
  static constexpr Microseconds kPeriod = std::chrono::seconds(20);

  Timestamp mPeriodBegin;
  std::optional<Milliseconds> mCurrent;
  std::optional<Milliseconds> mPrevious;
};

} // namespace medlarkeel
