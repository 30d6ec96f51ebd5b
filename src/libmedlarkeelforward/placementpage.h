#pragma once

#include "forwarder.h"
#include "statusserver.h"

#include <string>

namespace medlarkeel {

/** @return Whether a request at the status address asks for a placement. */
bool
IsPlacementTarget(const std::string& aTarget);

/** Explains a placement without side effects.
 *
 * @param aTarget Path and query of the request.
 * @return The explanation, or the reason why there is none, as JSON. */
StatusPage
PlacementPage(Forwarder& aForwarder, const std::string& aTarget);

} // namespace medlarkeel
