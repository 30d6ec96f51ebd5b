#pragma once

#include "../../src/libmedlarkeel/settings.h"
#include "../support/loopback.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace medlarkeel {

/** A backend server whose answers a test scripts; a thread a connection. */
class FakeBackend
{
public:
  /** Gets one request and the connection, and writes the answer. */
  using Script = std::function<void(boost::asio::ip::tcp::socket& aSocket,
                                    const std::string& aRequest)>;

  /** @param aEarlyBytes Bytes of a body after which the script is called
   * without the rest; the connection then takes no further request. */
  explicit FakeBackend(Script aScript,
                       std::optional<std::size_t> aEarlyBytes = std::nullopt);
  ~FakeBackend();
  FakeBackend(const FakeBackend&) = delete;
  FakeBackend& operator=(const FakeBackend&) = delete;

  const Endpoint& Address() const { return mAddress; }

  /** Bounds what the kernel takes of requests that aren't read, on connections
   * to come. */
  void LimitReceiveBuffer(int aBytes);

  /** @return All requests so far, head and body. */
  std::vector<std::string> Requests() const;

  /** @return Connections that the other side has closed. */
  int ClosedConnections() const { return mClosed; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  void Accept();
  void Serve(Socket& aSocket);
  /** Reads what comes until the connection ends. */
  void Drain(Socket& aSocket);

  Script mScript;
  std::optional<std::size_t> mEarlyBytes;
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  Endpoint mAddress;
  mutable std::mutex mMutex;
  std::vector<std::string> mRequests;
  std::list<Socket> mSockets;
  std::vector<std::thread> mThreads;
  std::atomic<int> mClosed{ 0 };
  std::atomic<bool> mIsEnding{ false };
  std::thread mAcceptThread;
};

/**
 * @param aRequest The request, whose id is repeated.
 * @param aExtra Further header lines with their line ends.
 * @return A whole answer.
 */
std::string
AnswerTo(const std::string& aRequest,
         int aStatus,
         const std::string& aBody,
         const std::string& aExtra = "");

} // namespace medlarkeel
