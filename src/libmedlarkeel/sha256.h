#pragma once

#include <string>
#include <string_view>

namespace medlarkeel {

/** @return SHA-256 of the bytes, in lower-case hexadecimal. */
std::string
Sha256Hex(std::string_view aBytes);

} // namespace medlarkeel
