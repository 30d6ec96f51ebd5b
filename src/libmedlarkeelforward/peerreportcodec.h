#pragma once

#include "../libmedlarkeel/forwarding/peerview.h"

#include <optional>
#include <string>
#include <string_view>

namespace medlarkeel {

/** @return A report as bytes. */
std::string
EncodePeerReport(const PeerReport& aReport);

/** @return The report in the bytes, or nothing when they can't be read. */
std::optional<PeerReport>
DecodePeerReport(std::string_view aBytes);

} // namespace medlarkeel
