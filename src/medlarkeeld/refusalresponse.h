#pragma once

#include "httpmessage.h"
#include "refusal.h"

#include <string>

namespace medlarkeel {

/**
 * Turns a refusal into a problem+json response.
 *
 * @param aRefusal What the caller is told.
 * @param aRequest Identifies the request in logs and in the answer.
 * @return The response, with Retry-After where coming back can help.
 */
HttpResponse
RefusalResponse(const Refusal& aRefusal, const RequestId& aRequest);

/** @return The problem document of a refusal as JSON text. */
std::string
ProblemText(const Refusal& aRefusal, const RequestId& aRequest);

} // namespace medlarkeel
