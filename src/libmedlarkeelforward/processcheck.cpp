#include "processcheck.h"

#include <boost/asio/write.hpp>

namespace medlarkeel {

namespace {

constexpr int kMisdirected = 421;

/** Time for a connection. */
constexpr Milliseconds kConnectTimeout{ 200 };
/** Time for an answer over the connection. */
constexpr Milliseconds kAnswerTimeout{ 200 };
/** Time in which the connection of a process that is ending is reset. */
constexpr Milliseconds kSettleTime{ 10 };
/** Pause between two tries. */
constexpr Milliseconds kRetryPause{ 20 };
constexpr int kMostTries = 2;
/** Tries at a process that is silent, as when it is suspended or its instance
 * is busy. They take less time than callers wait for an event. */
constexpr int kMostSilentTries = 7;

constexpr std::size_t kMostAnswerBytes = 65'536;

} // namespace

std::string
StatusRequestText(const WireProtocol& aProtocol, const CheckedProcess& aProcess)
{
  if (!aProcess.mHasStatus || aProtocol.mStatusPath.empty()) {
    return {};
  }
  return "GET " + aProtocol.mStatusPath +
         " HTTP/1.1\r\nHost: " + EndpointText(aProcess.mEndpoint) + "\r\n" +
         aProtocol.mExpectedBackend + ": " + aProcess.mId.Text() +
         "\r\nConnection: close\r\n\r\n";
}

ProcessCheck::ProcessCheck(boost::asio::io_context& aContext,
                           const WireProtocol& aProtocol,
                           CheckedProcess aProcess,
                           Handler aHandler)
  : mProtocol(aProtocol)
  , mProcess(std::move(aProcess))
  , mHandler(std::move(aHandler))
  , mSocket(aContext)
  , mTimer(aContext)
{
}

void
ProcessCheck::Start()
{
  Connect();
}

void
ProcessCheck::Connect()
{
  mTries += 1;
  WaitFor(kConnectTimeout, &ProcessCheck::HandleConnectTimeout);
  const boost::asio::ip::tcp::endpoint endpoint(
    boost::asio::ip::make_address(mProcess.mEndpoint.mAddress),
    mProcess.mEndpoint.mPort);
  mSocket.async_connect(
    endpoint, [self = shared_from_this()](const Error& aError) {
      const bool isGivenUp = aError == boost::asio::error::operation_aborted;
      if (!self->mHandler || isGivenUp) {
        return;
      }
      if (aError == boost::asio::error::connection_refused) {
        self->Finish(false);
      } else if (aError) {
        self->TryAgain(false);
      } else {
        self->Ask();
      }
    });
}

void
ProcessCheck::Ask()
{
  mRequest = StatusRequestText(mProtocol, mProcess);
  const bool asksStatus = !mRequest.empty();
  WaitFor(asksStatus ? kAnswerTimeout : kSettleTime,
          &ProcessCheck::HandleSilence);
  if (!asksStatus) {
    Read();
    return;
  }
  boost::asio::async_write(
    mSocket,
    boost::asio::buffer(mRequest),
    [self = shared_from_this()](const Error& aError, std::size_t) {
      // Another failed write shows as the end of the reading.
      if (self->mHandler && aError != boost::asio::error::operation_aborted) {
        self->Read();
      }
    });
}

void
ProcessCheck::Read()
{
  mSocket.async_read_some(
    boost::asio::buffer(mBuffer),
    [self = shared_from_this()](const Error& aError, std::size_t aSize) {
      if (self->mHandler && aError != boost::asio::error::operation_aborted) {
        self->TakeBytes(aError, aSize);
      }
    });
}

void
ProcessCheck::TakeBytes(const Error& aError, std::size_t aSize)
{
  mInput.append(mBuffer.data(), aSize);
  if (!mParser && !aError) {
    if (const auto end = FindHeadEnd(mInput)) {
      mParser = std::make_unique<AnswerParser>();
    }
  }
  const ParseState state =
    mParser ? Feed(*mParser, mInput) : ParseState::NeedMore;
  const bool hasEnded =
    aError || state != ParseState::NeedMore || mInput.size() > kMostAnswerBytes;
  if (!hasEnded) {
    Read();
  } else if (mParser) {
    Finish(IsAnswerOfProcess());
  } else {
    // The process was just ending, or the server has too many connections.
    TryAgain(true);
  }
}

bool
ProcessCheck::IsAnswerOfProcess() const
{
  if (mParser->Head().mStatus == kMisdirected) {
    return false;
  }
  const auto startedAt = mProtocol.mReadStartTime == nullptr
                           ? std::nullopt
                           : mProtocol.mReadStartTime(mParser->Body());
  return !startedAt || !mProcess.mStartedAt ||
         *startedAt == *mProcess.mStartedAt;
}

void
ProcessCheck::HandleConnectTimeout()
{
  TryAgain(false);
}

void
ProcessCheck::HandleSilence()
{
  const bool mustAnswer = !mRequest.empty() && mProcess.mStartedAt;
  if (mustAnswer) {
    TryAgain(false);
  } else {
    Finish(true);
  }
}

void
ProcessCheck::TryAgain(bool aIsRunning)
{
  Error ignored; // Nothing is expected from this connection.
  mSocket.close(ignored);
  mInput.clear();
  mParser.reset();
  if (mTries >= (aIsRunning ? kMostTries : kMostSilentTries)) {
    Finish(aIsRunning);
    return;
  }
  WaitFor(kRetryPause, &ProcessCheck::Connect);
}

void
ProcessCheck::WaitFor(Milliseconds aTime, void (ProcessCheck::*aMethod)())
{
  mTimer.expires_after(aTime);
  mTimer.async_wait([self = shared_from_this(), aMethod](const Error& aError) {
    // A handler that is queued already isn't taken back by a new time.
    const bool isOutdated =
      self->mTimer.expiry() > std::chrono::steady_clock::now();
    if (!aError && !isOutdated && self->mHandler) {
      (*self.*aMethod)();
    }
  });
}

void
ProcessCheck::Finish(bool aIsRunning)
{
  const Handler handler = std::exchange(mHandler, nullptr);
  Error ignored; // The answer is known.
  mSocket.close(ignored);
  mTimer.cancel();
  handler(aIsRunning);
}

} // namespace medlarkeel
