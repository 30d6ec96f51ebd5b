#pragma once

#include "httpmessage.h"

#include <functional>
#include <optional>
#include <string>

namespace medlarkeel {

/** What the operator pages of one process show. */
struct NodePages
{
  std::function<std::optional<std::string>()> mReasonNotReady;
  /** Text in Prometheus' exposition format. */
  std::function<std::string()> mMetrics;
  /** Decisions on one request as JSON. */
  std::function<std::string(const std::string&)> mDecisions;
  /** The node's status as JSON. */
  std::function<std::string()> mStatus;
};

/** @return The page, or nothing when the path is not one of theirs. */
std::optional<HttpResponse>
OperatorPage(const HttpRequest& aRequest, const NodePages& aPages);

} // namespace medlarkeel
