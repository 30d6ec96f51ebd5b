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

/** @return A relayed delta as bytes of a datagram of its own. */
std::string
EncodeDirectoryDelta(const DirectoryDelta& aDelta);

/** @return Whether bytes hold a relayed delta instead of a report. */
bool
IsDirectoryDelta(std::string_view aBytes);

/** @return The delta in the bytes, or nothing when they can't be read. */
std::optional<DirectoryDelta>
DecodeDirectoryDelta(std::string_view aBytes);

} // namespace medlarkeel
