#pragma once

#include "forwardingdocument.h"

#include <optional>

namespace medlarkeel {

/** A request that arrived while the process shuts down. */
struct ShutdownRequest
{
  /** Longest time that the request may take. */
  Milliseconds mTimeLimit{ 0 };
  /** Time until the process gives up what is still running. */
  Milliseconds mTimeLeft{ 0 };
  /** The longest time that requests of the route took recently. */
  std::optional<Milliseconds> mRecentDuration;
};

/**
 * Decides whether a request is begun while the process shuts down. Its end must
 * come before that of the process: by its time limit, or, for streams and
 * requests that may be repeated, by twice the time that recent ones took.
 *
 * @param aRoute Route of the request.
 * @param aRequest The request.
 * @return Whether the request may be sent to a backend server.
 */
bool
CanEndBeforeShutdown(const ForwardRoute& aRoute,
                     const ShutdownRequest& aRequest);

} // namespace medlarkeel
