#pragma once

#include "httpclient.h"

#include <cstddef>
#include <optional>

namespace medlarkeel {

/** What is expected of the answer of a backend server. */
struct AnswerLimits
{
  /** The server may answer with a stream of events whose ids increase, also
   * without its type. */
  bool mIsStreamExpected = false;
  /** Size of one event in bytes. */
  std::size_t mEventBytes = 1U << 20U;
  /** Size of a body that isn't an event stream, in bytes. */
  std::size_t mBodyBytes = 16U << 20U;
  /** Size of a whole event stream in bytes; nothing for no bound. */
  std::optional<std::size_t> mStreamBytes;
};

/**
 * Sends a request to a backend server and hands its answer on as it arrives, an
 * event stream in complete events.
 *
 * @param aCall The request.
 * @param aLimits What is expected, and bounds beyond which the answer is
 *        broken.
 * @param aOnHead Called once, before the first data.
 * @param aOnData Called with complete events, or with pieces of another body;
 *        false closes the connection.
 * @return Success only if the answer is complete (AnswerBody), whatever its
 *         framing. The error of a broken answer has a fault.
 */
NetResult<void>
StreamAnswer(HttpCall aCall,
             const AnswerLimits& aLimits,
             const HeadReader& aOnHead,
             const DataReader& aOnData);

} // namespace medlarkeel
