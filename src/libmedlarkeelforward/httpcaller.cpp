#include "httpcaller.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace medlarkeel {

namespace http = boost::beast::http;

namespace {

constexpr int kHttp11 = 11;

/** Larger than any page of the directory, whose items hold up to a megabyte
 * of encoded text. */
constexpr std::uint64_t kMostBodyBytes = 16U << 20U;

/** Longest time for an answer from its begin on. */
constexpr std::chrono::seconds kMaximumReadTime{ 8 };

} // namespace

HttpCaller::HttpCaller(boost::asio::io_context& aContext, Endpoint aEndpoint)
  : mContext(aContext)
  , mEndpoint(std::move(aEndpoint))
{
}

void
HttpCaller::Get(const std::string& aTarget,
                Milliseconds aTimeout,
                Handler aHandler)
{
  mRequest = { http::verb::get, aTarget, kHttp11 };
  mRequest.set(http::field::host, EndpointText(mEndpoint));
  mTimeout = aTimeout;
  mHandler = std::move(aHandler);
  mCalledAt = std::chrono::steady_clock::now();
  mHasTimedOut = false;
  mIsReused = mStream != nullptr;
  if (mIsReused) {
    mStream->expires_after(mTimeout);
    Send();
  } else {
    Connect();
  }
}

void
HttpCaller::Connect()
{
  mIsReused = false;
  mBuffer.clear();
  mStream = std::make_unique<boost::beast::tcp_stream>(mContext);
  mStream->expires_after(mTimeout);
  const boost::asio::ip::tcp::endpoint endpoint(
    boost::asio::ip::make_address(mEndpoint.mAddress), mEndpoint.mPort);
  mStream->async_connect(
    endpoint, [self = shared_from_this()](const Error& aError) {
      if (aError) {
        self->Fail(aError);
        return;
      }
      Error ignored; // Without this option the call is only slower.
      self->mStream->socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                         ignored);
      self->Send();
    });
}

void
HttpCaller::Send()
{
  http::async_write(
    *mStream,
    mRequest,
    [self = shared_from_this()](const Error& aError, std::size_t) {
      if (aError) {
        self->Fail(aError);
        return;
      }
      self->Read();
    });
}

void
HttpCaller::Read()
{
  mParser = std::make_unique<Parser>();
  mParser->body_limit(kMostBodyBytes);
  mParser->eager(true);
  mAnswerTime.reset();
  mReadUntil = std::chrono::steady_clock::now() + mTimeout + kMaximumReadTime;
  ReadMore();
}

void
HttpCaller::ReadMore()
{
  http::async_read_some(
    *mStream,
    mBuffer,
    *mParser,
    [self = shared_from_this()](const Error& aError, std::size_t) {
      if (aError) {
        self->Fail(aError);
        return;
      }
      if (!self->mAnswerTime) {
        self->mAnswerTime = std::chrono::duration_cast<Milliseconds>(
          std::chrono::steady_clock::now() - self->mCalledAt);
      }
      if (!self->mParser->is_done()) {
        self->mStream->expires_at(std::min(
          self->mReadUntil, std::chrono::steady_clock::now() + self->mTimeout));
        self->ReadMore();
        return;
      }
      http::response<http::string_body> answer = self->mParser->release();
      if (!answer.keep_alive()) {
        self->mStream.reset();
      }
      self->Finish(CallAnswer{ static_cast<int>(answer.result_int()),
                               std::move(answer.body()),
                               std::move(answer.base()),
                               *self->mAnswerTime });
    });
}

void
HttpCaller::Fail(const Error& aError)
{
  mStream.reset();
  const bool isTimeout = aError == boost::beast::error::timeout;
  if (mIsReused && !isTimeout) {
    Connect();
    return;
  }
  mHasTimedOut = isTimeout;
  Finish(std::nullopt);
}

void
HttpCaller::Finish(std::optional<CallAnswer> aAnswer)
{
  const Handler handler = std::exchange(mHandler, nullptr);
  handler(std::move(aAnswer));
}

} // namespace medlarkeel
