#include "backendconnections.h"

#include "../libmedlarkeelnet/bootclock.h"

#include <algorithm>
#include <netinet/tcp.h>

namespace medlarkeel {

namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

/** Time for a new connection: zones are milliseconds apart, and a lost
 * opening packet is repeated only after a second. */
constexpr Milliseconds kConnectTimeout{ 300 };

/** Time without acknowledgement after which a connection is given up. */
constexpr int kUserTimeoutMs = 1500;
/** Seconds without traffic until a probe, and between probes. */
constexpr int kProbeSeconds = 1;
constexpr int kProbes = 2;

/** Part of the server's idle time after which a connection isn't reused. */
constexpr double kIdleShare = 0.75;

/** Bytes that the kernel holds of an answer that isn't read. 1,900 requests may
 * run on the smallest machine, whose memory doesn't allow them more. 16 MB/s
 * still arrive over 2 ms of latency. */
constexpr int kReceiveBuffer = 32'768;

/** Idle connections that are kept for one server. */
constexpr std::size_t kMostIdle = 32;

std::string
KeyOf(const InstanceId& aId, const Endpoint& aEndpoint)
{
  return aId.Text() + '@' + EndpointText(aEndpoint);
}

void
SetOption(tcp::socket& aSocket, int aLevel, int aName, int aValue)
{
  // Every option only shortens waits; a connection without it still works.
  ::setsockopt(aSocket.native_handle(), aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

void
ApplySocketOptions(tcp::socket& aSocket)
{
  SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

BackendConnections::BackendConnections(boost::asio::io_context& aContext,
                                       ForwardCounters& aCounters)
  : mContext(aContext)
  , mCounters(aCounters)
{
}

void
BackendConnections::Acquire(const InstanceId& aId,
                            const Endpoint& aEndpoint,
                            Microseconds aMostIdle,
                            const Handler& aHandler)
{
  const std::string key = KeyOf(aId, aEndpoint);
  std::vector<BackendConnectionPointer>& idle = mIdle[key];
  const Timestamp now = BootNow();
  while (!idle.empty()) {
    const BackendConnectionPointer connection = idle.back();
    idle.pop_back();
    const Microseconds rested = now - connection->mIdleSince;
    if (rested > connection->mMostIdle || rested > aMostIdle) {
      Drop(connection);
      continue;
    }
    connection->mUses += 1;
    connection->mIsReused = true;
    Error ignored; // Ends the idle watch; a broken socket shows on its use.
    connection->mSocket.cancel(ignored);
    mCounters.mConnectionsReused += 1;
    aHandler(connection);
    return;
  }
  Connect(key, aEndpoint, aHandler);
}

void
BackendConnections::Connect(const std::string& aKey,
                            const Endpoint& aEndpoint,
                            const Handler& aHandler)
{
  mCounters.mConnectionsOpened += 1;
  auto connection = std::make_shared<BackendConnection>(mContext, mCount);
  connection->mKey = aKey;
  auto timer = std::make_shared<boost::asio::steady_timer>(mContext);
  // Both may be due at once, and a handler that is due can't be cancelled.
  auto isMade = std::make_shared<bool>(false);
  timer->expires_after(kConnectTimeout);
  timer->async_wait([connection, timer, isMade](const Error& aError) {
    if (!aError && !*isMade) {
      Error ignored; // The connect handler gets the error.
      connection->mSocket.close(ignored);
    }
  });
  const tcp::endpoint endpoint(
    boost::asio::ip::make_address(aEndpoint.mAddress), aEndpoint.mPort);
  Error ignored; // The attempt to connect shows it.
  connection->mSocket.open(endpoint.protocol(), ignored);
  // Set later, it wouldn't bound the window.
  connection->mSocket.set_option(
    boost::asio::socket_base::receive_buffer_size(kReceiveBuffer), ignored);
  connection->mSocket.async_connect(
    endpoint, [connection, timer, isMade, aHandler](const Error& aError) {
      timer->cancel();
      if (aError || !connection->mSocket.is_open()) {
        aHandler(nullptr);
        return;
      }
      *isMade = true;
      ApplySocketOptions(connection->mSocket);
      aHandler(connection);
    });
}

void
BackendConnections::Release(const BackendConnectionPointer& aConnection,
                            Microseconds aKeepAlive)
{
  std::vector<BackendConnectionPointer>& idle = mIdle[aConnection->mKey];
  aConnection->mIdleSince = BootNow();
  aConnection->mMostIdle = Microseconds(static_cast<std::int64_t>(
    static_cast<double>(aKeepAlive.count()) * kIdleShare));
  if (idle.size() >= kMostIdle) {
    Drop(aConnection);
    return;
  }
  idle.push_back(aConnection);
  WatchIdle(aConnection);
}

void
BackendConnections::WatchIdle(const BackendConnectionPointer& aConnection)
{
  // Bytes or an end on an idle connection belong to no request.
  aConnection->mSocket.async_wait(
    tcp::socket::wait_read,
    [this, aConnection, uses = aConnection->mUses](const Error& aError) {
      if (aError || aConnection->mUses != uses) {
        return;
      }
      std::vector<BackendConnectionPointer>& idle = mIdle[aConnection->mKey];
      idle.erase(std::remove(idle.begin(), idle.end(), aConnection),
                 idle.end());
      Drop(aConnection);
    });
}

void
BackendConnections::Drop(const BackendConnectionPointer& aConnection)
{
  aConnection->mUses += 1;
  Error ignored; // Nothing of a request is lost with an idle connection.
  aConnection->mSocket.close(ignored);
}

void
BackendConnections::CloseIdle(const InstanceId& aId)
{
  const std::string begin = aId.Text() + '@';
  auto entry = mIdle.lower_bound(begin);
  while (entry != mIdle.end() &&
         entry->first.compare(0, begin.size(), begin) == 0) {
    for (const BackendConnectionPointer& connection : entry->second) {
      Drop(connection);
    }
    entry = mIdle.erase(entry);
  }
}

} // namespace medlarkeel
