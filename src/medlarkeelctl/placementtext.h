#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace medlarkeel {

/** Writes a node's explanation of a placement as a summary and a table with a
 * line for each server. Throws if a field is missing or malformed. */
std::string
PlacementText(const nlohmann::ordered_json& aAnswer);

} // namespace medlarkeel
