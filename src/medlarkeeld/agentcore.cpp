#include "agentcore.h"

#include "bootclock.h"
#include "claimrange.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace medlarkeel {

namespace {

/** Several tick intervals. */
constexpr Milliseconds kPauseLimit{ 1000 };
constexpr Milliseconds kRetryClaim{ 1000 };

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
                     EventLog& aLog)
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
                   const RequestId& aRequest,
                   std::shared_ptr<RunMailbox> aMailbox)
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  aReservation.mId = ReservationId{ ++mLastReservation };
  mWaiting[aReservation.mId] = Waiting{ std::move(aMailbox), aRequest };
  CarryOut(mScheduler.Reserve(aReservation, now));
  return aReservation.mId;
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
  for (const Pool& pool : aDocument.mPools) {
    if (pool.mName == mPool) {
      CarryOut(mScheduler.SetPool(pool, aDocument.mClasses, now));
    }
  }
  const auto valid = ValidKeys(aDocument);
  const auto isWithdrawn = [&](const TeamName& aTeam, const KeyId& aKey) {
    return !aKey.IsEmpty() && valid.count({ aTeam, aKey }) == 0;
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
  for (const InstanceRecord& record : aList.mInstances) {
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
