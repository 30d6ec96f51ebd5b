#pragma once

#include "../libmedlarkeel/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace medlarkeel {

/** What a status page answers. */
struct StatusPage
{
  int mStatus = 200;
  std::string mBody;
  /** Media type of the body; not stated when empty. */
  std::string mContentType = {};
};

/** Answers GET calls of balancers and monitoring at one address. */
class StatusServer
{
public:
  /** Finds the page of a path; called for each request. */
  using Pages = std::function<StatusPage(const std::string& aPath)>;

  StatusServer(boost::asio::io_context& aContext,
               const Endpoint& aEndpoint,
               Pages aPages);

private:
  void Accept();

  boost::asio::ip::tcp::acceptor mAcceptor;
  Pages mPages;
};

} // namespace medlarkeel
