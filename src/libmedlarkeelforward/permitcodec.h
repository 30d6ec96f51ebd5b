#pragma once

#include "../libmedlarkeel/forwarding/serverpermits.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace medlarkeel {

using PermitMessage = std::variant<PermitRequest, PermitReply>;

/** @return Whether the bytes may be a permit message; a peer report differs in
 * its first byte. */
bool
IsPermitMessage(std::string_view aBytes);

/** @return A message as bytes. */
std::string
EncodePermitMessage(const PermitMessage& aMessage);

/** @return The message in the bytes, or nothing when they can't be parsed. */
std::optional<PermitMessage>
DecodePermitMessage(std::string_view aBytes);

/** @return A limit as an array of its values. */
nlohmann::json
EncodeLimit(const ReportedLimit& aLimit);

/** @return The limit in an array; throws when it can't be parsed. */
ReportedLimit
DecodeLimit(const nlohmann::json& aLimit);

} // namespace medlarkeel
