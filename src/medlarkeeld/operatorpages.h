#pragma once

#include "httpmessage.h"

#include <optional>
#include <string>

namespace medlarkeel {

/** What the operator pages of one process show. */
struct NodePages
{
  std::optional<std::string> mReasonNotReady;
};

/** @return The page, or nothing when the path is not one of theirs. */
std::optional<HttpResponse>
OperatorPage(const HttpRequest& aRequest, const NodePages& aPages);

} // namespace medlarkeel
