#include "requestedpause.h"

#include "decimalnumber.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Limits how long a server stays unused if it sends a wrong value. */
constexpr Milliseconds kMaximumPause = std::chrono::minutes(5);

/** Used for invalid values: the smallest whole number of seconds above 0. */
constexpr Milliseconds kInvalidValuePause{ 1000 };

constexpr double kMillisecondsPerSecond = 1000.0;

} // namespace

RequestedPause
ParseRequestedPause(std::string_view aText)
{
  const std::optional<double> seconds = ParseDecimalNumber(aText);
  if (!seconds) {
    return { kInvalidValuePause, false };
  }
  const auto maximumMilliseconds = static_cast<double>(kMaximumPause.count());
  const double milliseconds = *seconds * kMillisecondsPerSecond;
  return { Milliseconds(static_cast<std::int64_t>(
             std::min(milliseconds, maximumMilliseconds))),
           milliseconds <= maximumMilliseconds };
}

} // namespace medlarkeel
