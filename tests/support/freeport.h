#pragma once

#include <cstdint>

namespace medlarkeel {

/** @return A port of the loopback address that nobody listens on. */
std::uint16_t
FreePort();

} // namespace medlarkeel
