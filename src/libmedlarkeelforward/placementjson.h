#pragma once

#include "../libmedlarkeel/forwarding/placementexplanation.h"

#include <string>

namespace medlarkeel {

/** @return An explanation as a JSON object. */
std::string
PlacementJson(const PlacementExplanation& aExplanation);

/** @return A JSON object with the reason why there is no explanation. */
std::string
PlacementErrorJson(const std::string& aReason);

} // namespace medlarkeel
