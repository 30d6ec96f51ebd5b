#pragma once

#include "jsonreader.h"

#include <boost/outcome.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarkeel {

/** What the router reads of a chat completion request. */
struct ChatRequest
{
  std::string mModel;
  bool mStream = false;
  /** Largest output in tokens; 0 when the caller sets none. */
  std::uint32_t mMaxTokens = 0;
  /** All message texts in order, for the prefix hash. */
  std::string mPrompt;
};

/** Why a body is not a chat completion request. */
struct ChatRequestError
{
  std::string mDetail;
};

using ChatRequestResult = BOOST_OUTCOME_V2_NAMESPACE::result<
  ChatRequest,
  ChatRequestError,
  BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/**
 * Parses the body of a chat completion request.
 *
 * @param aBody JSON text from a caller; not trusted.
 * @param aLimits Bounds of its size and depth.
 */
ChatRequestResult
ParseChatRequest(std::string_view aBody, const JsonLimits& aLimits);

} // namespace medlarkeel
