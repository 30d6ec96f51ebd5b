#pragma once

#include "../libmedlarkeel/forwarding/placementexplanation.h"

#include <optional>
#include <string>
#include <string_view>

namespace medlarkeel {

/** Maximum length of a query in bytes: the limit for the heads of requests. */
constexpr std::size_t kMaximumPlacementQuery = 16'384;

/**
 * Parses the query of a request to explain a placement.
 *
 * @param aQuery Fields path, host, team, prompt and usage as "NAME=VALUE",
 * separated by "&", with percent-encoded values. Only path is required.
 */
PlacementResult<PlacementQuery>
ParsePlacementQuery(std::string_view aQuery);

} // namespace medlarkeel
