#pragma once

#include "httpmessage.h"
#include "neterror.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace medlarkeel {

class PreparedConnection;
class ProcessConnection;

/** A request to send; the URL's host is an IP number. */
struct HttpCall
{
  std::string mMethod = "GET";
  std::string mUrl;
  HttpHeaders mHeaders;
  std::string mBody;
  /** Limit of the whole call; 0 for none. */
  std::chrono::milliseconds mTimeout{ 10000 };
  std::chrono::milliseconds mConnectTimeout{ 2000 };
  /** Limit of the time without any byte from the server; 0 for none. */
  std::chrono::milliseconds mIdleTimeout{ 0 };
  /** Largest body that SendHttp takes, in bytes; StreamHttp has no limit. */
  std::size_t mReplyLimit = 16U << 20U;
  /** Allows a connection of an earlier call of this thread. Only for calls that
   * may run twice: libcurl sends a request again when a reused connection
   * closes before the reply's first byte. Errors of such a call never claim
   * that nothing was sent. Its callbacks must not make such calls. */
  bool mReuseConnection = false;
  /** Used in place of a new connection if it still stands. */
  std::shared_ptr<PreparedConnection> mConnection;
  /** Observes the server's process if the answer ends with its connection. Not
   * with mReuseConnection. */
  std::shared_ptr<ProcessConnection> mProcess;
  /** Asked every 50 ms while nothing arrives; true ends the call. */
  std::function<bool()> mShouldStop;
};

struct HttpReply
{
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
};

/** Called with the status and headers before the first data. */
using HeadReader = std::function<void(int, const HttpHeaders&)>;
/** Called with each piece of the body; false ends the call. */
using DataReader = std::function<bool(std::string_view)>;

/**
 * Sends a request and reads the whole reply.
 *
 * @param aCall The request.
 * @return The reply, whatever its status, or the reason why there is none. A
 *         length or the last chunk must show that it is whole.
 */
NetResult<HttpReply>
SendHttp(const HttpCall& aCall);

/**
 * Sends a request and hands the reply's body on as it arrives.
 *
 * @param aCall The request.
 * @param aOnHead Called once, before the first data.
 * @param aOnData Called with each piece; false closes the connection.
 * @return How the body ended if it ended as its framing states. StoppedByReader
 *         if aOnData or mShouldStop ended the call.
 */
NetResult<TransferEnd>
StreamHttp(const HttpCall& aCall,
           const HeadReader& aOnHead,
           const DataReader& aOnData);

} // namespace medlarkeel
