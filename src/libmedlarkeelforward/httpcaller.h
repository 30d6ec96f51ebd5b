#pragma once

#include "../libmedlarkeel/settings.h"
#include "../libmedlarkeel/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarkeel {

/** An answer to a call of this process, with its whole body. */
struct CallAnswer
{
  int mStatus = 0;
  std::string mBody;
  boost::beast::http::fields mFields;
  /** Time from the call until the answer began. */
  Milliseconds mAnswerTime{ 0 };
};

/**
 * Makes GET calls to one address, one after the other on one kept connection.
 * A call on a kept connection that has been closed meanwhile is made once more
 * on a new one.
 */
class HttpCaller : public std::enable_shared_from_this<HttpCaller>
{
public:
  using Handler = std::function<void(std::optional<CallAnswer> aAnswer)>;

  HttpCaller(boost::asio::io_context& aContext, Endpoint aEndpoint);

  /**
   * @param aTarget Path and query.
   * @param aTimeout Longest time until the answer begins, and longest pause in
   * it. A large answer may take longer on a slow link, but not without end.
   * @param aHandler Gets the answer, or nothing when there was none.
   */
  void Get(const std::string& aTarget, Milliseconds aTimeout, Handler aHandler);

  /** @return Whether the last call was given up because of its time-out. */
  bool HasTimedOut() const { return mHasTimedOut; }

private:
  using Error = boost::beast::error_code;
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void Send();
  void Read();
  void ReadMore();
  void Fail(const Error& aError);
  void Finish(std::optional<CallAnswer> aAnswer);

  boost::asio::io_context& mContext;
  Endpoint mEndpoint;
  std::unique_ptr<boost::beast::tcp_stream> mStream;
  boost::beast::flat_buffer mBuffer;
  boost::beast::http::request<boost::beast::http::empty_body> mRequest;
  std::unique_ptr<Parser> mParser;
  Milliseconds mTimeout{ 0 };
  std::chrono::steady_clock::time_point mCalledAt;
  /** Time from the call until the answer began, once it has. */
  std::optional<Milliseconds> mAnswerTime;
  /** End of the time for the whole answer. */
  std::chrono::steady_clock::time_point mReadUntil;
  Handler mHandler;
  bool mIsReused = false;
  bool mHasTimedOut = false;
};

} // namespace medlarkeel
