#pragma once

#include "forwarding/answerend.h"

#include <boost/outcome.hpp>

#include <optional>
#include <string>

namespace medlarkeel {

enum class NetErrorKind
{
  BindFailed,
  /** The peer has seen nothing of the call. */
  ConnectFailed,
  /** The call was sent; whether the peer acted on it is unknown. */
  TimedOut,
  PeerClosed,
  StoppedByReader,
  BadReply
};

/** Error of the layer that holds sockets. */
struct NetError
{
  NetErrorKind mKind = NetErrorKind::ConnectFailed;
  std::string mDetail;
  /** Why the answer is broken, if one had begun or the connection ended. */
  std::optional<AnswerFault> mFault = std::nullopt;
};

template<typename T>
using NetResult = BOOST_OUTCOME_V2_NAMESPACE::
  result<T, NetError, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

} // namespace medlarkeel
