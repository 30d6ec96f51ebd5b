#include "statusserver.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <memory>
#include <optional>

namespace medlarkeel {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using Error = boost::beast::error_code;

/** Longest time without a call: the balancer asks each second. */
constexpr std::chrono::seconds kIdleTimeout{ 30 };

/** Maximum size of a request's head: a query of 16,384 bytes and the rest. */
constexpr std::uint32_t kMaximumHeadBytes = 16'384 + 4096;

/** One connection, kept open between calls. */
struct StatusConnection : std::enable_shared_from_this<StatusConnection>
{
  StatusConnection(tcp::socket aSocket, StatusServer::Pages aPages)
    : mStream(std::move(aSocket))
    , mPages(std::move(aPages))
  {
  }

  void Read()
  {
    mParser.emplace();
    mParser->header_limit(kMaximumHeadBytes);
    mStream.expires_after(kIdleTimeout);
    http::async_read(
      mStream,
      mBuffer,
      *mParser,
      [self = shared_from_this()](const Error& aError, std::size_t) {
        if (!aError) {
          self->Answer();
        }
      });
  }

  void Answer()
  {
    const auto& request = mParser->get();
    const auto target = request.target();
    StatusPage page = mPages({ target.data(), target.size() });
    mAnswer = { static_cast<http::status>(page.mStatus), request.version() };
    mAnswer.keep_alive(request.keep_alive());
    if (!page.mContentType.empty()) {
      mAnswer.set(http::field::content_type, page.mContentType);
    }
    mAnswer.body() = std::move(page.mBody);
    mAnswer.prepare_payload();
    http::async_write(
      mStream,
      mAnswer,
      [self = shared_from_this()](const Error& aError, std::size_t) {
        if (!aError && self->mAnswer.keep_alive()) {
          self->Read();
        }
      });
  }

  boost::beast::tcp_stream mStream;
  StatusServer::Pages mPages;
  boost::beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::empty_body>> mParser;
  http::response<http::string_body> mAnswer;
};

} // namespace

StatusServer::StatusServer(boost::asio::io_context& aContext,
                           const Endpoint& aEndpoint,
                           Pages aPages)
  : mAcceptor(
      aContext,
      { boost::asio::ip::make_address(aEndpoint.mAddress), aEndpoint.mPort })
  , mPages(std::move(aPages))
{
  Accept();
}

void
StatusServer::Accept()
{
  mAcceptor.async_accept([this](const Error& aError, tcp::socket aSocket) {
    if (!aError) {
      std::make_shared<StatusConnection>(std::move(aSocket), mPages)->Read();
    }
    if (aError != boost::asio::error::operation_aborted) {
      Accept();
    }
  });
}

} // namespace medlarkeel
