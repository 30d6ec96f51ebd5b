#include "processwatch.h"

#include "../libmedlarkeelnet/bootclock.h"

#include <boost/asio/write.hpp>

#include <poll.h>

namespace medlarkeel {

namespace {

/** Time in which the connections of a process that is ending are closed. */
constexpr Milliseconds kSettleTime{ 10 };

/** Time for the answer of a process that is asked. One that is silent for
 * longer is suspended or busy; one that was killed has closed its connections.
 */
constexpr Milliseconds kAnswerTime{ 200 };

/** Connections for one answer; servers close those that are idle. */
constexpr int kMostConnections = 4;

/** Time after which a server has accepted a connection for good. A server that
 * has too many resets it at once, and gets no further one. */
constexpr Microseconds kAcceptTime = std::chrono::milliseconds(100);

} // namespace

ProcessWatch::ProcessWatch(boost::asio::io_context& aContext,
                           const Endpoint& aEndpoint,
                           boost::asio::ip::tcp::socket& aAnswer,
                           std::string aRequest)
  : mEndpoint(aEndpoint)
  , mRequest(std::move(aRequest))
  , mAnswer(&aAnswer)
  , mSocket(aContext)
  , mTimer(aContext)
{
}

void
ProcessWatch::Start()
{
  Connect();
}

bool
ProcessWatch::IsAnswerClosed() const
{
  if (mAnswer == nullptr || !mAnswer->is_open()) {
    return true;
  }
  pollfd entry{ mAnswer->native_handle(), POLLRDHUP, 0 };
  return poll(&entry, 1, 0) > 0;
}

void
ProcessWatch::Connect()
{
  if (IsAnswerClosed() || mConnections >= kMostConnections) {
    return;
  }
  mConnections += 1;
  const boost::asio::ip::tcp::endpoint endpoint(
    boost::asio::ip::make_address(mEndpoint.mAddress), mEndpoint.mPort);
  mSocket.async_connect(endpoint,
                        [self = shared_from_this()](const Error& aError) {
                          if (!aError && !self->IsAnswerClosed()) {
                            self->mState = State::Open;
                            self->mConnectedAt = BootNow();
                            self->Read();
                          }
                        });
}

void
ProcessWatch::Read()
{
  mSocket.async_read_some(
    boost::asio::buffer(mBuffer),
    [self = shared_from_this()](const Error& aError, std::size_t) {
      if (aError == boost::asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        self->HandleEnd(aError);
      } else if (self->mHandler && !self->mRequest.empty()) {
        self->Finish();
      } else {
        self->Read();
      }
    });
}

void
ProcessWatch::HandleEnd(const Error& aError)
{
  Error ignored; // The server has closed the connection.
  mSocket.close(ignored);
  mState = State::Ended;
  if (IsAnswerClosed()) {
    Finish();
    return;
  }
  const bool isRefused = aError == boost::asio::error::connection_reset &&
                         BootNow() - mConnectedAt <= kAcceptTime;
  if (isRefused) {
    mState = State::Unknown;
    return;
  }
  // A process that ends closes its connections one after the other.
  mTimer.expires_after(kSettleTime);
  mTimer.async_wait([self = shared_from_this()](const Error& aError) {
    if (!aError && !self->IsAnswerClosed()) {
      self->mState = State::Unknown;
      self->Connect();
    }
  });
}

void
ProcessWatch::Conclude(Handler aHandler)
{
  mAnswer = nullptr;
  mHandler = std::move(aHandler);
  if (mState != State::Open) {
    Finish();
    return;
  }
  if (!mRequest.empty()) {
    Ask();
  }
  mTimer.expires_after(mRequest.empty() ? kSettleTime : kAnswerTime);
  mTimer.async_wait([self = shared_from_this()](const Error& aError) {
    if (!aError) {
      self->Finish();
    }
  });
}

void
ProcessWatch::Ask()
{
  boost::asio::async_write(
    mSocket,
    boost::asio::buffer(mRequest),
    [self = shared_from_this()](const Error&, std::size_t) {
      // A failed write shows as the end of the reading.
    });
}

void
ProcessWatch::Finish()
{
  const Handler handler = std::exchange(mHandler, nullptr);
  if (!handler) {
    return;
  }
  const State state = mState;
  Stop();
  handler(state == State::Unknown ? std::nullopt
                                  : std::optional<bool>(state == State::Open));
}

void
ProcessWatch::Stop()
{
  mAnswer = nullptr;
  mHandler = nullptr;
  Error ignored; // Nothing more is expected from this connection.
  mSocket.close(ignored);
  mTimer.cancel();
}

} // namespace medlarkeel
