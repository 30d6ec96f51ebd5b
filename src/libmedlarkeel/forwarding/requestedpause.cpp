#include "requestedpause.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Limits how long a server stays unused if it sends a wrong value. */
constexpr Milliseconds kMostPause = std::chrono::minutes(5);

/** Used for invalid values: the smallest whole number of seconds above 0. */
constexpr Milliseconds kUnreadablePause{ 1000 };

/** Prevents numbers with many digits from becoming infinite. It is far above
 * the maximum pause. */
constexpr double kMostSeconds = 1e15;

constexpr double kMillisecondsPerSecond = 1000.0;
constexpr int kDecimal = 10;

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
  double unit = 1.0;
  bool hasDigit = false;
  bool hasPoint = false;
  for (const char character : aText) {
    if (character == '.' && !hasPoint && hasDigit) {
      hasPoint = true;
      continue;
    }
    if (!IsDigit(character)) {
      return { kUnreadablePause, false };
    }
    hasDigit = true;
    const int digit = character - '0';
    if (hasPoint) {
      unit /= kDecimal;
      seconds += unit * digit;
    } else {
      seconds = std::min(seconds * kDecimal + digit, kMostSeconds);
    }
  }
  if (!hasDigit) {
    return { kUnreadablePause, false };
  }
  const auto most = static_cast<double>(kMostPause.count());
  const double time = seconds * kMillisecondsPerSecond;
  return { Milliseconds(static_cast<std::int64_t>(std::min(time, most))),
           time <= most };
}

} // namespace medlarkeel
