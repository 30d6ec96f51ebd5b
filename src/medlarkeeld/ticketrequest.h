#pragma once

#include "documentview.h"
#include "httpmessage.h"
#include "refusal.h"
#include "types.h"

#include <boost/outcome.hpp>

namespace medlarkeel {

/** @return Whether a caller asks for an idempotency key. */
bool
IsTicketRequest(const HttpRequest& aRequest);

using TicketPoolResult = BOOST_OUTCOME_V2_NAMESPACE::
  result<PoolName, Refusal, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/**
 * Checks a request for an idempotency key: a valid caller key and the name of
 * a plain service in the body, as {"service": NAME}.
 *
 * @return The pool of the plain service, or why none is served.
 */
TicketPoolResult
PoolOfTicketRequest(const HttpRequest& aRequest, const DocumentView& aView);

/** @return The answer that carries a new key. */
HttpResponse
TicketResponse(const IdempotencyKey& aKey);

} // namespace medlarkeel
