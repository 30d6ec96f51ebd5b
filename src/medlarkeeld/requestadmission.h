#pragma once

#include "admittedrequest.h"
#include "documentview.h"
#include "httpmessage.h"
#include "refusal.h"
#include "teamgate.h"

#include <boost/outcome.hpp>

#include <optional>

namespace medlarkeel {

/** A request that was not admitted, with what was found out before. */
struct RejectedRequest
{
  Refusal mRefusal;
  /** Empty until the route was found. */
  ClassName mClass;
  TeamName mTeam;
  /** Set when the team's rate was the reason. */
  std::optional<ShortageCause> mShortage;
};

using AdmissionResult = BOOST_OUTCOME_V2_NAMESPACE::result<
  AdmittedRequest,
  RejectedRequest,
  BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/**
 * Decides whether a caller's request enters: key, route, class and the team's
 * rate, in this order.
 *
 * @param aRequest The request as it came; its key goes no further.
 * @param aId The request's id.
 * @param aView The document in force.
 * @param aGate Meters the team.
 */
AdmissionResult
AdmitRequest(const HttpRequest& aRequest,
             const RequestId& aId,
             const DocumentView& aView,
             TeamGate& aGate);

/**
 * @return What a refusal that the entry makes alone may state. With an
 *         idempotency key the call may be a repeat of one that has run.
 */
Executed
ExecutedIfRefused(const HttpRequest& aRequest);

/** @return A new request id. */
RequestId
NewRequestId();

} // namespace medlarkeel
