#include "agentcore.h"

#include "bootclock.h"
#include "claimrange.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <variant>

namespace medlarkeel {

namespace {

/** Several tick intervals. */
constexpr Milliseconds kPauseLimit{ 1000 };
constexpr Milliseconds kRetryClaim{ 1000 };
/** Shorter than any takeover, so that no heir decides on the key meanwhile. */
constexpr Milliseconds kVouchLife{ 5000 };

std::optional<RefusalReason>
ReasonToRefuse(const AgentConditions& aConditions)
{
  if (aConditions.mShuttingDown || aConditions.mListedLeaving) {
    return RefusalReason::Leaving;
  }
  if (!aConditions.mDocumentKnown || aConditions.mMustRevalidate) {
    return RefusalReason::ConfigurationUnknown;
  }
  if (aConditions.mZoneOut) {
    return RefusalReason::ZoneOut;
  }
  return std::nullopt;
}

OwnershipSettings
OwnershipFrom(const Settings& aSettings)
{
  OwnershipSettings ownership;
  ownership.mEvidenceLife = aSettings.mControl.mEvidenceValid;
  ownership.mListLag = aSettings.mControl.mListLagBound;
  return ownership;
}

void
PostAnswer(const StoredAnswer& aAnswer, RunMailbox& aMailbox)
{
  aMailbox.Post(RunHead{ aAnswer.mStatus, aAnswer.mContentType, true });
  aMailbox.Post(RunData{ aAnswer.mBody });
  aMailbox.Post(RunDone{});
}

/** Turns a verdict other than Run and Replay into the caller's refusal. */
Refusal
ClaimRefusal(const ClaimDecision& aDecision)
{
  Refusal refusal;
  refusal.mExecuted = aDecision.mExecuted;
  switch (aDecision.mVerdict) {
    case ClaimVerdict::Mismatch:
      refusal.mReason = RefusalReason::IdempotencyMismatch;
      refusal.mDetail = "the idempotency key was used with another body";
      break;
    case ClaimVerdict::StillRunning:
      refusal.mReason = RefusalReason::StillRunning;
      refusal.mRetryAfter = kRetryClaim;
      refusal.mDetail = "the first call with this key is still running";
      break;
    case ClaimVerdict::NotOwner:
    case ClaimVerdict::Run:
      refusal.mReason = RefusalReason::NoBackendServer;
      refusal.mRetryAfter = kRetryClaim;
      refusal.mDetail = "no backend server can vouch for the key now";
      break;
    default:
      refusal.mReason = RefusalReason::OutcomeUnknown;
      refusal.mDetail = "the key may have been run before; check before "
                        "sending the call with a new key";
      break;
  }
  return refusal;
}

const char*
ClaimVerdictText(ClaimVerdict aVerdict)
{
  switch (aVerdict) {
    case ClaimVerdict::Run:
      return "run";
    case ClaimVerdict::Replay:
      return "replay";
    case ClaimVerdict::StillRunning:
      return "still-running";
    case ClaimVerdict::Mismatch:
      return "mismatch";
    case ClaimVerdict::PossibleRepeat:
      return "possible-repeat";
    case ClaimVerdict::NotOwner:
      break;
  }
  return "not-owner";
}

bool
IsZoneOut(const EnvironmentDocument& aDocument, const ZoneName& aZone)
{
  const auto found = std::find_if(
    aDocument.mZones.begin(),
    aDocument.mZones.end(),
    [&](const ZoneEntry& aEntry) { return aEntry.mName == aZone; });
  return found == aDocument.mZones.end() || found->mState == ZoneState::Out;
}

std::set<std::pair<TeamName, KeyId>>
ValidKeys(const EnvironmentDocument& aDocument)
{
  std::set<std::pair<TeamName, KeyId>> valid;
  for (const Team& team : aDocument.mTeams) {
    for (const KeyEntry& key : team.mKeys) {
      valid.emplace(team.mName, key.mId);
    }
  }
  return valid;
}

} // namespace

AgentCore::AgentCore(const Settings& aSettings,
                     Incarnation aIncarnation,
                     DecisionLog& aLog)
  : mSelf(aSettings.mInstanceId)
  , mZone(aSettings.mZone)
  , mPool(aSettings.mBackendServer->mPool)
  , mIncarnation(aIncarnation)
  , mScheduler(aIncarnation)
  , mPauses(kPauseLimit)
  , mLog(aLog)
  , mOwnership(aSettings.mInstanceId,
               OwnershipFrom(aSettings),
               OwnershipScope{ InstanceRole::Agent, mPool })
  , mClaims(aSettings.mInstanceId, aIncarnation, BootNow())
{
  const Lock lock(mMutex);
  UpdateAccepting(BootNow());
}

ReservationId
AgentCore::Reserve(Reservation aReservation,
                   const RequestOrigin& aOrigin,
                   std::shared_ptr<RunMailbox> aMailbox)
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  aReservation.mId = ReservationId{ ++mLastReservation };
  mWaiting[aReservation.mId] = Waiting{ std::move(aMailbox), aOrigin.mRequest };
  if (IsKeyWithdrawn(aReservation, aOrigin)) {
    Refusal refusal;
    refusal.mReason = RefusalReason::KeyWithdrawn;
    Close(aReservation.mId, refusal);
    return aReservation.mId;
  }
  CarryOut(mScheduler.Reserve(aReservation, now));
  return aReservation.mId;
}

bool
AgentCore::IsKeyWithdrawn(const Reservation& aReservation,
                          const RequestOrigin& aOrigin) const
{
  const bool knowsAsMuch = mDocumentVersion >= aOrigin.mDocumentVersion;
  return knowsAsMuch && !aReservation.mKey.IsEmpty() &&
         mKeys.count({ aReservation.mTeam, aReservation.mKey }) == 0;
}

std::optional<VouchTarget>
AgentCore::OwnerToAsk(const ClaimCall& aCall)
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  const ClaimDecision decision =
    mClaims.Look(aCall.mKey, aCall.mBody, EvidenceFor(aCall.mKey, now));
  const auto ticket = ParseTicket(aCall.mKey.mKey);
  const bool isForeignTicket = ticket && ticket->mInstance != mSelf;
  const bool isUndecided =
    decision.mVerdict == ClaimVerdict::NotOwner ||
    (isForeignTicket && decision.mVerdict == ClaimVerdict::PossibleRepeat);
  if (!isUndecided) {
    return std::nullopt;
  }
  const std::optional<InstanceId> owner =
    isForeignTicket ? ticket->mInstance : OtherOwner(aCall.mKey);
  if (!owner || *owner == mSelf) {
    return std::nullopt;
  }
  const auto address = mAddresses.find(*owner);
  if (address == mAddresses.end()) {
    return std::nullopt;
  }
  return VouchTarget{ *owner, address->second };
}

std::optional<InstanceId>
AgentCore::OtherOwner(const ClaimKey& aKey) const
{
  const RangeKey range = ClaimRange(aKey);
  const auto owner = mOwnership.Owner(range);
  return owner == mSelf ? mOwnership.PreviousOwner(range) : owner;
}

VouchDecision
AgentCore::Vouch(const ClaimCall& aCall)
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  const ClaimDecision decision =
    mClaims.Claim(aCall.mKey, aCall.mBody, EvidenceFor(aCall.mKey, now));
  LogClaim(aCall, decision);
  VouchDecision vouch;
  if (decision.mVerdict == ClaimVerdict::Run) {
    mClaims.RecordUnknown(aCall.mKey);
    vouch.mVouched = true;
  } else if (decision.mVerdict == ClaimVerdict::Replay) {
    vouch.mAnswer = decision.mAnswer;
  } else {
    vouch.mRefusal = ClaimRefusal(decision);
  }
  return vouch;
}

void
AgentCore::RecordVouch(const ClaimKey& aKey, Timestamp aAskedAt)
{
  const Lock lock(mMutex);
  for (auto vouch = mVouched.begin(); vouch != mVouched.end();) {
    const bool isOver = aAskedAt > vouch->second + kVouchLife;
    vouch = isOver ? mVouched.erase(vouch) : std::next(vouch);
  }
  mVouched[aKey] = aAskedAt;
}

bool
AgentCore::IsNewCall(const ClaimCall& aCall,
                     const std::shared_ptr<RunMailbox>& aMailbox)
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  const ClaimDecision decision =
    mClaims.Look(aCall.mKey, aCall.mBody, EvidenceFor(aCall.mKey, now));
  if (decision.mVerdict != ClaimVerdict::Run) {
    LogClaim(aCall, decision);
  }
  switch (decision.mVerdict) {
    case ClaimVerdict::Run:
      return true;
    case ClaimVerdict::Replay:
      PostAnswer(*decision.mAnswer, *aMailbox);
      return false;
    case ClaimVerdict::StillRunning:
      mWaitingRepeats.emplace(aCall.mKey,
                              std::make_pair(aCall.mBody, aMailbox));
      return false;
    default:
      aMailbox->Post(RunRefused{ ClaimRefusal(decision) });
      return false;
  }
}

CommitResult
AgentCore::Commit(ReservationId aReservation,
                  GrantId aGrant,
                  Incarnation aIncarnation,
                  const std::optional<ClaimCall>& aCall)
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  auto committed = mScheduler.Commit(aGrant, aIncarnation, now);
  if (!committed) {
    mLog.Write(Event::CommitRefused,
               { { "request", RequestOf(aReservation) },
                 { "reason", ReasonCode(committed.error().mReason) } });
    mWaiting.erase(aReservation);
    CarryOut(mScheduler.Tick(now));
    return committed;
  }
  if (aCall) {
    const ClaimDecision decision =
      mClaims.Claim(aCall->mKey, aCall->mBody, EvidenceFor(aCall->mKey, now));
    LogClaim(*aCall, decision);
    if (decision.mVerdict != ClaimVerdict::Run) {
      mWaiting.erase(aReservation);
      CarryOut(mScheduler.Finish(aGrant, FinishKind::Cancelled, now));
      return ClaimRefusal(decision);
    }
    mVouched.erase(aCall->mKey);
  }
  return committed;
}

void
AgentCore::RecordAnswer(const ClaimKey& aKey, StoredAnswer aAnswer)
{
  const Lock lock(mMutex);
  mClaims.RecordAnswer(aKey, std::move(aAnswer));
  AnswerWaiting(aKey);
}

void
AgentCore::RecordUnknown(const ClaimKey& aKey)
{
  const Lock lock(mMutex);
  mClaims.RecordUnknown(aKey);
  AnswerWaiting(aKey);
}

void
AgentCore::RecordNotRun(const ClaimKey& aKey)
{
  const Lock lock(mMutex);
  mClaims.RecordNotRun(aKey);
  AnswerWaiting(aKey);
}

std::optional<IdempotencyKey>
AgentCore::IssueTicket()
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  if (ReasonToRefuse(mConditions)) {
    return std::nullopt;
  }
  return mClaims.IssueTicket(now);
}

void
AgentCore::RecordFirstToken(GrantId aGrant)
{
  const Lock lock(mMutex);
  mScheduler.RecordFirstToken(aGrant, BootNow());
}

void
AgentCore::RecordTokens(GrantId aGrant, std::uint32_t aCount)
{
  const Lock lock(mMutex);
  mScheduler.RecordTokens(aGrant, aCount, BootNow());
}

void
AgentCore::Finish(ReservationId aReservation, GrantId aGrant, FinishKind aKind)
{
  const Lock lock(mMutex);
  mWaiting.erase(aReservation);
  CarryOut(mScheduler.Finish(aGrant, aKind, ObserveClock()));
}

void
AgentCore::Abandon(ReservationId aReservation)
{
  const Lock lock(mMutex);
  mWaiting.erase(aReservation);
  CarryOut(mScheduler.Cancel(aReservation, ObserveClock()));
}

void
AgentCore::ApplyDocument(const EnvironmentDocument& aDocument)
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  mConditions.mDocumentKnown = true;
  mConditions.mZoneOut = IsZoneOut(aDocument, mZone);
  mDocumentVersion = aDocument.mVersion;
  for (const Pool& pool : aDocument.mPools) {
    if (pool.mName == mPool) {
      CarryOut(mScheduler.SetPool(pool, aDocument.mClasses, now));
      mClaims.SetRepeatWindow(pool.mRepeatWindow);
    }
  }
  const auto before = std::exchange(mKeys, ValidKeys(aDocument));
  const auto isWithdrawn = [&](const TeamName& aTeam, const KeyId& aKey) {
    return before.count({ aTeam, aKey }) > 0 &&
           mKeys.count({ aTeam, aKey }) == 0;
  };
  CarryOut(
    mScheduler.WithdrawKeys(isWithdrawn, aDocument.mWithdrawnStreams, now));
  UpdateAccepting(now);
}

void
AgentCore::ApplyList(const InstanceList& aList,
                     Timestamp aSentAt,
                     Timestamp aReceivedAt)
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  mOwnership.Observe(aList, aSentAt, aReceivedAt);
  mAddresses.clear();
  for (const InstanceRecord& record : aList.mInstances) {
    mAddresses[record.mId] = record.mAddress;
    if (record.mId == mSelf) {
      mConditions.mListedLeaving = record.mState == InstanceState::Leaving;
    }
  }
  UpdateAccepting(now);
}

void
AgentCore::RecordValidation(Timestamp aEvidenceSentAt)
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  if (mPauses.Revalidated(aEvidenceSentAt)) {
    mConditions.mMustRevalidate = false;
  }
  UpdateAccepting(now);
}

void
AgentCore::BeginShutdown()
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  mConditions.mShuttingDown = true;
  UpdateAccepting(now);
}

void
AgentCore::Tick()
{
  const Lock lock(mMutex);
  CarryOut(mScheduler.Tick(ObserveClock()));
}

LoadSnapshot
AgentCore::Load()
{
  const Lock lock(mMutex);
  return mScheduler.Load(BootNow());
}

bool
AgentCore::MustRevalidate()
{
  const Lock lock(mMutex);
  return mConditions.mMustRevalidate;
}

Timestamp
AgentCore::ObserveClock()
{
  const Timestamp now = BootNow();
  if (const auto gap = mPauses.Observe(now)) {
    mConditions.mMustRevalidate = true;
    mOwnership.ResumeAfterPause(now);
    CarryOut(mScheduler.ResumeAfterPause(*gap, now));
    UpdateAccepting(now);
  }
  return now;
}

ClaimEvidence
AgentCore::EvidenceFor(const ClaimKey& aKey, Timestamp aNow) const
{
  const RangeKey range = ClaimRange(aKey);
  ClaimEvidence evidence;
  evidence.mNow = aNow;
  evidence.mWallNow = WallTime(WallNow());
  evidence.mIsOwner = mOwnership.Owner(range) == mSelf;
  evidence.mExclusiveSince = mOwnership.ExclusiveSince(range, aNow);
  const auto vouch = mVouched.find(aKey);
  evidence.mIsVouched =
    vouch != mVouched.end() && aNow <= vouch->second + kVouchLife;
  return evidence;
}

void
AgentCore::LogClaim(const ClaimCall& aCall, const ClaimDecision& aDecision)
{
  mLog.Write(Event::ClaimDecided,
             { { "team", aCall.mKey.mTeam.Text() },
               { "idempotencyKey", aCall.mKey.mKey.Text() },
               { "verdict", ClaimVerdictText(aDecision.mVerdict) } });
}

void
AgentCore::AnswerWaiting(const ClaimKey& aKey)
{
  const Timestamp now = BootNow();
  const auto [first, last] = mWaitingRepeats.equal_range(aKey);
  for (auto waiting = first; waiting != last; ++waiting) {
    const auto& [body, mailbox] = waiting->second;
    const ClaimDecision decision =
      mClaims.Look(aKey, body, EvidenceFor(aKey, now));
    if (decision.mVerdict == ClaimVerdict::Replay) {
      PostAnswer(*decision.mAnswer, *mailbox);
    } else {
      mailbox->Post(RunRefused{ ClaimRefusal(decision) });
    }
  }
  mWaitingRepeats.erase(first, last);
}

void
AgentCore::UpdateAccepting(Timestamp aNow)
{
  const auto reason = ReasonToRefuse(mConditions);
  CarryOut(mScheduler.SetAccepting(
    !reason, reason.value_or(RefusalReason::Leaving), aNow));
}

void
AgentCore::CarryOut(const SchedulerActions& aActions)
{
  for (const SchedulerAction& action : aActions) {
    if (const auto* grant = std::get_if<GrantAction>(&action)) {
      mLog.Write(Event::ReservationGranted,
                 { { "request", RequestOf(grant->mId) },
                   { "grant", grant->mGrant.mValue } });
      Post(grant->mId, RunGranted{ grant->mGrant, grant->mExpires });
    } else if (const auto* refuse = std::get_if<RefuseAction>(&action)) {
      Close(refuse->mId, refuse->mRefusal);
    } else if (const auto* cut = std::get_if<CutAction>(&action)) {
      Close(cut->mId, cut->mRefusal);
    }
  }
}

std::string
AgentCore::RequestOf(ReservationId aReservation) const
{
  const auto found = mWaiting.find(aReservation);
  return found == mWaiting.end() ? "" : found->second.mRequest.Text();
}

void
AgentCore::Post(ReservationId aReservation, RunMessage aMessage)
{
  const auto found = mWaiting.find(aReservation);
  if (found != mWaiting.end()) {
    found->second.mMailbox->Post(std::move(aMessage));
  }
}

void
AgentCore::Close(ReservationId aReservation, const Refusal& aRefusal)
{
  const bool shed = aRefusal.mReason == RefusalReason::Shed;
  mLog.Write(shed ? Event::ReservationShed : Event::ReservationRefused,
             { { "request", RequestOf(aReservation) },
               { "reason", ReasonCode(aRefusal.mReason) },
               { "executed", ExecutedText(aRefusal.mExecuted) } });
  Post(aReservation, RunRefused{ aRefusal });
  mWaiting.erase(aReservation);
}

} // namespace medlarkeel
