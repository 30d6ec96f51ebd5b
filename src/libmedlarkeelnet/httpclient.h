#pragma once

#include "httpmessage.h"
#include "neterror.h"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace medlarkeel {

/** A request to send; the URL's host is an IP number. */
struct HttpCall
{
  std::string mMethod = "GET";
  std::string mUrl;
  HttpHeaders mHeaders;
  std::string mBody;
  /** Limit of the whole call. */
  std::chrono::seconds mTimeout{ 10 };
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
 * @return The reply, whatever its status, or the reason why there is none.
 */
NetResult<HttpReply>
SendHttp(const HttpCall& aCall);

/**
 * Sends a request and hands the reply's body on as it arrives.
 *
 * @return Success only if the body came to its proper end.
 */
NetResult<void>
StreamHttp(const HttpCall& aCall,
           const HeadReader& aOnHead,
           const DataReader& aOnData);

} // namespace medlarkeel
