#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace medlarkeel {

/**
 * Makes JSON parsable whose strings have contents that JSON doesn't allow:
 * bytes that are no UTF-8, control characters, and escapes of single
 * surrogates. U+DC80 to U+DCFF count as the bytes 80 to FF, which some writers
 * of JSON escape so (Python's PEP 383).
 *
 * @param aJson Any bytes.
 * @return The JSON with these contents replaced by characters that
 * RestoreBytes() turns back.
 */
std::string
EscapeInvalidBytes(std::string_view aJson);

/**
 * Restores a string of JSON that was parsed after EscapeInvalidBytes().
 *
 * @return The bytes that the string had, or nothing if it had an escape of
 * another single surrogate, whose bytes aren't known.
 */
std::optional<std::string>
RestoreBytes(std::string_view aText);

/** @return Whether a text is valid UTF-8. */
bool
IsUtf8(std::string_view aText);

} // namespace medlarkeel
