#pragma once

#include <optional>
#include <string_view>

namespace medlarkeel {

/** A number of requests per second. */
struct RequestRate
{
  double mPerSecond = 0.0;

  friend bool operator==(RequestRate aLeft, RequestRate aRight)
  {
    return aLeft.mPerSecond == aRight.mPerSecond;
  }
  friend bool operator!=(RequestRate aLeft, RequestRate aRight)
  {
    return !(aLeft == aRight);
  }
  friend bool operator<(RequestRate aLeft, RequestRate aRight)
  {
    return aLeft.mPerSecond < aRight.mPerSecond;
  }
};

/** Lowest limit that is applied. It leaves one request in 100 s, without which
 * the end of a limit of 0 would never be noticed. */
constexpr RequestRate kMinimumRequestRate{ 0.01 };

/**
 * Parses a limit that a backend server stated: a decimal number of requests per
 * second.
 *
 * @param aText The value of the field.
 * @return The rate, between kMinimumRequestRate and 1,000,000, or nothing if
 * the value isn't a number.
 */
std::optional<RequestRate>
ParseRequestRate(std::string_view aText);

} // namespace medlarkeel
