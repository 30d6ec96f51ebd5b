#include "callerconnection.h"

#include "../libmedlarkeelnet/bootclock.h"
#include "answertext.h"
#include "exchange.h"
#include "requestroute.h"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace medlarkeel {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;

/** Bytes that are read at once. */
constexpr std::size_t kReadSize = 16'384;

/** Bytes of further requests that are read while one is answered. */
constexpr std::size_t kMostAhead = 65'536;

/** Time for the caller to close after the last answer. */
constexpr Milliseconds kLingerTime{ 1000 };

/** Time after which callers that were refused for memory should retry: as long
 * as a stalled body may keep its memory. */
constexpr Milliseconds kMemoryRetryDelay{ 500 };

constexpr const char* kMemoryReason = "the entry lacks memory";
constexpr const char* kDescriptorReason = "the entry lacks descriptors";

} // namespace

CallerConnection::CallerConnection(Forwarder& aForwarder,
                                   boost::asio::ip::tcp::socket aSocket,
                                   std::string aAddress,
                                   std::size_t aReceiveBufferBytes)
  : mForwarder(aForwarder)
  , mSocket(std::move(aSocket))
  , mTimer(aForwarder.Context())
  , mAddress(std::move(aAddress))
  , mReceiveBufferBytes(aReceiveBufferBytes)
  , mId(aForwarder.Memory().Add(BootNow()))
  , mHeadMissingSince(BootNow())
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
  Error ignored; // Reads follow a wait, so that a blocking one rarely waits.
  mSocket.non_blocking(true, ignored);
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
  mSocket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const Error& aError) {
                       self->mIsReading = false;
                       self->TakeReadable(aError);
                     });
}

void
CallerConnection::TakeReadable(const Error& aError)
{
  if (mIsClosed) {
    return;
  }
  if (aError) {
    TakeBytes(aError, {});
    return;
  }
  if (!HasEnded() && !HasMemory()) {
    return;
  }
  std::array<char, kReadSize> buffer; // NOLINT: filled by the read
  Error error;
  const std::size_t size =
    mSocket.read_some(boost::asio::buffer(buffer), error);
  if (error == boost::asio::error::would_block) {
    Read();
    return;
  }
  mMovedBytes += size;
  TakeBytes(error, std::string_view(buffer.data(), size));
}

bool
CallerConnection::HasEnded() const
{
  Error error;
  return mSocket.available(error) == 0;
}

bool
CallerConnection::HasMemory()
{
  if (mIsLingering || mClosesAfterWrite) {
    return true; // What arrives is discarded.
  }
  const ReadDecision decision =
    mForwarder.Memory().Decide(mId, kReadSize, BootNow());
  mForwarder.EvictCallers(decision.mEvicted);
  switch (decision.mVerdict) {
    case ReadVerdict::Read:
      return true;
    case ReadVerdict::Pause:
      mForwarder.WatchPaused();
      return false;
    case ReadVerdict::Refuse:
      RefuseForMemory();
      return false;
  }
  return true;
}

void
CallerConnection::Resume()
{
  if (mHasBegun || mExchange) {
    Read();
  }
}

void
CallerConnection::Evict()
{
  if (mIsClosed) {
    return;
  }
  if (mHasBegun && !mExchange) {
    RefuseForMemory();
  } else if (!mExchange) {
    mForwarder.Counters().mAnswersCutForMemory += 1;
    mForwarder.LogMemoryPressure();
    Reset();
  }
}

void
CallerConnection::RefuseForMemory()
{
  mForwarder.Counters().mRefusedForMemory += 1;
  mForwarder.LogMemoryPressure();
  Reject(kUnavailable, kMemoryReason, kMemoryRetryDelay);
}

CallerPhase
CallerConnection::Phase() const
{
  if (mExchange) {
    return CallerPhase::Running;
  }
  if (mHasBegun) {
    return CallerPhase::Receiving;
  }
  return mPendingBytes > 0 ? CallerPhase::Answering : CallerPhase::Idle;
}

std::size_t
CallerConnection::MissingBytes() const
{
  if (!mParser || mParser->is_done()) {
    return 0;
  }
  const auto length = mParser->content_length();
  const std::size_t whole = length ? *length : Limits().mBodyBytes;
  return whole - std::min<std::size_t>(whole, mParser->Body().size());
}

void
CallerConnection::UpdateMemory()
{
  if (mIsClosed) {
    return;
  }
  CallerUsage usage;
  usage.mPhase = Phase();
  usage.mHeldBytes = mInput.size() + mPendingBytes +
                     (mParser ? mParser->HeldBytes() : 0) +
                     (mExchange ? mExchange->HeldBytes() : 0);
  usage.mMissingBytes = MissingBytes();
  usage.mIsLengthKnown = !mParser || mParser->content_length();
  usage.mPriority = mPriority;
  usage.mMovedBytes = mMovedBytes;
  mForwarder.Memory().Update(mId, usage, BootNow());
}

void
CallerConnection::TakeBytes(const Error& aError, std::string_view aBytes)
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
  if (mIsLingering || mClosesAfterWrite) {
    Read();
    return;
  }
  mInput.append(aBytes);
  Process();
  UpdateMemory();
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
    mHeadMissingSince = mHeadMissingSince.value_or(BootNow());
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
    RejectTooLarge();
    return false;
  }
  ReadPriority(parser->Head());
  const std::string* expect = parser->Head().Find("Expect");
  if (expect != nullptr && !parser->is_done() && mInput.empty()) {
    Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  mParser = std::move(parser);
  mHeadMissingSince.reset();
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
    RejectTooLarge();
    return;
  }
  if (state == ParseState::NeedMore) {
    return;
  }
  if (!CheckDescriptors()) {
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
CallerConnection::ReadPriority(const MessageHead& aHead)
{
  const ForwardingDocumentPointer document = mForwarder.Document();
  mPriority = RequestPriority();
  if (!document) {
    return;
  }
  if (const ForwardRoute* route = FindRequestRoute(*document, aHead)) {
    mPriority = PriorityOf(
      FindRequestTeam(*document, aHead, mForwarder.Protocol()), *route);
  }
}

bool
CallerConnection::CheckDescriptors()
{
  if (mForwarder.MayOpenServerConnection()) {
    return true;
  }
  mForwarder.Counters().mRefusedForDescriptors += 1;
  Reject(kUnavailable, kDescriptorReason, kMemoryRetryDelay);
  return false;
}

void
CallerConnection::RejectTooLarge()
{
  mForwarder.Counters().mRefusedForSize += 1;
  Reject(kTooLarge, "the body is too large");
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
  std::string().swap(mInput);
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
    if (self->mHasBegun && self->mForwarder.Memory().IsPaused(self->mId)) {
      self->RefuseForMemory();
    } else if (self->mHasBegun) {
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
  UpdateMemory();
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
        self->TakeBytes(aError, {});
        return;
      }
      self->mMovedBytes += self->mOutput.front().size();
      self->mPendingBytes -= self->mOutput.front().size();
      self->mOutput.pop_front();
      self->UpdateMemory();
      if (self->mExchange && self->mOutput.empty()) {
        self->mExchange->ResumeReading();
      }
      self->Write();
    });
}

bool
CallerConnection::MayKeepOpen() const
{
  return !mForwarder.IsStopping() || !mInput.empty();
}

void
CallerConnection::FinishAnswer(bool aKeepOpen)
{
  mExchange.reset();
  mHasBegun = false;
  if (mIsClosed) {
    return;
  }
  UpdateMemory();
  // The answer may have promised to keep the connection before the shutdown
  // began: a request that has arrived behind it gets an answer.
  if (!aKeepOpen || !MayKeepOpen()) {
    mTimer.cancel();
    mClosesAfterWrite = true;
    Write();
    return;
  }
  StartTimer(Limits().mIdleTimeout);
  boost::asio::post(mSocket.get_executor(), [self = shared_from_this()]() {
    self->Process();
    self->UpdateMemory();
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
