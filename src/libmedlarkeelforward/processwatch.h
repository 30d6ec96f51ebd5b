#pragma once

#include "../libmedlarkeel/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarkeel {

/**
 * A connection to a backend server that is open while an answer arrives that
 * ends with its own connection. The end of the server's process closes both, a
 * server that ends the answer only one. A process that is ending may keep its
 * connections for a while, so one that reports its state is asked for it when
 * the answer has ended; nothing else is sent.
 *
 * It belongs to the process that answers if the answer's connection was still
 * open after it had been made.
 */
class ProcessWatch : public std::enable_shared_from_this<ProcessWatch>
{
public:
  /** Gets whether the process that answered still runs; nothing if there was no
   * connection to it. */
  using Handler = std::function<void(std::optional<bool> aIsRunning)>;

  /**
   * @param aEndpoint Address of the server.
   * @param aAnswer The connection of the answer; used until Conclude or Stop.
   * @param aRequest Request that the process answers at any time; empty if none
   * is known.
   */
  ProcessWatch(boost::asio::io_context& aContext,
               const Endpoint& aEndpoint,
               boost::asio::ip::tcp::socket& aAnswer,
               std::string aRequest);

  /** Connects, unless the answer's connection has ended. */
  void Start();

  /** Ends the watch when the answer has ended, and calls the handler once. */
  void Conclude(Handler aHandler);

  /** Ends the watch without a result. */
  void Stop();

private:
  using Error = boost::system::error_code;

  enum class State
  {
    /** There is no connection that belongs to the process. */
    Unknown,
    Open,
    /** It was closed together with that of the answer. */
    Ended
  };

  void Connect();
  void Read();
  /** Sends the request, whose answer shows that the process runs. */
  void Ask();
  /** Handles the end of the watch's own connection. */
  void HandleEnd(const Error& aError);
  bool IsAnswerClosed() const;
  /** Calls the handler if there is one. */
  void Finish();

  Endpoint mEndpoint;
  std::string mRequest;
  boost::asio::ip::tcp::socket* mAnswer;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::array<char, 256> mBuffer{};
  Handler mHandler;
  State mState = State::Unknown;
  Timestamp mConnectedAt;
  int mConnections = 0;
};

} // namespace medlarkeel
