#pragma once

#include "httpmessage.h"
#include "neterror.h"
#include "uploadmonitor.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace medlarkeel {

struct HttpServerOptions
{
  std::string mAddress = "127.0.0.1";
  std::uint16_t mPort = 0;
  std::size_t mBodyLimit = 1U << 20U;    // bytes
  std::size_t mHeaderLimit = 32U << 10U; // bytes, all headers of a request
  unsigned mConnectionLimit = 2048;
  unsigned mIdleTimeout = 30; // seconds
  /** Most bytes of all requests together; 0 bounds nothing. */
  std::size_t mMemoryBound = 0;
  /** Called after connections were closed for memory; may be empty. */
  UploadMonitor::Handler mOnUploadsCut;
};

/**
 * HTTP/1.1 server on ulfius; one thread a connection.
 *
 * Requests beyond the limits are answered here (413, 431). HTTP/1.0 callers
 * may only send GET and HEAD, as they can't tell a cut body from a whole one.
 */
class HttpServer
{
public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  /**
   * Binds and starts to serve.
   *
   * @param aOptions Address and limits.
   * @param aHandler Called on the connection's thread for every request whose
   *        size is within the limits; may block.
   * @return The running server, or BindFailed.
   */
  static NetResult<std::unique_ptr<HttpServer>> Start(
    const HttpServerOptions& aOptions,
    Handler aHandler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** @return The port that the server is bound to. */
  std::uint16_t Port() const;

  /** @return The number of requests whose response isn't wholly sent yet. */
  std::size_t RunningRequests() const;

  /** @return What the requests hold; zeros if nothing bounds it. */
  UploadState Uploads() const;

  /** Closes the listening socket; open connections go on. */
  void StopAccepting();

  /** Cuts all connections and ends the server; blocks until their threads are
   * done, so a blocked BodySource must be ended first. */
  void Stop();

private:
  struct State;
  explicit HttpServer(std::unique_ptr<State> aState);

  std::unique_ptr<State> mState;
};

} // namespace medlarkeel
