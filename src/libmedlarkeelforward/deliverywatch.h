#pragma once

#include "backendconnections.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace medlarkeel {

/**
 * Observes whether a request that is being sent is acknowledged. The system
 * gives up such a connection without a reset, so that the request may still be
 * delivered when a network partition ends; the watch lets its owner reset it
 * before that.
 */
class DeliveryWatch : public std::enable_shared_from_this<DeliveryWatch>
{
public:
  /** @param aConnection The connection to which the request is written. */
  DeliveryWatch(boost::asio::io_context& aContext,
                BackendConnectionPointer aConnection);

  /** Observes the connection until all bytes are acknowledged.
   *
   * @param aStalled Called once if none is for some time. */
  void Start(std::function<void()> aStalled);

  void Stop();

private:
  void CheckLater();
  void Check();

  boost::asio::steady_timer mTimer;
  BackendConnectionPointer mConnection;
  std::function<void()> mStalled;
  std::uint64_t mAcknowledged = 0;
  /** When the last bytes were acknowledged, as far as it was observed. */
  Timestamp mProgressAt;
};

} // namespace medlarkeel
