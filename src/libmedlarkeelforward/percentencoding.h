#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace medlarkeel {

/**
 * Encodes a text for use as a name or value in the query of a request target.
 *
 * @param aText Any bytes.
 * @return The text with all bytes but unreserved characters (RFC 3986, section
 * 2.3) as percent-escapes.
 */
std::string
EncodePercent(std::string_view aText);

/** @return The text without percent-encoding, or nothing if an escape is
 * malformed. */
std::optional<std::string>
DecodePercent(std::string_view aText);

} // namespace medlarkeel
