#include "exchange.h"

#include "../libmedlarkeelnet/bootclock.h"
#include "callerconnection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>

namespace medlarkeel {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
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

/** Times to come back: a share of the latency target, spread by chance. */
constexpr double kRetryLeastShare = 0.3;
constexpr double kRetrySpreadShare = 0.7;
constexpr Milliseconds kRetryWithoutRoute{ 500 };

/** Time left below which a further attempt isn't worth its work. */
constexpr Milliseconds kLeastTimeForAttempt{ 20 };

/** Time that is taken off what a backend server is given, for the way back. */
constexpr Milliseconds kReturnTime{ 5 };

std::optional<std::int64_t>
ParseWhole(std::string_view aText)
{
  std::int64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || value < 0) {
    return std::nullopt;
  }
  return value;
}

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
  const auto seconds = ParseWhole(std::string_view(*field).substr(
    begin + kTimeout.size(),
    end == std::string::npos ? end : end - begin - kTimeout.size()));
  return seconds ? Microseconds(std::chrono::seconds(*seconds))
                 : kUntoldKeepAlive;
}

} // namespace

Exchange::Exchange(Forwarder& aForwarder,
                   std::shared_ptr<CallerConnection> aCaller,
                   MessageHead aHead,
                   std::string aBody,
                   bool aKeepOpen)
  : mForwarder(aForwarder)
  , mCaller(std::move(aCaller))
  , mHead(std::move(aHead))
  , mBody(std::move(aBody))
  , mKeepOpen(aKeepOpen)
  , mDocument(aForwarder.Document())
  , mArrived(BootNow())
  , mTimer(aForwarder.Context())
{
}

void
Exchange::Start()
{
  mForwarder.Counters().mRequests += 1;
  const std::string* id = mHead.Find(mForwarder.Protocol().mRequestId);
  if (id == nullptr || id->empty()) {
    Reject(kBadRequest, "the request has no id");
    return;
  }
  mRequestId = *id;
  if (!mDocument) {
    Refuse(kUnavailable, "no configuration is known yet");
    return;
  }
  if (!FindRoute() || !CheckKey() || !ReadTimeLimit()) {
    return;
  }
  PickPool();
  if (mPool == nullptr) {
    Refuse(kUnavailable, "the route's pool is unknown");
    return;
  }
  ReadPrompt();
  mForwarder.Budget(mPool->mName).RecordFirstAttempt();
  StartTimer();
  TryBackend();
}

bool
Exchange::FindRoute()
{
  const std::string* host = mHead.Find("Host");
  if (host == nullptr) {
    Reject(kBadRequest, "the request has no host");
    return false;
  }
  const std::string_view name(host->data(),
                              std::min(host->find(':'), host->size()));
  const std::string_view path(
    mHead.mTarget.data(),
    std::min(mHead.mTarget.find('?'), mHead.mTarget.size()));
  mRoute = mDocument->FindRoute(name, path);
  if (mRoute == nullptr) {
    Reject(kNotFound, "no route for this host and path");
    return false;
  }
  return true;
}

bool
Exchange::CheckKey()
{
  const std::string* field = mHead.Find("Authorization");
  const std::string& scheme = mForwarder.Protocol().mKeyScheme;
  if (field != nullptr && field->compare(0, scheme.size(), scheme) == 0) {
    mTeam = mDocument->FindTeam(field->substr(scheme.size()));
  }
  const bool isAllowed =
    mTeam != nullptr || mRoute->mIsPublic || !mDocument->NeedsKeys();
  if (!isAllowed) {
    Reject(kUnauthorized, "the key is missing or unknown");
  }
  return isAllowed;
}

bool
Exchange::ReadTimeLimit()
{
  mGiveUpAt = mArrived + mRoute->mTimeout;
  const std::string* field = mHead.Find(mForwarder.Protocol().mTimeLeft);
  if (field == nullptr) {
    return true;
  }
  const auto left = ParseWhole(*field);
  if (!left) {
    Reject(kBadRequest, "the time limit isn't a number");
    return false;
  }
  mGiveUpAt = std::min(mGiveUpAt, mArrived + Milliseconds(*left));
  return true;
}

void
Exchange::PickPool()
{
  int total = 0;
  for (const PoolShare& share : mRoute->mPools) {
    total += share.mWeight;
  }
  double point = mForwarder.Random() * total;
  for (const PoolShare& share : mRoute->mPools) {
    point -= share.mWeight;
    const auto found = mDocument->mPools.find(share.mPool);
    if (share.mWeight > 0 && found != mDocument->mPools.end()) {
      mPool = &found->second;
      if (point < 0) {
        return;
      }
    }
  }
}

void
Exchange::ReadPrompt()
{
  if (!mPool->mIsModel) {
    return;
  }
  const std::string* parts = mHead.Find(mForwarder.Protocol().mPromptParts);
  const std::string* size = mHead.Find(mForwarder.Protocol().mPromptSize);
  mPrompt = ParsePromptDescription(parts == nullptr ? "" : *parts,
                                   size == nullptr ? "" : *size);
  if (!mPrompt) {
    mPrompt.emplace(); // A prompt that nobody described counts as short.
  }
}

void
Exchange::StartTimer()
{
  const Microseconds left = std::max(Microseconds(0), mGiveUpAt - BootNow());
  mTimer.expires_after(left);
  mTimer.async_wait([self = shared_from_this()](const Error& aError) {
    if (aError || self->mIsDone) {
      return;
    }
    self->TimeOut();
  });
}

void
Exchange::TryBackend()
{
  const Timestamp now = BootNow();
  if (now >= mGiveUpAt) {
    TimeOut();
    return;
  }
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
    length = static_cast<std::size_t>(ParseWhole(*told).value_or(0));
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

bool
Exchange::TakesRetry()
{
  ForwardCounters& counters = mForwarder.Counters();
  const bool isGranted = mForwarder.Budget(mPool->mName).TryTakeRetry();
  (isGranted ? counters.mFurtherAttempts : counters.mRetriesDenied) += 1;
  return isGranted;
}

void
Exchange::Follow(NextStep aStep, AttemptOutcome aOutcome)
{
  if (mHasAnswered) {
    CutStream("no backend server is left to go on with the stream");
    return;
  }
  switch (aStep) {
    case NextStep::TryAnother:
      TryBackend();
      return;
    case NextStep::RefuseNotRun:
      Refuse(kUnavailable,
             std::string("no backend server took the request: ") +
               AttemptOutcomeText(aOutcome));
      return;
    case NextStep::FailTimeout:
      Refuse(kGatewayTimeout, "the time limit passed; it may have run");
      return;
    case NextStep::PassAnswer:
    case NextStep::FailUnknown:
      Refuse(kBadGateway,
             std::string("the outcome is unknown: ") +
               AttemptOutcomeText(aOutcome));
      return;
  }
}

void
Exchange::TimeOut()
{
  const AttemptPointer attempt = mAttempt;
  const bool wasSent = attempt && attempt->mConnection;
  if (wasSent) {
    mHistory.Record(AttemptOutcome::TimedOut);
    mForwarder.Chooser().RecordFailure(attempt->mChoice.mId, BootNow());
  }
  if (attempt) {
    if (wasSent) {
      ReleaseAttempt(attempt, false);
    }
    mAttempt.reset();
  }
  if (mHasAnswered) {
    CutStream("the time limit passed");
    return;
  }
  Follow(FinalStep(mHistory, AttemptOutcome::TimedOut),
         AttemptOutcome::TimedOut);
}

void
Exchange::Cancel()
{
  if (mIsDone) {
    return;
  }
  const AttemptPointer attempt = mAttempt;
  if (attempt && attempt->mConnection) {
    ReleaseAttempt(attempt, false);
  }
  mAttempt.reset();
  mForwarder.Counters().mCallersGone += 1;
  LogEnd(Event::RequestCancelled, 0, "the caller left");
  mIsDone = true;
  mTimer.cancel();
}

void
Exchange::Reject(int aStatus, const std::string& aReason)
{
  mForwarder.Counters().mRejected += 1;
  SendOwnAnswer(aStatus, aReason, std::nullopt);
}

void
Exchange::Refuse(int aStatus, const std::string& aReason)
{
  ForwardCounters& counters = mForwarder.Counters();
  (aStatus == kUnavailable ? counters.mRefusedNotRun
                           : counters.mFailedUnknown) += 1;
  const bool mayComeBack = aStatus == kUnavailable;
  SendOwnAnswer(aStatus,
                aReason,
                mayComeBack ? std::optional<Milliseconds>(RetryTime())
                            : std::nullopt);
}

void
Exchange::SendOwnAnswer(int aStatus,
                        const std::string& aReason,
                        std::optional<Milliseconds> aRetryAfter)
{
  mKeepOpen = mKeepOpen && !mForwarder.IsStopping();
  const std::string field =
    mRequestId.empty()
      ? std::string()
      : mForwarder.Protocol().mRequestId + ": " + mRequestId + "\r\n";
  mCaller->Send(OwnAnswer(aStatus, aReason, aRetryAfter, field, mKeepOpen));
  LogEnd(Event::RequestRefused, aStatus, aReason);
  Finish(mKeepOpen);
}

Milliseconds
Exchange::RetryTime()
{
  const Milliseconds target =
    mRoute == nullptr ? kRetryWithoutRoute : mRoute->mLatencyTarget;
  const double share =
    kRetryLeastShare + kRetrySpreadShare * mForwarder.Random();
  return Milliseconds(
    static_cast<std::int64_t>(share * static_cast<double>(target.count())));
}

void
Exchange::CutStream(const std::string& aReason)
{
  mForwarder.Counters().mStreamsCut += 1;
  LogEnd(Event::StreamFailed, 0, aReason);
  mIsDone = true;
  mTimer.cancel();
  mCaller->Abort();
}

void
Exchange::Finish(bool aKeepOpen)
{
  mIsDone = true;
  mTimer.cancel();
  mForwarder.Counters().mWhole.Record(static_cast<double>(Elapsed().count()));
  mCaller->FinishAnswer(aKeepOpen);
}

Milliseconds
Exchange::Elapsed() const
{
  return std::chrono::duration_cast<Milliseconds>(BootNow() - mArrived);
}

void
Exchange::LogEnd(Event aEvent, int aStatus, const std::string& aReason)
{
  const auto firstByte =
    std::chrono::duration_cast<Milliseconds>(mFirstByteAfter);
  if (mFirstByteAfter.count() > 0) {
    mForwarder.Counters().mFirstByte.Record(
      static_cast<double>(firstByte.count()));
  }
  EventFields fields{ { "request", mRequestId },
                      { "status", aStatus },
                      { "reason", aReason },
                      { "elapsedMs", Elapsed().count() },
                      { "firstByteMs", firstByte.count() },
                      { "failedSends", mHistory.mSent },
                      { "mayHaveRun", mHistory.mMayHaveRun },
                      { "document", mDocument ? mDocument->mVersion : 0 },
                      { "listAgeMs", mForwarder.DirectoryAge().count() } };
  if (mRoute != nullptr) {
    fields["route"] = mRoute->mName;
  }
  if (mLastChoice) {
    fields["server"] = mLastChoice->mId.Text();
    fields["cost"] = static_cast<std::int64_t>(mLastChoice->mCost);
    fields["candidates"] = mLastChoice->mCandidates;
    fields["cold"] = mLastChoice->mIsCold;
    fields["otherZone"] = mLastChoice->mIsOtherZone;
  }
  mForwarder.Log().Write(aEvent, fields);
}

} // namespace medlarkeel
