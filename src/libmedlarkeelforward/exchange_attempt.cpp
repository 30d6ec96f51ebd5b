#include "exchange.h"

#include "../libmedlarkeelnet/bootclock.h"
#include "callerconnection.h"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace medlarkeel {

namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kFirstFailure = 300;

/** Idle time after which a connection isn't used for requests that may run
 * only once: the server might close it as the request arrives. */
constexpr Microseconds kMostIdleForOnce = std::chrono::seconds(2);
constexpr Microseconds kMostIdle = std::chrono::seconds(60);

/** Idle time of servers that don't tell theirs; whole seconds are told. */
constexpr Microseconds kUntoldKeepAlive = std::chrono::milliseconds(500);

/** Bytes that wait for the caller before the answer isn't read further. */
constexpr std::size_t kMostPending = 262'144;

/** Answers up to this size are passed on only when they are whole. */
constexpr std::size_t kMostHeldBody = 1U << 20U;

/** Time left below which a further attempt isn't worth its work. */
constexpr Milliseconds kLeastTimeForAttempt{ 20 };

/** Time that is taken off what a backend server is given, for the way back. */
constexpr Milliseconds kReturnTime{ 5 };

/** @return The seconds in "timeout=N" of a Keep-Alive field. */
Microseconds
KeepAliveTime(const MessageHead& aHead)
{
  constexpr std::string_view kTimeout = "timeout=";
  const std::string* field = aHead.Find("Keep-Alive");
  if (field == nullptr) {
    return kUntoldKeepAlive;
  }
  const std::size_t begin = field->find(kTimeout);
  if (begin == std::string::npos) {
    return kUntoldKeepAlive;
  }
  const std::size_t end = field->find_first_of(", ", begin);
  const auto seconds = ParseWholeNumber(std::string_view(*field).substr(
    begin + kTimeout.size(),
    end == std::string::npos ? end : end - begin - kTimeout.size()));
  return seconds ? Microseconds(std::chrono::seconds(*seconds))
                 : kUntoldKeepAlive;
}

} // namespace

void
Exchange::TryBackend()
{
  const Timestamp now = BootNow();
  if (now >= mGiveUpAt) {
    TimeOut();
    return;
  }
  mForwarder.RefreshChooser();
  BackendChooser& chooser = mForwarder.Chooser();
  const auto choice = chooser.Choose(
    mForwarder.Backends().Usable(mPool->mName),
    mPrompt,
    mTried,
    [this](const InstanceId& aServer) {
      return mForwarder.ColdLimit(*mPool, aServer);
    },
    now);
  if (!choice) {
    Follow(FinalStep(mHistory, AttemptOutcome::NotSent),
           AttemptOutcome::NotSent);
    return;
  }
  auto attempt = std::make_shared<Attempt>();
  attempt->mChoice = *choice;
  mLastChoice = choice;
  mAttempt = attempt;
  mTried.insert(choice->mId);
  chooser.RecordStarted(*choice, mPrompt, now);
  mForwarder.Connections().Acquire(
    choice->mId,
    choice->mEndpoint,
    mRoute->MayRunAgain() ? kMostIdle : kMostIdleForOnce,
    [self = shared_from_this(),
     attempt](const BackendConnectionPointer& aConnection) {
      if (self->mIsDone || self->mAttempt != attempt) {
        self->mForwarder.Chooser().RecordEnded(attempt->mChoice, false);
        return;
      }
      if (!aConnection) {
        self->mForwarder.Chooser().RecordUnreachable(attempt->mChoice.mId,
                                                     BootNow());
        self->EndAttempt(attempt, AttemptOutcome::NotSent);
        return;
      }
      attempt->mConnection = aConnection;
      self->SendRequest(attempt);
    });
}

std::string
Exchange::RequestText(const Attempt& aAttempt) const
{
  const WireProtocol& names = mForwarder.Protocol();
  const std::vector<std::string> declared = DeclaredConnectionFields(mHead);
  const auto isOneOf = [](const std::vector<std::string>& aNames,
                          const std::string& aName) {
    return std::any_of(
      aNames.begin(), aNames.end(), [&](const std::string& aKnown) {
        return SameFieldName(aKnown, aName);
      });
  };
  std::string text = mHead.mMethod + " " + mHead.mTarget + " HTTP/1.1\r\n";
  const bool resumes = !mLastEventId.empty();
  bool hasLength = false;
  for (const auto& [name, value] : mHead.mFields) {
    const bool isLength = SameFieldName(name, "content-length");
    const bool isDropped =
      isLength || IsConnectionField(name) || isOneOf(names.mReserved, name) ||
      isOneOf(declared, name) || SameFieldName(name, names.mTimeLeft) ||
      (resumes && SameFieldName(name, "last-event-id"));
    hasLength =
      hasLength || isLength || SameFieldName(name, "transfer-encoding");
    if (!isDropped) {
      text.append(name).append(": ").append(value).append("\r\n");
    }
  }
  const Milliseconds left = std::chrono::duration_cast<Milliseconds>(
    mGiveUpAt - BootNow() - kReturnTime);
  text += names.mTimeLeft + ": " +
          std::to_string(std::max<std::int64_t>(1, left.count())) + "\r\n";
  text += names.mExpectedBackend + ": " + aAttempt.mChoice.mId.Text() + "\r\n";
  if (mTeam != nullptr) {
    text += names.mTeam + ": " + mTeam->mName.Text() + "\r\n";
  }
  if (mPrompt) {
    const TierRank tier =
      mTeam != nullptr ? mTeam->mTier.value_or(mRoute->mTier) : mRoute->mTier;
    const int rank = std::clamp(tier.mValue, 0, names.mMostPriority);
    text += names.mPriority + ": " + std::to_string(rank) + "\r\n";
  }
  if (resumes) {
    text += "Last-Event-Id: " + mLastEventId + "\r\n";
  }
  if (hasLength) {
    text += "Content-Length: " + std::to_string(mBody.size()) + "\r\n";
  }
  return text + "\r\n" + mBody;
}

void
Exchange::SendRequest(const AttemptPointer& aAttempt)
{
  aAttempt->mRequest = RequestText(*aAttempt);
  boost::asio::async_write(aAttempt->mConnection->mSocket,
                           boost::asio::buffer(aAttempt->mRequest),
                           [aAttempt](const Error& aError, std::size_t) {
                             // A failed write shows as the end of the answer's
                             // reading.
                             aAttempt->mIsRequestWritten = !aError;
                           });
  ReadAnswer(aAttempt);
}

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
    const bool isCleanEnd = aError == boost::asio::error::eof;
    if (isCleanEnd && aAttempt->mHasHead && aAttempt->mParser->need_eof()) {
      Error error;
      aAttempt->mParser->put_eof(error);
      TakeBody(aAttempt, error ? ParseState::Invalid : ParseState::Done);
      return;
    }
    EndAttempt(aAttempt, AttemptOutcome::Broken);
    return;
  }
  aAttempt->mInput.append(aAttempt->mBuffer.data(), aSize);
  while (!mIsDone && mAttempt == aAttempt) {
    if (!aAttempt->mHasHead && !TakeHead(aAttempt)) {
      break;
    }
    const ParseState state = Feed(*aAttempt->mParser, aAttempt->mInput);
    const bool isForeign = aAttempt->mIsForeign;
    TakeBody(aAttempt, state);
    if (!isForeign || state != ParseState::Done) {
      break;
    }
  }
  if (mIsDone || mAttempt != aAttempt) {
    return;
  }
  if (!aAttempt->mIsPaused) {
    ReadAnswer(aAttempt);
  }
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
    if (aAttempt->mInput.size() > kMostHeldBody) {
      EndAttempt(aAttempt, AttemptOutcome::Broken);
    }
    return false;
  }
  std::string head = aAttempt->mInput.substr(0, *end);
  aAttempt->mInput.erase(0, *end);
  auto parser = std::make_unique<AnswerParser>();
  if (mHead.mMethod == "HEAD") {
    parser->skip(true);
  }
  const bool isSound =
    FindHeadFault(head).empty() && Feed(*parser, head) != ParseState::Invalid;
  if (!isSound) {
    EndAttempt(aAttempt, AttemptOutcome::Broken);
    return false;
  }
  if (parser->Head().mStatus < kFirstFinalStatus) {
    return TakeHead(aAttempt);
  }
  const std::string* id = parser->Head().Find(mForwarder.Protocol().mRequestId);
  aAttempt->mIsForeign = id != nullptr && *id != mRequestId;
  const bool isUnusable =
    id == nullptr || (aAttempt->mIsForeign && parser->need_eof());
  if (isUnusable) {
    EndAttempt(aAttempt, AttemptOutcome::Broken);
    return false;
  }
  if (!aAttempt->mIsForeign) {
    const bool saysNotRun =
      parser->Head().Find(mForwarder.Protocol().mNotRun) != nullptr;
    aAttempt->mFailure = JudgeAnswer(parser->Head().mStatus, saysNotRun);
  }
  aAttempt->mParser = std::move(parser);
  aAttempt->mHasHead = true;
  return true;
}

bool
Exchange::IsStreamAnswer(const Attempt& aAttempt) const
{
  return mRoute->mIsStream && !aAttempt.mFailure &&
         aAttempt.mParser->Head().mStatus < kFirstFailure;
}

void
Exchange::TakeBody(const AttemptPointer& aAttempt, ParseState aState)
{
  if (aState == ParseState::Invalid) {
    EndAttempt(aAttempt, AttemptOutcome::Broken);
    return;
  }
  if (aAttempt->mIsForeign) {
    if (aState == ParseState::Done) {
      aAttempt->mHasHead = false;
      aAttempt->mIsForeign = false;
    }
    return;
  }
  const bool hasBody = !aAttempt->mParser->Body().empty();
  if (hasBody && !aAttempt->mHasFirstByte) {
    aAttempt->mHasFirstByte = true;
    mForwarder.Chooser().RecordFirstByte(aAttempt->mChoice);
    if (mFirstByteAfter.count() == 0) {
      mFirstByteAfter = BootNow() - mArrived;
    }
  }
  const bool isDone = aState == ParseState::Done;
  if (IsStreamAnswer(*aAttempt)) {
    PassEvents(aAttempt, isDone);
    return;
  }
  if (mHasAnswered) {
    // The run that should go on with a stream brought something else.
    EndAttempt(aAttempt, AttemptOutcome::Broken);
    return;
  }
  if (aAttempt->mParser->Body().size() > kMostHeldBody) {
    EndAttempt(aAttempt, AttemptOutcome::Broken);
    return;
  }
  if (!isDone) {
    return;
  }
  if (aAttempt->mFailure) {
    EndAttempt(aAttempt, *aAttempt->mFailure);
    return;
  }
  FinishAnswer(aAttempt);
}

void
Exchange::PassEvents(const AttemptPointer& aAttempt, bool aIsEnd)
{
  std::string events = aAttempt->mFramer.Push(aAttempt->mParser->TakeBody());
  if (aIsEnd) {
    events += aAttempt->mFramer.TakeRest();
  }
  if (!aAttempt->mFramer.LastEventId().empty()) {
    mLastEventId = aAttempt->mFramer.LastEventId();
  }
  std::string text;
  if (!mHasAnswered && (!events.empty() || aIsEnd)) {
    mHasAnswered = true;
    mIsChunked = mHead.mVersion >= 11;
    mKeepOpen = mKeepOpen && mIsChunked && !mForwarder.IsStopping();
    text =
      ForwardedHead(aAttempt->mParser->Head(),
                    mIsChunked ? BodyFraming::Chunked : BodyFraming::UntilClose,
                    0,
                    mKeepOpen);
  }
  text += mIsChunked ? Chunk(events) : events;
  if (aIsEnd && mIsChunked) {
    text += kLastChunk;
  }
  mCaller->Send(std::move(text));
  if (aIsEnd) {
    FinishAnswer(aAttempt);
    return;
  }
  aAttempt->mIsPaused = mCaller->PendingBytes() >= kMostPending;
}

void
Exchange::FinishAnswer(const AttemptPointer& aAttempt)
{
  mForwarder.Chooser().RecordSuccess(aAttempt->mChoice.mId, BootNow());
  const int status = aAttempt->mParser->Head().mStatus;
  if (!mHasAnswered) {
    PassWhole(aAttempt->mParser->Head(), aAttempt->mParser->Body());
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
  mKeepOpen = mKeepOpen && !mForwarder.IsStopping();
  std::size_t length = aBody.size();
  const std::string* told = aHead.Find("Content-Length");
  if (mHead.mMethod == "HEAD" && told != nullptr) {
    length = static_cast<std::size_t>(ParseWholeNumber(*told).value_or(0));
  }
  mCaller->Send(ForwardedHead(aHead, BodyFraming::Length, length, mKeepOpen) +
                aBody);
}

void
Exchange::ReleaseAttempt(const AttemptPointer& aAttempt, bool aIsReusable)
{
  mForwarder.Chooser().RecordEnded(aAttempt->mChoice, aAttempt->mHasFirstByte);
  const BackendConnectionPointer connection = aAttempt->mConnection;
  if (connection) {
    const bool isReusable = aIsReusable && aAttempt->mIsRequestWritten &&
                            aAttempt->mInput.empty() &&
                            aAttempt->mParser->keep_alive();
    if (isReusable) {
      mForwarder.Connections().Release(
        connection, KeepAliveTime(aAttempt->mParser->Head()));
    } else {
      Error ignored; // Nothing more is expected from this connection.
      connection->mSocket.close(ignored);
    }
  }
  mAttempt.reset();
}

void
Exchange::EndAttempt(const AttemptPointer& aAttempt, AttemptOutcome aOutcome)
{
  const Timestamp now = BootNow();
  mHistory.Record(aOutcome);
  if (aOutcome == AttemptOutcome::Misdirected) {
    mForwarder.Backends().RecordMisdirected(aAttempt->mChoice.mId);
  } else if (aOutcome != AttemptOutcome::NotSent) {
    mForwarder.Chooser().RecordFailure(aAttempt->mChoice.mId, now);
  }
  const bool hasAnswer = aAttempt->mHasHead && aAttempt->mParser != nullptr;
  mForwarder.Log().Write(
    Event::BackendAttemptFailed,
    { { "request", mRequestId },
      { "server", aAttempt->mChoice.mId.Text() },
      { "outcome", AttemptOutcomeText(aOutcome) },
      { "status", hasAnswer ? aAttempt->mParser->Head().mStatus : 0 },
      { "reusedConnection",
        aAttempt->mConnection && aAttempt->mConnection->mIsReused },
      { "elapsedMs", Elapsed().count() } });
  const bool isWhole =
    aAttempt->mFailure.has_value() && hasAnswer && aAttempt->mParser->is_done();
  ReleaseAttempt(aAttempt, isWhole);
  if (mHasAnswered) {
    const bool goesOn = mRoute->mIsResumable && !mLastEventId.empty() &&
                        mHistory.mSent < mRoute->mMostAttempts && TakesRetry();
    if (!goesOn) {
      CutStream("the backend server broke off");
      return;
    }
    mForwarder.Counters().mStreamsResumed += 1;
    TryBackend();
    return;
  }
  NextStep step = DecideNextStep(
    *mRoute, mHistory, aOutcome, now + kLeastTimeForAttempt < mGiveUpAt);
  const bool wasSent = mHistory.mSent + mHistory.mMisdirected > 0;
  if (step == NextStep::TryAnother && wasSent && !TakesRetry()) {
    step = FinalStep(mHistory, aOutcome);
  }
  if (step == NextStep::PassAnswer) {
    const int status = aAttempt->mParser->Head().mStatus;
    PassWhole(aAttempt->mParser->Head(), aAttempt->mParser->Body());
    LogEnd(Event::RequestCompleted, status, "the backend server failed");
    Finish(mKeepOpen);
    return;
  }
  Follow(step, aOutcome);
}

} // namespace medlarkeel
