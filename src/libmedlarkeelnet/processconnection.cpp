#include "processconnection.h"

#include <curl/curl.h>

#include <chrono>
#include <mutex>
#include <poll.h>
#include <thread>

namespace medlarkeel {

namespace {

using SteadyClock = std::chrono::steady_clock;

/** Limits of a connection that shows whether a process runs: to be made, to be
 * closed by a process that is just ending, and until another one. */
constexpr std::chrono::milliseconds kConnectTimeout{ 200 };
constexpr std::chrono::milliseconds kSettleTime{ 10 };
constexpr std::chrono::milliseconds kReconnectPause{ 20 };
constexpr int kMostConnections = 2;
/** Connections for one answer; servers close those that are idle, and reset
 * those that are too many. */
constexpr int kMostObservers = 4;
/** Time after which a server has accepted a connection for good. */
constexpr std::chrono::milliseconds kAcceptTime{ 100 };

struct EasyDeleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};

void
InitialiseLibrary()
{
  static std::once_flag sInitialised;
  std::call_once(sInitialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

enum class PeerState
{
  Open,
  Closed,
  Reset
};

/** @return What the peer has done with a connection after a time. */
PeerState
PeerStateOf(int aDescriptor, std::chrono::milliseconds aWait)
{
  pollfd entry{ aDescriptor, POLLRDHUP, 0 };
  if (poll(&entry, 1, static_cast<int>(aWait.count())) <= 0) {
    return PeerState::Open;
  }
  const int events = entry.revents;
  return (events & POLLERR) != 0 // NOLINT(hicpp-signed-bitwise)
           ? PeerState::Reset
           : PeerState::Closed;
}

bool
IsClosed(int aDescriptor, std::chrono::milliseconds aWait)
{
  return PeerStateOf(aDescriptor, aWait) != PeerState::Open;
}

} // namespace

struct ProcessConnection::Connection
{
  explicit Connection(const std::string& aUrl)
  {
    InitialiseLibrary();
    mEasy.reset(curl_easy_init());
    curl_easy_setopt(mEasy.get(), CURLOPT_URL, aUrl.c_str());
    curl_easy_setopt(mEasy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(mEasy.get(), CURLOPT_CONNECT_ONLY, 1L);
    curl_easy_setopt(mEasy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(
      mEasy.get(), CURLOPT_CONNECTTIMEOUT_MS, long{ kConnectTimeout.count() });
    curl_socket_t descriptor = CURL_SOCKET_BAD;
    const bool isMade =
      curl_easy_perform(mEasy.get()) == CURLE_OK &&
      curl_easy_getinfo(mEasy.get(), CURLINFO_ACTIVESOCKET, &descriptor) ==
        CURLE_OK;
    mDescriptor = isMade ? descriptor : CURL_SOCKET_BAD;
  }

  bool IsMade() const { return mDescriptor != CURL_SOCKET_BAD; }

  /** @return Whether the server has reset it at once, as it has too many. When
   * a process ends, the system closes the connections that it had accepted and
   * on which nothing was sent; it doesn't reset them. */
  bool IsRefused() const
  {
    constexpr std::chrono::milliseconds kNoWait{ 0 };
    return SteadyClock::now() - mMadeAt <= kAcceptTime &&
           PeerStateOf(mDescriptor, kNoWait) == PeerState::Reset;
  }

  std::unique_ptr<CURL, EasyDeleter> mEasy;
  int mDescriptor = CURL_SOCKET_BAD;
  SteadyClock::time_point mMadeAt = SteadyClock::now();
};

bool
AcceptsConnections(const std::string& aUrl)
{
  for (int i = 0; i < kMostConnections; ++i) {
    const ProcessConnection::Connection connection(aUrl);
    if (!connection.IsMade()) {
      return false;
    }
    if (!IsClosed(connection.mDescriptor, kSettleTime)) {
      return true;
    }
    std::this_thread::sleep_for(kReconnectPause);
  }
  return true; // The server may have too many connections.
}

ProcessConnection::ProcessConnection(std::string aUrl)
  : mUrl(std::move(aUrl))
{
}

ProcessConnection::~ProcessConnection() = default;

void
ProcessConnection::Begin(int aAnswer)
{
  constexpr std::chrono::milliseconds kNoWait{ 0 };
  mAnswer = aAnswer;
  mState = State::Unknown;
  if (IsClosed(mAnswer, kNoWait) || mConnections >= kMostObservers) {
    return;
  }
  mConnections += 1;
  mConnection = std::make_unique<Connection>(mUrl);
  const bool isOfProcess = mConnection->IsMade() && !IsClosed(mAnswer, kNoWait);
  mState = isOfProcess ? State::Open : State::Unknown;
}

void
ProcessConnection::Observe()
{
  constexpr std::chrono::milliseconds kNoWait{ 0 };
  if (mState != State::Open || !IsClosed(mConnection->mDescriptor, kNoWait)) {
    return;
  }
  if (mConnection->IsRefused()) {
    mState = State::Unknown;
    return;
  }
  // A process that ends closes its connections one after the other.
  if (IsClosed(mAnswer, kSettleTime)) {
    mState = State::Ended;
  } else {
    Begin(mAnswer);
  }
}

bool
ProcessConnection::IsRunning()
{
  if (mState == State::Open &&
      IsClosed(mConnection->mDescriptor, kSettleTime)) {
    mState = mConnection->IsRefused() ? State::Unknown : State::Ended;
  }
  return mState == State::Unknown ? AcceptsConnections(mUrl)
                                  : mState == State::Open;
}

} // namespace medlarkeel
