#include "exchange.h"

#include "../libmedlarkeel/forwarding/requestedpause.h"
#include "../libmedlarkeelnet/bootclock.h"
#include "callerconnection.h"
#include "connectionend.h"
#include "processcheck.h"

namespace medlarkeel {

namespace {

constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kFirstFailure = 300;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

/** Answers up to this size are passed on only when they are whole. */
constexpr std::size_t kMostHeldBody = 1U << 20U;

/** Size of a head, of a line between chunks or of trailers beyond which the
 * bytes are taken for no answer. */
constexpr std::size_t kMostHeadBytes = 65'536;

/** Size of one event beyond which the bytes are taken for no stream. */
constexpr std::size_t kMostEventBytes = 1U << 20U;

/** Answers that may stand before that to the request: interim ones, and late
 * ones to earlier requests on the connection. */
constexpr int kMostOtherAnswers = 8;

/** Characters of a server's field that are logged. */
constexpr std::size_t kLoggedFieldSize = 40;

/** @return How the transfer of a complete message ended. */
TransferEnd
EndOfMessage(const AnswerParser& aParser)
{
  if (aParser.chunked()) {
    return TransferEnd::LastChunk;
  }
  return aParser.need_eof() ? TransferEnd::Close : TransferEnd::Length;
}

} // namespace

void
Exchange::ReadAnswer(const AttemptPointer& aAttempt)
{
  aAttempt->mConnection->mSocket.async_read_some(
    boost::asio::buffer(aAttempt->mBuffer),
    [self = shared_from_this(), aAttempt](const Error& aError,
                                          std::size_t aSize) {
      if (self->mIsDone || self->mAttempt != aAttempt) {
        return;
      }
      self->TakeBytes(aAttempt, aError, aSize);
    });
}

void
Exchange::TakeBytes(const AttemptPointer& aAttempt,
                    const Error& aError,
                    std::size_t aSize)
{
  if (aError) {
    BackendConnection& connection = *aAttempt->mConnection;
    HandleConnectionEnd(aAttempt,
                        aError == boost::asio::error::eof &&
                          IsClosedInOrder(connection.mSocket.native_handle(),
                                          connection.mBytesRead));
    return;
  }
  aAttempt->mConnection->mBytesRead += aSize;
  aAttempt->mInput.append(aAttempt->mBuffer.data(), aSize);
  while (!mIsDone && mAttempt == aAttempt) {
    if (!aAttempt->mHasHead && !TakeHead(aAttempt)) {
      break;
    }
    ParseState state = Feed(*aAttempt->mParser, aAttempt->mInput);
    if (state == ParseState::NeedMore &&
        aAttempt->mInput.size() > kMostHeadBytes) {
      state = ParseState::Invalid;
    }
    const bool isForeign = aAttempt->mIsForeign;
    TakeBody(aAttempt, state);
    if (!isForeign || state != ParseState::Done) {
      break;
    }
  }
  if (mIsDone || mAttempt != aAttempt) {
    return;
  }
  if (aAttempt->mInput.empty()) {
    std::string().swap(aAttempt->mInput); // It might wait long for more.
  }
  mCaller->UpdateMemory();
  if (!aAttempt->mIsPaused) {
    ReadAnswer(aAttempt);
  }
}

void
Exchange::HandleConnectionEnd(const AttemptPointer& aAttempt, bool aIsClosed)
{
  const bool endsBody = aAttempt->mHasHead && aAttempt->mParser->need_eof();
  if (aIsClosed && endsBody) {
    Error error;
    aAttempt->mParser->put_eof(error);
    TakeBody(aAttempt, error ? ParseState::Invalid : ParseState::Done);
    return;
  }
  TransferEnd end = TransferEnd::Reset;
  if (aIsClosed && aAttempt->mHasHead) {
    end = TransferEnd::CloseInBody;
  } else if (aIsClosed) {
    end = aAttempt->mInput.empty() ? TransferEnd::CloseBeforeHead
                                   : TransferEnd::CloseInHead;
  }
  EndBroken(aAttempt,
            FindEndFault(end, nullptr).value_or(AnswerFault::EndInBody));
}

void
Exchange::ResumeReading()
{
  // Reading pauses only while bytes for the caller are pending.
  if (mAttempt && mAttempt->mIsPaused && !mIsDone) {
    mAttempt->mIsPaused = false;
    ReadAnswer(mAttempt);
  }
}

bool
Exchange::TakeHead(const AttemptPointer& aAttempt)
{
  const std::optional<std::size_t> end = FindHeadEnd(aAttempt->mInput);
  if (!end) {
    if (aAttempt->mInput.size() > kMostHeadBytes) {
      EndBroken(aAttempt, AnswerFault::HeadTooLarge);
    }
    return false;
  }
  std::string head = aAttempt->mInput.substr(0, *end);
  aAttempt->mInput.erase(0, *end);
  auto parser = std::make_unique<AnswerParser>();
  if (IsHeadOnly()) {
    parser->skip(true);
  }
  const bool isRead =
    FindHeadFault(head).empty() && Feed(*parser, head) != ParseState::Invalid;
  const int status = parser->Head().mStatus;
  if (!isRead || status < kFirstStatus || status > kLastStatus) {
    EndBroken(aAttempt, AnswerFault::InvalidHead);
    return false;
  }
  if (status < kFirstFinalStatus) {
    return SkipsOtherAnswer(aAttempt) && TakeHead(aAttempt);
  }
  RecordServerState(*aAttempt, parser->Head());
  const std::string* id = parser->Head().Find(mForwarder.Protocol().mRequestId);
  aAttempt->mIsForeign = id != nullptr && *id != mRequestId;
  const bool isUnusable =
    id == nullptr || (aAttempt->mIsForeign && parser->need_eof());
  if (isUnusable) {
    EndBroken(aAttempt,
              id == nullptr ? AnswerFault::NoRequestId
                            : AnswerFault::OtherAnswers);
    return false;
  }
  if (aAttempt->mIsForeign && !SkipsOtherAnswer(aAttempt)) {
    return false;
  }
  if (!aAttempt->mIsForeign) {
    RecordRequestLimit(*aAttempt, parser->Head());
    const bool saysNotRun =
      parser->Head().Find(mForwarder.Protocol().mNotRun) != nullptr;
    aAttempt->mFailure = ClassifyAnswer(parser->Head().mStatus, saysNotRun);
    AnswerForm form;
    form.mIsStreamExpected = mRoute->mIsStream;
    form.mStatus = parser->Head().mStatus;
    form.mContentTypes = parser->Head().FindAll("Content-Type");
    form.mIsHeadOnly = IsHeadOnly();
    form.mLastEventId = mLastEventId;
    aAttempt->mBody = AnswerBody(form);
  }
  aAttempt->mParser = std::move(parser);
  aAttempt->mHasHead = true;
  if (aAttempt->mParser->need_eof()) {
    aAttempt->mWatch = std::make_shared<ProcessWatch>(
      mForwarder.Context(),
      aAttempt->mChoice.mEndpoint,
      aAttempt->mConnection->mSocket,
      StatusRequestText(mForwarder.Protocol(), ProcessOf(*aAttempt)));
    aAttempt->mWatch->Start();
  }
  return true;
}

bool
Exchange::SkipsOtherAnswer(const AttemptPointer& aAttempt)
{
  aAttempt->mOtherAnswers += 1;
  if (aAttempt->mOtherAnswers <= kMostOtherAnswers) {
    return true;
  }
  EndBroken(aAttempt, AnswerFault::OtherAnswers);
  return false;
}

void
Exchange::RecordServerState(const Attempt& aAttempt, const MessageHead& aHead)
{
  const BackendChoice& choice = aAttempt.mChoice;
  const std::string* leaving = aHead.Find(mForwarder.Protocol().mLeaving);
  const bool isLeaving = leaving != nullptr && *leaving != "0";
  if (isLeaving &&
      mForwarder.Backends().RecordShuttingDown(choice.mProcessHash)) {
    mForwarder.Log().Write(
      Event::BackendLeaving,
      { { "server", choice.mId.Text() }, { "request", mRequestId } });
  }
  const std::string* pause = aHead.Find("Retry-After");
  if (aHead.mStatus != kUnavailable || pause == nullptr) {
    return;
  }
  const Timestamp now = BootNow();
  const RequestedPause requested = ParseRequestedPause(*pause);
  mForwarder.Chooser().RecordNotBefore(
    choice.mProcessHash, now + requested.mTime, now);
  mForwarder.Log().Write(Event::BackendPaused,
                         { { "server", choice.mId.Text() },
                           { "request", mRequestId },
                           { "pauseMs", requested.mTime.count() },
                           { "usual", requested.mIsInRange },
                           { "field", pause->substr(0, kLoggedFieldSize) } });
}

void
Exchange::RecordRequestLimit(const Attempt& aAttempt, const MessageHead& aHead)
{
  if (aHead.mStatus == kMisdirected) {
    return; // Another server may have answered at a reused address.
  }
  const BackendChoice& choice = aAttempt.mChoice;
  const Timestamp now = BootNow();
  ServerLimits& limits = mForwarder.Limits();
  const std::string* field = aHead.Find(mForwarder.Protocol().mRequestLimit);
  const std::optional<RequestRate> rate =
    field == nullptr ? std::nullopt : ParseRequestRate(*field);
  LimitChange change = LimitChange::None;
  if (rate) {
    mForwarder.Counters().mLimitedAnswers += 1;
    change = limits.RecordStated(choice.mProcessHash, *rate, now);
  } else if (field == nullptr) {
    change = limits.RecordNotStated(choice.mProcessHash, aAttempt.mSentAt, now);
  } else {
    mForwarder.Counters().mUnusableLimits += 1;
  }
  if (change != LimitChange::None) {
    mForwarder.NotifyPeers();
  }
  const bool isUnusable = field != nullptr && !rate;
  if (change == LimitChange::None && !isUnusable) {
    return;
  }
  EventFields fields{ { "server", choice.mId.Text() },
                      { "request", mRequestId },
                      { "change",
                        isUnusable ? "unusable" : LimitChangeText(change) } };
  if (rate) {
    fields["perSecond"] = rate->mPerSecond;
  }
  if (field != nullptr) {
    fields["field"] = field->substr(0, kLoggedFieldSize);
  }
  mForwarder.Log().Write(Event::BackendLimit, fields);
}

void
Exchange::TakeBody(const AttemptPointer& aAttempt, ParseState aState)
{
  if (aState == ParseState::Invalid) {
    EndBroken(aAttempt, AnswerFault::InvalidBody);
    return;
  }
  if (aAttempt->mIsForeign) {
    aAttempt->mForeignBytes += aAttempt->mParser->TakeBody().size();
    if (aAttempt->mForeignBytes > kMostHeldBody) {
      EndBroken(aAttempt, AnswerFault::OtherAnswers);
      return;
    }
    if (aState == ParseState::Done) {
      aAttempt->mHasHead = false;
      aAttempt->mIsForeign = false;
    }
    return;
  }
  const bool isDone = aState == ParseState::Done;
  AnswerBody& body = aAttempt->mBody;
  const std::string arrived = aAttempt->mParser->TakeBody();
  std::string bytes = body.Push(arrived);
  std::optional<AnswerFault> fault = body.Fault(kMostEventBytes);
  if (isDone && !fault) {
    BodyEnd end = body.End(EndOfMessage(*aAttempt->mParser));
    bytes += end.mBytes;
    fault = end.mFault;
  }
  if (!arrived.empty() && !aAttempt->mHasFirstByte) {
    RecordFirstByte(*aAttempt);
  }
  if (PassesEvents(*aAttempt)) {
    PassEvents(aAttempt, bytes, isDone, fault);
    return;
  }
  if (mHasAnswered && body.Kind()) {
    // The run that should go on with a stream brought something else.
    EndBroken(aAttempt, AnswerFault::NotAStream);
    return;
  }
  aAttempt->mHeldBody += bytes;
  if (aAttempt->mHeldBody.size() > kMostHeldBody) {
    EndBroken(aAttempt, AnswerFault::BodyTooLarge);
  } else if (isDone) {
    EndHeldAnswer(aAttempt, fault);
  } else if (fault) {
    EndBroken(aAttempt, *fault);
  }
}

void
Exchange::RecordFirstByte(Attempt& aAttempt)
{
  aAttempt.mHasFirstByte = true;
  aAttempt.mFirstByteAt = BootNow();
  mForwarder.Chooser().RecordFirstByte(aAttempt.mChoice);
  if (mPrompt && aAttempt.mBody.IsEventStream()) {
    mForwarder.Admission(mPool->mName)
      .RecordFirstEvent(aAttempt.mChoice.TokensBeforeFirstEvent(),
                        aAttempt.mFirstByteAt - aAttempt.mBegunAt);
  }
  if (PassesEvents(aAttempt)) {
    RecordForecastError(aAttempt,
                        aAttempt.mFirstByteAt - aAttempt.mBegunAt,
                        aAttempt.mFirstByteAt);
  }
  if (mFirstByteAfter.count() == 0) {
    mFirstByteAfter = aAttempt.mFirstByteAt - mArrived;
  }
}

void
Exchange::RecordForecastError(const Attempt& aAttempt,
                              Microseconds aActual,
                              Timestamp aNow)
{
  if (!aAttempt.mForecast) {
    return;
  }
  mForecastError = std::chrono::duration_cast<Milliseconds>(
    Microseconds(*aAttempt.mForecast) - aActual);
  mForwarder.Admission(mPool->mName)
    .RecordForecast(aAttempt.mChoice, *aAttempt.mForecast, aActual, aNow);
}

void
Exchange::RecordLateForecast(const Attempt& aAttempt)
{
  // Without these, a server that hangs would leave no error at all. A wait that
  // ends before the expected time says nothing about the forecast.
  const Timestamp now = BootNow();
  const Microseconds waited = now - aAttempt.mBegunAt;
  const bool isLate = aAttempt.mForecast && waited > *aAttempt.mForecast;
  if (isLate && mRoute->mIsStream && !aAttempt.mHasFirstByte) {
    RecordForecastError(aAttempt, waited, now);
  }
}

void
Exchange::EndHeldAnswer(const AttemptPointer& aAttempt,
                        std::optional<AnswerFault> aFault)
{
  if (aAttempt->mFailure == AttemptOutcome::Broken) {
    EndBroken(aAttempt, AnswerFault::UnstatedRefusal);
    return;
  }
  // Answers that state that the request hasn't run are not passed on.
  if (aAttempt->mFailure && *aAttempt->mFailure != AttemptOutcome::Failed) {
    EndAttempt(aAttempt, *aAttempt->mFailure);
    return;
  }
  if (aFault) {
    EndBroken(aAttempt, *aFault);
    return;
  }
  CompleteAnswer(aAttempt);
}

bool
Exchange::PassesEvents(const Attempt& aAttempt) const
{
  return mRoute->mIsStream && aAttempt.mBody.IsEventStream() &&
         !aAttempt.mFailure && aAttempt.mParser->Head().mStatus < kFirstFailure;
}

void
Exchange::PassEvents(const AttemptPointer& aAttempt,
                     const std::string& aEvents,
                     bool aIsEnd,
                     std::optional<AnswerFault> aFault)
{
  mLastEventId = aAttempt->mBody.LastEventId();
  const bool isComplete = aIsEnd && !aFault;
  std::string text;
  if (!mHasAnswered && (!aEvents.empty() || isComplete)) {
    mHasAnswered = true;
    if (!mRoute->mIsResumable) {
      mBody.reset(); // No other server can go on with the stream.
    }
    mIsChunked = mHead.mVersion >= 11;
    mKeepOpen = mKeepOpen && mIsChunked && mCaller->MayKeepOpen();
    if (!mIsChunked) {
      mCaller->ResetUnlessFinished();
    }
    text =
      ForwardedHead(aAttempt->mParser->Head(),
                    mIsChunked ? BodyFraming::Chunked : BodyFraming::UntilClose,
                    0,
                    mKeepOpen);
  }
  text += mIsChunked ? Chunk(aEvents) : aEvents;
  mCaller->Send(std::move(text));
  if (aFault) {
    EndBroken(aAttempt, *aFault);
    return;
  }
  if (isComplete) {
    CompleteAnswer(aAttempt);
    return;
  }
  aAttempt->mIsPaused =
    mCaller->PendingBytes() > mForwarder.Memory().AnswerAllowance();
}

void
Exchange::CompleteAnswer(const AttemptPointer& aAttempt)
{
  if (!NeedsProcess(EndOfMessage(*aAttempt->mParser))) {
    FinishAnswer(aAttempt);
    return;
  }
  mForwarder.Counters().mProcessChecks += 1;
  if (!aAttempt->mWatch) {
    CheckProcess(aAttempt);
    return;
  }
  aAttempt->mWatch->Conclude(
    [self = shared_from_this(), aAttempt](std::optional<bool> aIsRunning) {
      if (self->mIsDone || self->mAttempt != aAttempt) {
        return;
      }
      if (aIsRunning) {
        self->FinishIfRunning(aAttempt, *aIsRunning);
      } else {
        self->CheckProcess(aAttempt);
      }
    });
}

CheckedProcess
Exchange::ProcessOf(const Attempt& aAttempt) const
{
  CheckedProcess process;
  process.mId = aAttempt.mChoice.mId;
  process.mEndpoint = aAttempt.mChoice.mEndpoint;
  process.mStartedAt = aAttempt.mProcessStartedAt;
  process.mHasStatus = mPool->mIsModel;
  return process;
}

void
Exchange::CheckProcess(const AttemptPointer& aAttempt)
{
  std::make_shared<ProcessCheck>(
    mForwarder.Context(),
    mForwarder.Protocol(),
    ProcessOf(*aAttempt),
    [self = shared_from_this(), aAttempt](bool aIsRunning) {
      if (self->mIsDone || self->mAttempt != aAttempt) {
        return;
      }
      self->FinishIfRunning(aAttempt, aIsRunning);
    })
    ->Start();
}

void
Exchange::FinishIfRunning(const AttemptPointer& aAttempt, bool aIsRunning)
{
  if (aIsRunning) {
    FinishAnswer(aAttempt);
  } else {
    EndBroken(aAttempt, AnswerFault::ServerEnded);
  }
}

void
Exchange::FinishAnswer(const AttemptPointer& aAttempt)
{
  if (aAttempt->mFailure) {
    EndAttempt(aAttempt, *aAttempt->mFailure);
    return;
  }
  const Timestamp now = BootNow();
  mForwarder.Chooser().RecordSuccess(aAttempt->mChoice.mId, now);
  mForwarder.RecordDuration(*mRoute, Elapsed());
  if (mPrompt && aAttempt->mBody.IsEventStream()) {
    mForwarder.Admission(mPool->mName)
      .RecordStreamDuration(aAttempt->mChoice.mIsShortPrompt,
                            now - aAttempt->mFirstByteAt);
  }
  mTransferEnd = EndOfMessage(*aAttempt->mParser);
  AddBodyFields(*aAttempt, mBodyFields);
  if (mTransferEnd == TransferEnd::Close) {
    mForwarder.Counters().mAnswersEndedByClose += 1;
  }
  const int status = aAttempt->mParser->Head().mStatus;
  if (!mHasAnswered) {
    PassWhole(aAttempt->mParser->Head(), aAttempt->mHeldBody);
  } else if (mIsChunked) {
    mCaller->Send(std::string(kLastChunk));
  }
  ReleaseAttempt(aAttempt, true);
  mForwarder.Counters().mAnswered += 1;
  LogEnd(Event::RequestCompleted, status, "answered");
  Finish(mKeepOpen);
}

void
Exchange::PassWhole(const MessageHead& aHead, const std::string& aBody)
{
  mHasAnswered = true;
  mKeepOpen = mKeepOpen && mCaller->MayKeepOpen();
  mCaller->Send(WholeAnswer(aHead, aBody, IsHeadOnly(), mKeepOpen));
}

} // namespace medlarkeel
