#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace medlarkeel {

/** Which bytes of a link are meant. */
enum class LinkDirection : std::size_t
{
  ToServer,
  FromServer
};

/**
 * Forwards TCP connections from one loopback port to another.
 *
 * A direction that is cut carries neither bytes nor the end of a connection;
 * what is under way arrives once it is healed, as after a partition. All
 * members run on the thread of the context.
 */
class LinkRelay
{
public:
  /**
   * @param aContext Runs the forwarding.
   * @param aPort Port to listen on.
   * @param aTarget Port that connections are forwarded to.
   */
  LinkRelay(boost::asio::io_context& aContext,
            std::uint16_t aPort,
            std::uint16_t aTarget);

  void SetCut(LinkDirection aDirection, bool aCut);

  /** Resets all connections; new ones are forwarded as before. */
  void Reset();

private:
  class Connection;

  void Accept();

  boost::asio::ip::tcp::acceptor mAcceptor;
  const boost::asio::ip::tcp::endpoint mTarget;
  std::array<bool, 2> mCut{};
  std::vector<std::shared_ptr<Connection>> mConnections;
};

} // namespace medlarkeel
