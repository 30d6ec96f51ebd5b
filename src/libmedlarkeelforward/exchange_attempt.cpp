#include "exchange.h"

#include "../libmedlarkeelnet/bootclock.h"
#include "callerconnection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cmath>
#include <utility>

namespace medlarkeel {

namespace {

/** Idle time after which a connection isn't used for requests that may run
 * only once: the server might close it as the request arrives. */
constexpr Microseconds kMostIdleForOnce = std::chrono::seconds(2);
constexpr Microseconds kMostIdle = std::chrono::seconds(60);

constexpr int kUnavailable = 503;

/** Idle time of servers that don't tell theirs; whole seconds are told. */
constexpr Microseconds kUntoldKeepAlive = std::chrono::milliseconds(500);

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

/** @return The share of a time that isn't left, from 0 to 1. */
double
UsedShare(Milliseconds aLeft, Milliseconds aWhole)
{
  const double left =
    static_cast<double>(aLeft.count()) / static_cast<double>(aWhole.count());
  return std::clamp(1.0 - left, 0.0, 1.0);
}

std::int64_t
Percent(double aShare)
{
  return std::llround(aShare * 100.0);
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
  const std::vector<const ListedBackend*> usable =
    mForwarder.Backends().Usable(mPool->mName, now);
  auto choice = chooser.Choose(
    usable,
    mPrompt,
    mTried,
    [this](const InstanceId& aServer) {
      return mForwarder.ColdLimit(*mPool, aServer);
    },
    now,
    mPool->mPlacement);
  if (!choice) {
    if (const auto earliest = chooser.EarliestAvailableTime(usable, now)) {
      mRetryDelay = mForwarder.RetryDelay(mPool->mName, usable, *earliest);
    }
    Follow(FinalStep(mHistory, AttemptOutcome::NotSent),
           AttemptOutcome::NotSent);
    return;
  }
  chooser.AssignPriority(
    PoolHash(mPool->mName), PriorityOf(mTeam, *mRoute), *choice);
  mLastChoice = choice;
  if (!IsAdmitted(*choice)) {
    return;
  }
  if (mForwarder.Limits().AllowedRate(choice->mProcessHash, now)) {
    RequestPermit(*choice);
  } else {
    StartAttempt(*choice);
  }
}

void
Exchange::RequestPermit(const BackendChoice& aChoice)
{
  mForwarder.Permits().Request(
    aChoice.mProcessHash,
    [self = shared_from_this(), aChoice](const PermitResult& aResult) {
      if (!self->mIsDone) {
        self->HandlePermitResult(aChoice, aResult);
      }
    });
}

void
Exchange::HandlePermitResult(const BackendChoice& aChoice,
                             const PermitResult& aResult)
{
  const Timestamp now = BootNow();
  mForwarder.Log().Write(Event::PermitDecided,
                         { { "request", mRequestId },
                           { "server", aChoice.mId.Text() },
                           { "outcome", PermitOutcomeText(aResult.mOutcome) },
                           { "issuer", aResult.mIssuer },
                           { "retryAfterMs", aResult.mRetryDelay.count() },
                           { "limitPerSecond",
                             mForwarder.Limits()
                               .AllowedRate(aChoice.mProcessHash, now)
                               .value_or(RequestRate())
                               .mPerSecond } });
  const std::vector<const ListedBackend*> usable =
    mForwarder.Backends().Usable(mPool->mName, now);
  const bool isUsable =
    std::any_of(usable.begin(), usable.end(), [&](const auto* aServer) {
      return aServer->mProcessHash == aChoice.mProcessHash;
    });
  if (aResult.mOutcome == PermitOutcome::Granted && isUsable) {
    StartAttempt(aChoice);
    return;
  }
  mForwarder.Limits().RecordDenied(aChoice.mProcessHash,
                                   now + aResult.mRetryDelay);
  TryBackend();
}

void
Exchange::AddAdmissionFields(EventFields& aFields) const
{
  aFields["routeTier"] = mRoute->mTier.mValue;
  if (mTeam != nullptr && mTeam->mTier) {
    aFields["teamTier"] = mTeam->mTier->mValue;
  }
  aFields["loadPercent"] = Percent(mAdmission->mLoad);
  aFields["prefillTokensPerMs"] = std::llround(mAdmission->mTokensPerMs);
  aFields["expectedMs"] = mAdmission->mExpectedFirstEventTime.count();
  if (mForecastError) {
    aFields["forecastErrorMs"] = mForecastError->count();
  }
}

bool
Exchange::IsAdmitted(const BackendChoice& aChoice)
{
  const bool isFirst =
    mHistory.mSent + mHistory.mConnectFailures + mHistory.mMisdirected == 0;
  if (!mPrompt || !isFirst || mHasAnswered) {
    return true;
  }
  const Timestamp now = BootNow();
  AdmissionRequest request;
  request.mPriority = PriorityOf(mTeam, *mRoute);
  request.mNow = now;
  request.mFirstEventTimeout =
    std::min(mRoute->FirstEventTimeout(),
             std::chrono::duration_cast<Milliseconds>(mGiveUpAt - now));
  request.mChoice = aChoice;
  request.mUsedTimeShare = UsedShare(mTimeLimit, mRoute->mTimeout);
  if (!mRefusalSample) {
    mRefusalSample = mForwarder.Random();
  }
  request.mRefusalSample = *mRefusalSample;
  request.mJitterSample = mForwarder.Random();
  const AdmissionDecision decision =
    mForwarder.Admission(mPool->mName).Decide(*mPool, request);
  mAdmission = decision;
  mForwarder.Counters().mPoolLoads[mPool->mName.Text()] = {
    decision.mLoad, decision.mTokensPerMs
  };
  if (decision.mVerdict == AdmissionVerdict::Admitted) {
    mNextForecast = decision.mExpectedFirstEventTime;
    return true;
  }
  mForwarder.Counters().mRefusedOverloaded += 1;
  EventFields fields{ { "request", mRequestId },
                      { "reason", AdmissionVerdictText(decision.mVerdict) },
                      { "tier", request.mPriority.mTeamTier.mValue },
                      { "usedTimePercent", Percent(request.mUsedTimeShare) },
                      { "shortPrompt", aChoice.mIsShortPrompt },
                      { "slotLoadPercent", Percent(decision.mSlotLoad) },
                      { "backlogLoadPercent", Percent(decision.mBacklogLoad) },
                      { "patienceMs", request.mFirstEventTimeout.count() },
                      { "returnAfterMs", decision.mRetryDelay.count() } };
  AddAdmissionFields(fields);
  mForwarder.Log().Write(Event::RequestTurnedAway, fields);
  mRetryDelay = decision.mRetryDelay;
  Refuse(kUnavailable, AdmissionVerdictText(decision.mVerdict));
  return false;
}

void
Exchange::StartAttempt(const BackendChoice& aChoice)
{
  auto attempt = std::make_shared<Attempt>();
  attempt->mChoice = aChoice;
  attempt->mForecast = std::exchange(mNextForecast, std::nullopt);
  attempt->mBegunAt = BootNow();
  if (const ListedBackend* listed = mForwarder.Backends().Find(aChoice.mId)) {
    attempt->mProcessStartedAt = listed->mEntry.mStartedAt;
  }
  mAttempt = attempt;
  mTried.insert(aChoice.mId);
  mForwarder.Chooser().RecordStarted(aChoice, mPrompt, attempt->mBegunAt);
  mForwarder.Connections().Acquire(
    aChoice.mId,
    aChoice.mEndpoint,
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
Exchange::RequestHeadText(const Attempt& aAttempt) const
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
    const int rank = BackendRank(
      mPool->mPriorities, PriorityOf(mTeam, *mRoute), names.mMostPriority);
    text += names.mPriority + ": " + std::to_string(rank) + "\r\n";
  }
  if (resumes) {
    text += "Last-Event-Id: " + mLastEventId + "\r\n";
  }
  if (hasLength) {
    text += "Content-Length: " + std::to_string(mBody->size()) + "\r\n";
  }
  return text + "\r\n";
}

void
Exchange::SendRequest(const AttemptPointer& aAttempt)
{
  aAttempt->mRequestHead = RequestHeadText(*aAttempt);
  aAttempt->mSentAt = BootNow();
  // All attempts send the one body; it lives as long as a write needs it.
  const std::array<boost::asio::const_buffer, 2> request{
    boost::asio::buffer(aAttempt->mRequestHead), boost::asio::buffer(*mBody)
  };
  boost::asio::async_write(aAttempt->mConnection->mSocket,
                           request,
                           [self = shared_from_this(), aAttempt, body = mBody](
                             const Error& aError, std::size_t) mutable {
                             // A failed write shows as the end of the answer's
                             // reading.
                             aAttempt->mIsRequestWritten = !aError;
                             body.reset();
                             if (!self->mIsDone) {
                               self->mCaller->UpdateMemory();
                             }
                           });
  aAttempt->mDelivery = std::make_shared<DeliveryWatch>(mForwarder.Context(),
                                                        aAttempt->mConnection);
  aAttempt->mDelivery->Start([self = shared_from_this(), aAttempt]() {
    if (!self->mIsDone && self->mAttempt == aAttempt) {
      self->HandleConnectionEnd(aAttempt, false);
    }
  });
  ReadAnswer(aAttempt);
}

void
Exchange::ReleaseAttempt(const AttemptPointer& aAttempt, bool aIsReusable)
{
  mForwarder.Chooser().RecordEnded(aAttempt->mChoice, aAttempt->mHasFirstByte);
  if (aAttempt->mWatch) {
    aAttempt->mWatch->Stop();
  }
  if (aAttempt->mDelivery) {
    aAttempt->mDelivery->Stop();
  }
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
      if (!aIsReusable) {
        // Otherwise the system goes on sending a request that was given up, and
        // delivers it when a network partition ends.
        connection->mSocket.set_option(
          boost::asio::socket_base::linger(true, 0), ignored);
      }
      connection->mSocket.close(ignored);
    }
  }
  mAttempt.reset();
}

void
Exchange::RecordFailure(const Attempt& aAttempt, AttemptOutcome aOutcome)
{
  const Timestamp now = BootNow();
  const InstanceId& id = aAttempt.mChoice.mId;
  const ListedBackend* listed = mForwarder.Backends().Find(id);
  switch (aOutcome) {
    case AttemptOutcome::NotSent:
      return; // The attempt to connect has noted it.
    case AttemptOutcome::Misdirected:
      mForwarder.Backends().RecordMisdirected(id);
      return;
    case AttemptOutcome::NotRun:
      if (listed != nullptr) {
        mForwarder.Chooser().RecordFull(*listed, now);
      }
      return;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Broken:
    case AttemptOutcome::TimedOut:
      mForwarder.Chooser().RecordFailure(id, now);
      return;
  }
}

void
Exchange::EndBroken(const AttemptPointer& aAttempt, AnswerFault aFault)
{
  aAttempt->mFault = aFault;
  mForwarder.Counters().RecordBrokenAnswer(aFault);
  EndAttempt(aAttempt, AttemptOutcome::Broken);
}

void
Exchange::EndAttempt(const AttemptPointer& aAttempt, AttemptOutcome aOutcome)
{
  const Timestamp now = BootNow();
  mHistory.Record(aOutcome);
  RecordFailure(*aAttempt, aOutcome);
  const bool hasAnswer = aAttempt->mHasHead && aAttempt->mParser != nullptr;
  EventFields fields{
    { "request", mRequestId },
    { "server", aAttempt->mChoice.mId.Text() },
    { "outcome", AttemptOutcomeName(aOutcome) },
    { "status", hasAnswer ? aAttempt->mParser->Head().mStatus : 0 },
    { "reusedConnection",
      aAttempt->mConnection && aAttempt->mConnection->mIsReused },
    { "elapsedMs", Elapsed().count() }
  };
  if (aAttempt->mFault) {
    fields["fault"] = AnswerFaultName(*aAttempt->mFault);
  }
  if (hasAnswer) {
    AddBodyFields(*aAttempt, fields);
  }
  mForwarder.Log().Write(Event::BackendAttemptFailed, fields);
  const bool isWhole =
    aAttempt->mFailure.has_value() && hasAnswer && aAttempt->mParser->is_done();
  ReleaseAttempt(aAttempt, isWhole);
  if (mHasAnswered) {
    const bool goesOn = mRoute->mIsResumable && !mLastEventId.empty() &&
                        mHistory.mSent < mRoute->mMaximumAttempts &&
                        TakesRetry();
    if (!goesOn) {
      CutStream("the backend server broke off");
      return;
    }
    mForwarder.Counters().mStreamsResumed += 1;
    mContinuations += 1;
    TryBackend();
    return;
  }
  NextStep step = DecideNextStep(
    *mRoute, mHistory, aOutcome, now + kLeastTimeForAttempt < mGiveUpAt);
  const bool wasSent = mHistory.mSent + mHistory.mMisdirected > 0;
  if (step == NextStep::TryAnother && wasSent && !TakesRetry()) {
    step = FinalStep(mHistory, aOutcome);
  }
  if (step == NextStep::ForwardAnswer) {
    const int status = aAttempt->mParser->Head().mStatus;
    PassWhole(aAttempt->mParser->Head(), aAttempt->mHeldBody);
    LogEnd(Event::RequestCompleted, status, "the backend server failed");
    Finish(mKeepOpen);
    return;
  }
  Follow(step, aOutcome);
}

} // namespace medlarkeel
