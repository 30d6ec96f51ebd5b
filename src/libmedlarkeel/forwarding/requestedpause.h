#pragma once

#include "../types.h"

#include <string_view>

namespace medlarkeel {

/** Time for which a backend server asked to receive no requests. */
struct RequestedPause
{
  Milliseconds mTime{ 0 };
  /** Whether the value was a number of seconds not above the maximum. */
  bool mIsInRange = true;
};

/**
 * Parses the value of a Retry-After field: a number of seconds, which may have
 * a decimal fraction.
 *
 * @param aText The value of the field.
 * @return The pause, limited to five minutes. Dates, negative numbers and other
 * invalid values give one second.
 */
RequestedPause
ParseRequestedPause(std::string_view aText);

} // namespace medlarkeel
