#pragma once

#include "../types.h"

#include <string_view>

namespace medlarkeel {

/** For how long a backend server asked for no requests. */
struct RequestedPause
{
  Milliseconds mTime{ 0 };
  /** The text was a number of seconds within the bound. */
  bool mIsUsual = true;
};

/**
 * Reads the value of a Retry-After field: seconds, which may have a fraction.
 * A larger number than the bound of five minutes is taken for the bound. What
 * can't be read, a negative number and a date are taken for one second.
 */
RequestedPause
ParseRequestedPause(std::string_view aText);

} // namespace medlarkeel
