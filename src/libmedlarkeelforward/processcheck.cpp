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

constexpr std::size_t kMostAnswerBytes = 65'536;

} // namespace

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
  StartTimer(kConnectTimeout, false);
  const boost::asio::ip::tcp::endpoint endpoint(
    boost::asio::ip::make_address(mProcess.mEndpoint.mAddress),
    mProcess.mEndpoint.mPort);
  mSocket.async_connect(endpoint,
                        [self = shared_from_this()](const Error& aError) {
                          if (!self->mHandler) {
                            return;
                          }
                          if (aError) {
                            self->Finish(false);
                            return;
                          }
                          self->Ask();
                        });
}

void
ProcessCheck::Ask()
{
  const bool asksStatus = mProcess.mHasStatus && !mProtocol.mStatusPath.empty();
  StartTimer(asksStatus ? kAnswerTimeout : kSettleTime, true);
  if (!asksStatus) {
    Read();
    return;
  }
  mRequest = "GET " + mProtocol.mStatusPath +
             " HTTP/1.1\r\nHost: " + EndpointText(mProcess.mEndpoint) + "\r\n" +
             mProtocol.mExpectedBackend + ": " + mProcess.mId.Text() +
             "\r\nConnection: close\r\n\r\n";
  boost::asio::async_write(
    mSocket,
    boost::asio::buffer(mRequest),
    [self = shared_from_this()](const Error&, std::size_t) {
      // A failed write shows as the end of the reading.
      if (self->mHandler) {
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
      if (self->mHandler) {
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
    TryAgain();
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
ProcessCheck::TryAgain()
{
  Error ignored; // Nothing is expected from this connection.
  mSocket.close(ignored);
  mInput.clear();
  if (mTries >= kMostTries) {
    Finish(true);
    return;
  }
  mTimer.expires_after(kRetryPause);
  mTimer.async_wait([self = shared_from_this()](const Error& aError) {
    if (!aError && self->mHandler) {
      self->Connect();
    }
  });
}

void
ProcessCheck::StartTimer(Milliseconds aTime, bool aIsRunning)
{
  mTimer.expires_after(aTime);
  mTimer.async_wait(
    [self = shared_from_this(), aIsRunning](const Error& aError) {
      if (!aError && self->mHandler) {
        self->Finish(aIsRunning);
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
