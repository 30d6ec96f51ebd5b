#include "callerconnection.h"

#include "answertext.h"
#include "exchange.h"

#include <boost/asio/write.hpp>

namespace medlarkeel {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;

/** Bytes of further requests that are read while one is answered. */
constexpr std::size_t kMostAhead = 65'536;

/** Time for the caller to close after the last answer. */
constexpr Milliseconds kLingerTime{ 1000 };

} // namespace

CallerConnection::CallerConnection(Forwarder& aForwarder,
                                   boost::asio::ip::tcp::socket aSocket)
  : mForwarder(aForwarder)
  , mSocket(std::move(aSocket))
  , mTimer(aForwarder.Context())
{
}

CallerLimits
CallerConnection::Limits() const
{
  const ForwardingDocumentPointer document = mForwarder.Document();
  return document ? document->mLimits : CallerLimits();
}

void
CallerConnection::Start()
{
  ApplySocketOptions(mSocket);
  StartTimer(Limits().mIdleTimeout);
  Read();
}

void
CallerConnection::Read()
{
  if (mIsReading || mIsClosed || mInput.size() > kMostAhead) {
    return;
  }
  mIsReading = true;
  mSocket.async_read_some(
    boost::asio::buffer(mReadBuffer),
    [self = shared_from_this()](const Error& aError, std::size_t aSize) {
      self->mIsReading = false;
      self->TakeBytes(aError, aSize);
    });
}

void
CallerConnection::TakeBytes(const Error& aError, std::size_t aSize)
{
  if (mIsClosed) {
    return;
  }
  if (aError) {
    if (mExchange) {
      const std::shared_ptr<Exchange> exchange = std::move(mExchange);
      exchange->Cancel();
    }
    Close();
    return;
  }
  if (mIsLingering) {
    Read();
    return;
  }
  mInput.append(mReadBuffer.data(), aSize);
  Process();
  Read();
}

void
CallerConnection::Process()
{
  if (mExchange || mIsClosed || mClosesAfterWrite || mInput.empty()) {
    return;
  }
  if (!mHasBegun) {
    mHasBegun = true;
    StartTimer(Limits().mHeaderTimeout);
  }
  if (!mParser && !ProcessHead()) {
    return;
  }
  ProcessBody();
}

bool
CallerConnection::ProcessHead()
{
  const CallerLimits limits = Limits();
  // The method is needed for the answer to a head that can't be read, too.
  mIsHeadOnly = mInput.rfind("HEAD ", 0) == 0;
  const std::optional<std::size_t> end = FindHeadEnd(mInput);
  if (end.value_or(mInput.size()) > limits.mHeaderBytes) {
    Reject(kHeadTooLarge, "the head is too large");
    return false;
  }
  if (!end || !CheckHead(std::string_view(mInput).substr(0, *end))) {
    return false;
  }
  auto parser = std::make_unique<RequestParser>();
  std::string head = mInput.substr(0, *end);
  mInput.erase(0, *end);
  if (Feed(*parser, head) == ParseState::Invalid) {
    Reject(kBadRequest, "the head can't be read");
    return false;
  }
  const auto length = parser->content_length();
  if (length && *length > limits.mBodyBytes) {
    Reject(kTooLarge, "the body is too large");
    return false;
  }
  const std::string* expect = parser->Head().Find("Expect");
  if (expect != nullptr && !parser->is_done() && mInput.empty()) {
    Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  mParser = std::move(parser);
  return true;
}

bool
CallerConnection::CheckHead(std::string_view aHead)
{
  const std::string_view fault = FindHeadFault(aHead);
  if (fault.empty()) {
    return true;
  }
  Reject(kBadRequest, std::string(fault));
  return false;
}

void
CallerConnection::ProcessBody()
{
  const CallerLimits limits = Limits();
  const ParseState state = Feed(*mParser, mInput);
  if (state == ParseState::Invalid) {
    Reject(kBadRequest, "the body can't be read");
    return;
  }
  if (mParser->AnnouncedBytes() > limits.mBodyBytes) {
    Reject(kTooLarge, "the body is too large");
    return;
  }
  if (state == ParseState::NeedMore) {
    return;
  }
  mTimer.cancel();
  mHasBegun = false;
  const std::unique_ptr<RequestParser> parser = std::move(mParser);
  mExchange = std::make_shared<Exchange>(mForwarder,
                                         shared_from_this(),
                                         std::move(parser->Head()),
                                         parser->TakeBody(),
                                         parser->keep_alive());
  const std::shared_ptr<Exchange> exchange = mExchange;
  exchange->Start();
}

void
CallerConnection::Reject(int aStatus,
                         const std::string& aReason,
                         std::optional<Milliseconds> aRetryAfter)
{
  mForwarder.Counters().mRejected += 1;
  mForwarder.Log().Write(Event::RequestRefused,
                         { { "status", aStatus }, { "reason", aReason } });
  OwnAnswer answer;
  answer.mStatus = aStatus;
  answer.mReason = aReason;
  answer.mRetryAfter = aRetryAfter;
  answer.mIsHeadOnly = mIsHeadOnly;
  Send(TextOf(answer));
  mParser.reset();
  mInput.clear();
  FinishAnswer(false);
}

void
CallerConnection::StartTimer(Milliseconds aTime)
{
  mTimer.expires_after(aTime);
  mTimer.async_wait([self = shared_from_this()](const Error& aError) {
    if (aError || self->mIsClosed || self->mExchange) {
      return;
    }
    if (self->mHasBegun) {
      self->Reject(kRequestTimeout, "the request came too slowly");
    } else {
      self->Close();
    }
  });
}

void
CallerConnection::Send(std::string aBytes)
{
  if (mIsClosed || aBytes.empty()) {
    return;
  }
  mPendingBytes += aBytes.size();
  mOutput.push_back(std::move(aBytes));
  Write();
}

void
CallerConnection::Write()
{
  if (mIsWriting || mIsClosed) {
    return;
  }
  if (mOutput.empty()) {
    if (mClosesAfterWrite) {
      CloseGracefully();
    }
    return;
  }
  mIsWriting = true;
  boost::asio::async_write(
    mSocket,
    boost::asio::buffer(mOutput.front()),
    [self = shared_from_this()](const Error& aError, std::size_t) {
      self->mIsWriting = false;
      if (self->mIsClosed) {
        return;
      }
      if (aError) {
        self->TakeBytes(aError, 0);
        return;
      }
      self->mPendingBytes -= self->mOutput.front().size();
      self->mOutput.pop_front();
      if (self->mExchange && self->mOutput.empty()) {
        self->mExchange->ResumeReading();
      }
      self->Write();
    });
}

void
CallerConnection::FinishAnswer(bool aKeepOpen)
{
  mExchange.reset();
  mHasBegun = false;
  if (mIsClosed) {
    return;
  }
  // The answer may have promised to keep the connection before the shutdown
  // began: a request that has arrived behind it gets an answer.
  const bool isLast = mForwarder.IsStopping() && mInput.empty();
  if (!aKeepOpen || isLast) {
    mTimer.cancel();
    mClosesAfterWrite = true;
    Write();
    return;
  }
  StartTimer(Limits().mIdleTimeout);
  boost::asio::post(mSocket.get_executor(), [self = shared_from_this()]() {
    self->Process();
    self->Read();
  });
}

void
CallerConnection::CloseIfIdle()
{
  if (!IsBusy() && mOutput.empty() && !mClosesAfterWrite) {
    mClosesAfterWrite = true;
    CloseGracefully();
  }
}

void
CallerConnection::EndForShutdown()
{
  if (mIsClosed || mClosesAfterWrite) {
    return;
  }
  if (mExchange) {
    const std::shared_ptr<Exchange> exchange = mExchange;
    exchange->EndForShutdown();
  } else if (mHasBegun) {
    Reject(kUnavailable, kShutdownReason, kShutdownRetryDelay);
  }
}

void
CallerConnection::CloseGracefully()
{
  // Unread bytes would turn the close into a reset that discards the answer.
  if (mIsLingering || mIsClosed) {
    return;
  }
  mIsLingering = true;
  SetResetOnClose(false);
  Error ignored; // The read below ends in either case.
  mSocket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  mTimer.expires_after(kLingerTime);
  mTimer.async_wait([self = shared_from_this()](const Error& aError) {
    if (!aError) {
      self->Close();
    }
  });
  mInput.clear();
  Read();
}

void
CallerConnection::Abort()
{
  mExchange.reset();
  Close();
}

void
CallerConnection::SetResetOnClose(bool aIsReset)
{
  Error ignored; // Without the option the connection is closed in order.
  mSocket.set_option(boost::asio::socket_base::linger(aIsReset, 0), ignored);
}

void
CallerConnection::ResetUnlessFinished()
{
  SetResetOnClose(true);
}

void
CallerConnection::Reset()
{
  SetResetOnClose(true);
  Abort();
}

void
CallerConnection::Close()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  mTimer.cancel();
  Error ignored; // The connection is given up in either case.
  mSocket.close(ignored);
  mForwarder.Remove(shared_from_this());
}

} // namespace medlarkeel
