#include "exchange.h"

#include "../libmedlarkeelnet/bootclock.h"
#include "callerconnection.h"
#include "requestroute.h"

#include <algorithm>

namespace medlarkeel {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/** Times to come back: a share of the latency target or of another time, spread
 * by chance. */
constexpr double kRetryLeastShare = 0.3;
constexpr double kRetrySpreadShare = 0.7;
constexpr Milliseconds kRetryWithoutRoute{ 500 };

/** Longest time to come back after a refusal that only a new document ends. */
constexpr Milliseconds kDocumentRetryDelay{ 5000 };

/** Characters of an event's id that are logged. */
constexpr std::size_t kLoggedIdSize = 40;

/** Characters of an answer's type that are logged. */
constexpr std::size_t kLoggedTypeSize = 60;

} // namespace

Exchange::Exchange(Forwarder& aForwarder,
                   std::shared_ptr<CallerConnection> aCaller,
                   MessageHead aHead,
                   std::string aBody,
                   bool aKeepOpen)
  : mForwarder(aForwarder)
  , mCaller(std::move(aCaller))
  , mHead(std::move(aHead))
  , mBody(std::make_shared<const std::string>(std::move(aBody)))
  , mBodyInUse(mBody)
  , mKeepOpen(aKeepOpen)
  , mDocument(aForwarder.Document())
  , mArrived(BootNow())
  , mTimer(aForwarder.Context())
{
  for (const HeaderField& field : mHead.mFields) {
    mHeadBytes +=
      sizeof(HeaderField) + field.first.size() + field.second.size();
  }
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
  const std::string* lastEventId = mHead.Find("Last-Event-Id");
  if (mRoute->mIsResumable && lastEventId != nullptr) {
    mLastEventId = *lastEventId;
  }
  PickPool();
  if (mPool == nullptr) {
    Refuse(kUnavailable, "the route's pool is unknown");
    return;
  }
  if (!mForwarder.CanEndBeforeShutdown(*mRoute, TimeLeft())) {
    RefuseForShutdown();
    return;
  }
  ReadPrompt();
  mForwarder.Budget(mPool->mName).RecordFirstAttempt();
  StartTimer();
  TryBackend();
}

std::size_t
Exchange::HeldBytes() const
{
  const std::shared_ptr<const std::string> body = mBodyInUse.lock();
  const std::size_t request = body ? body->size() : 0;
  const std::size_t attempt =
    mAttempt ? sizeof(Attempt) + mAttempt->mInput.size() +
                 mAttempt->mHeldBody.size() + mAttempt->mBody.HeldBytes()
             : 0;
  return sizeof(Exchange) + mHeadBytes + request + attempt;
}

bool
Exchange::FindRoute()
{
  if (mHead.Find("Host") == nullptr) {
    Reject(kBadRequest, "the request has no host");
    return false;
  }
  mRoute = FindRequestRoute(*mDocument, mHead);
  if (mRoute == nullptr) {
    Reject(kNotFound, "no route for this host and path");
    return false;
  }
  if (!mRoute->mIsUsable) {
    RefuseForDocument("the route's configuration can't be used");
  }
  return mRoute->mIsUsable;
}

bool
Exchange::CheckKey()
{
  mTeam = FindRequestTeam(*mDocument, mHead, mForwarder.Protocol());
  const bool isAllowed =
    mTeam != nullptr || mRoute->mIsPublic || !mDocument->mRequiresKeys;
  if (!isAllowed) {
    Reject(kUnauthorized, "the key is missing or unknown");
    return false;
  }
  const bool isUsable = mTeam == nullptr || mTeam->mIsUsable;
  if (!isUsable) {
    RefuseForDocument("the team's configuration can't be used");
  }
  return isUsable;
}

bool
Exchange::ReadTimeLimit()
{
  mGiveUpAt = mArrived + mRoute->mTimeout;
  mTimeLimit = mRoute->mTimeout;
  const std::string* field = mHead.Find(mForwarder.Protocol().mTimeLeft);
  if (field == nullptr) {
    return true;
  }
  const auto left = ParseWholeNumber(*field);
  if (!left) {
    Reject(kBadRequest, "the time limit isn't a number");
    return false;
  }
  mTimeLimit = Milliseconds(*left);
  mGiveUpAt = std::min(mGiveUpAt, mArrived + mTimeLimit);
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
               AttemptOutcomeName(aOutcome));
      return;
    case NextStep::FailTimeout:
      Refuse(kGatewayTimeout, "the time limit passed; it may have run");
      return;
    case NextStep::ForwardAnswer:
    case NextStep::FailUnknown:
      Refuse(kBadGateway,
             std::string("the outcome is unknown: ") +
               AttemptOutcomeName(aOutcome));
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
    mForwarder.RecordDuration(*mRoute, Elapsed());
    RecordLateForecast(*attempt);
    ReleaseAttempt(attempt, false);
  }
  mAttempt.reset();
  if (mHasAnswered) {
    CutStream("the time limit passed");
    return;
  }
  Follow(FinalStep(mHistory, AttemptOutcome::TimedOut),
         AttemptOutcome::TimedOut);
}

Milliseconds
Exchange::TimeLeft() const
{
  return std::chrono::duration_cast<Milliseconds>(mGiveUpAt - BootNow());
}

void
Exchange::RefuseForShutdown()
{
  mForwarder.Counters().mRefusedShuttingDown += 1;
  mRetryDelay = kShutdownRetryDelay;
  Refuse(kUnavailable, kShutdownReason);
}

void
Exchange::RefuseForDocument(const std::string& aReason)
{
  mRetryDelay = SpreadDelay(kDocumentRetryDelay);
  Refuse(kUnavailable, aReason);
}

void
Exchange::EndForShutdown()
{
  if (mIsDone) {
    return;
  }
  const AttemptPointer attempt = mAttempt;
  if (attempt && attempt->mConnection) {
    mHistory.Record(AttemptOutcome::TimedOut);
    ReleaseAttempt(attempt, false);
  }
  mAttempt.reset();
  if (mHasAnswered) {
    CutStream(kShutdownReason);
  } else if (mHistory.mMayHaveRun) {
    Refuse(kGatewayTimeout, std::string(kShutdownReason) + "; it may have run");
  } else {
    RefuseForShutdown();
  }
}

void
Exchange::Cancel()
{
  if (mIsDone) {
    return;
  }
  const AttemptPointer attempt = mAttempt;
  if (attempt && attempt->mConnection) {
    RecordLateForecast(*attempt);
    ReleaseAttempt(attempt, false);
  }
  mAttempt.reset();
  mForwarder.Counters().mCallersGone += 1;
  LogEnd(Event::RequestCancelled, 0, "the caller left");
  End();
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
  mKeepOpen = mKeepOpen && mCaller->MayKeepOpen();
  OwnAnswer answer;
  answer.mStatus = aStatus;
  answer.mReason = aReason;
  answer.mRetryAfter = aRetryAfter;
  if (!mRequestId.empty()) {
    answer.mRequestField =
      mForwarder.Protocol().mRequestId + ": " + mRequestId + "\r\n";
  }
  answer.mIsHeadOnly = IsHeadOnly();
  answer.mKeepOpen = mKeepOpen;
  mCaller->Send(TextOf(answer));
  LogEnd(Event::RequestRefused, aStatus, aReason);
  Finish(mKeepOpen);
}

Milliseconds
Exchange::RetryTime()
{
  if (mRetryDelay) {
    return *mRetryDelay;
  }
  return SpreadDelay(mRoute == nullptr ? kRetryWithoutRoute
                                       : mRoute->mLatencyTarget);
}

Milliseconds
Exchange::SpreadDelay(Milliseconds aLongest)
{
  const double share =
    kRetryLeastShare + kRetrySpreadShare * mForwarder.Random();
  return Milliseconds(
    static_cast<std::int64_t>(share * static_cast<double>(aLongest.count())));
}

void
Exchange::CutStream(const std::string& aReason)
{
  mForwarder.Counters().mStreamsCut += 1;
  LogEnd(Event::StreamFailed, 0, aReason);
  End();
  if (mIsChunked) {
    mCaller->Abort();
  } else {
    mCaller->Reset();
  }
}

void
Exchange::End()
{
  mIsDone = true;
  mTimer.cancel();
  mBody.reset();
}

void
Exchange::Finish(bool aKeepOpen)
{
  End();
  mForwarder.Counters().mWhole.Record(static_cast<double>(Elapsed().count()));
  mCaller->FinishAnswer(aKeepOpen);
}

Milliseconds
Exchange::Elapsed() const
{
  return std::chrono::duration_cast<Milliseconds>(BootNow() - mArrived);
}

void
Exchange::AddAnswerFields(EventFields& aFields) const
{
  if (mTransferEnd) {
    aFields["end"] = TransferEndName(*mTransferEnd);
  }
  aFields.update(mBodyFields);
  if (mRoute != nullptr && mRoute->mIsStream) {
    aFields["lastEventId"] = mLastEventId.substr(0, kLoggedIdSize);
    aFields["continuations"] = mContinuations;
    aFields["callerContinues"] = mHead.Find("Last-Event-Id") != nullptr;
  }
}

void
Exchange::AddBodyFields(const Attempt& aAttempt, EventFields& aFields)
{
  const std::string types = aAttempt.mParser->Head().FindAll("Content-Type");
  aFields["contentType"] = types.substr(0, kLoggedTypeSize);
  if (const auto kind = aAttempt.mBody.Kind()) {
    aFields["body"] = BodyKindName(*kind);
  }
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
    if (mPrompt) {
      fields["costKind"] = ServerCostKindName(mLastChoice->mCostKind);
      fields["promptTokens"] = mPrompt->mPromptTokens;
      fields["prefillTokens"] = mLastChoice->mPrefillTokens;
      fields["queuedTokens"] =
        static_cast<std::int64_t>(mLastChoice->mQueuedTokens);
    }
    fields["candidates"] = mLastChoice->mCandidates;
    fields["cold"] = mLastChoice->mIsCold;
    fields["otherZone"] = mLastChoice->mIsOtherZone;
  }
  AddAnswerFields(fields);
  if (mAdmission) {
    AddAdmissionFields(fields);
  }
  mForwarder.Log().Write(aEvent, fields);
}

} // namespace medlarkeel
