#pragma once

#include "../libmedlarkeel/settings.h"
#include "../libmedlarkeel/types.h"
#include "forwardcounters.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace medlarkeel {

/** A connection to a backend server; used by one request at a time. */
struct BackendConnection
{
  /** @param aCount Counts the connections that exist. */
  BackendConnection(boost::asio::io_context& aContext,
                    std::shared_ptr<std::size_t> aCount)
    : mSocket(aContext)
    , mCount(std::move(aCount))
  {
    *mCount += 1;
  }
  ~BackendConnection() { *mCount -= 1; }
  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  boost::asio::ip::tcp::socket mSocket;
  std::shared_ptr<std::size_t> mCount;
  /** Id and address of the backend server. */
  std::string mKey;
  bool mIsReused = false;
  /** Since when it has been idle. */
  Timestamp mIdleSince;
  /** How long it may be idle before it is closed here. */
  Microseconds mMostIdle{ 0 };
  /** Distinguishes the uses of a connection for its idle watch. */
  std::uint64_t mUses = 0;
  /** Bytes read from it by all its uses. */
  std::uint64_t mBytesRead = 0;
};

using BackendConnectionPointer = std::shared_ptr<BackendConnection>;

/** Opens connections to backend servers and keeps idle ones for reuse. */
class BackendConnections
{
public:
  using Handler = std::function<void(BackendConnectionPointer aConnection)>;

  BackendConnections(boost::asio::io_context& aContext,
                     ForwardCounters& aCounters);

  /**
   * Hands out an idle connection at once or opens one.
   *
   * @param aMostIdle Longest idle time of a connection that may be reused.
   * @param aHandler Gets the connection, or nothing when none could be made
   * in time.
   */
  void Acquire(const InstanceId& aId,
               const Endpoint& aEndpoint,
               Microseconds aMostIdle,
               const Handler& aHandler);

  /**
   * Keeps a connection whose answer has ended.
   *
   * @param aKeepAlive Time for which the server keeps idle connections.
   */
  void Release(const BackendConnectionPointer& aConnection,
               Microseconds aKeepAlive);

  /** @return Connections that are open or being opened. */
  std::size_t Count() const { return *mCount; }

  /** Closes the idle connections to a server that is gone. */
  void CloseIdle(const InstanceId& aId);

private:
  void Connect(const std::string& aKey,
               const Endpoint& aEndpoint,
               const Handler& aHandler);
  void WatchIdle(const BackendConnectionPointer& aConnection);
  void Drop(const BackendConnectionPointer& aConnection);

  boost::asio::io_context& mContext;
  ForwardCounters& mCounters;
  std::shared_ptr<std::size_t> mCount = std::make_shared<std::size_t>(0);
  std::map<std::string, std::vector<BackendConnectionPointer>> mIdle;
};

/** Sets what keeps a silent connection from being waited for endlessly. */
void
ApplySocketOptions(boost::asio::ip::tcp::socket& aSocket);

} // namespace medlarkeel
