#include "requestedpause.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Limits how long a server stays unused if it sends a wrong value. */
constexpr Milliseconds kMaximumPause = std::chrono::minutes(5);

/** Used for invalid values: the smallest whole number of seconds above 0. */
constexpr Milliseconds kInvalidValuePause{ 1000 };

/** Prevents numbers with many digits from becoming infinite. It is far above
 * the maximum pause. */
constexpr double kMaximumSeconds = 1e15;

constexpr double kMillisecondsPerSecond = 1000.0;
constexpr int kDecimalBase = 10;

bool
IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

} // namespace

RequestedPause
ParseRequestedPause(std::string_view aText)
{
  double seconds = 0.0;
  double digitWeight = 1.0;
  bool hasDigit = false;
  bool hasPoint = false;
  for (const char character : aText) {
    if (character == '.' && !hasPoint && hasDigit) {
      hasPoint = true;
      continue;
    }
    if (!IsDigit(character)) {
      return { kInvalidValuePause, false };
    }
    hasDigit = true;
    const int digit = character - '0';
    if (hasPoint) {
      digitWeight /= kDecimalBase;
      seconds += digitWeight * digit;
    } else {
      seconds = std::min(seconds * kDecimalBase + digit, kMaximumSeconds);
    }
  }
  if (!hasDigit) {
    return { kInvalidValuePause, false };
  }
  const auto maximumMilliseconds = static_cast<double>(kMaximumPause.count());
  const double milliseconds = seconds * kMillisecondsPerSecond;
  return { Milliseconds(static_cast<std::int64_t>(
             std::min(milliseconds, maximumMilliseconds))),
           milliseconds <= maximumMilliseconds };
}

} // namespace medlarkeel
