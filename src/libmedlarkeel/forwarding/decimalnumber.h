#pragma once

#include <optional>
#include <string_view>

namespace medlarkeel {

/**
 * Parses a decimal number without sign or exponent, such as "12" or "0.5".
 *
 * @param aText The whole text of the number.
 * @return The number, at most 1e15, or nothing if the text is anything else.
 */
std::optional<double>
ParseDecimalNumber(std::string_view aText);

} // namespace medlarkeel
