#include "agentcore.h"

#include "bootclock.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace medlarkeel {

namespace {

/** Several tick intervals. */
constexpr Milliseconds kPauseLimit{ 1000 };
constexpr Milliseconds kRetryWithoutAdapter{ 1000 };

std::optional<RefusalReason>
ReasonToRefuse(const AgentConditions& aConditions)
{
  if (aConditions.mShuttingDown || aConditions.mListedLeaving ||
      aConditions.mDraining) {
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
  , mDesk(aSettings, aIncarnation, BootNow(), aLog)
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
  mWaiting[aReservation.mId] =
    Waiting{ std::move(aMailbox), aOrigin.mRequest, aOrigin.mAdapter };
  if (const auto refusal = ReasonToReject(aReservation, aOrigin)) {
    Close(aReservation.mId, *refusal);
    return aReservation.mId;
  }
  CarryOut(mScheduler.Reserve(aReservation, now));
  return aReservation.mId;
}

std::optional<Refusal>
AgentCore::ReasonToReject(const Reservation& aReservation,
                          const RequestOrigin& aOrigin) const
{
  Refusal refusal;
  if (IsKeyWithdrawn(aReservation, aOrigin)) {
    refusal.mReason = RefusalReason::KeyWithdrawn;
    return refusal;
  }
  const bool lacksAdapter = !aOrigin.mAdapter.IsEmpty() && mAdapters &&
                            mAdapters->count(aOrigin.mAdapter) == 0;
  if (lacksAdapter) {
    refusal.mReason = RefusalReason::NoBackendServer;
    refusal.mRetryAfter = kRetryWithoutAdapter;
    refusal.mDetail = "the adapter isn't loaded at this backend server";
    return refusal;
  }
  return std::nullopt;
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
  return mDesk.OwnerToAsk(aCall, ObserveClock());
}

VouchDecision
AgentCore::Vouch(const ClaimCall& aCall)
{
  const Lock lock(mMutex);
  return mDesk.Vouch(aCall, ObserveClock());
}

void
AgentCore::RecordVouch(const ClaimKey& aKey, Timestamp aAskedAt)
{
  const Lock lock(mMutex);
  mDesk.RecordVouch(aKey, aAskedAt);
}

bool
AgentCore::IsNewCall(const ClaimCall& aCall,
                     const std::shared_ptr<RunMailbox>& aMailbox)
{
  const Lock lock(mMutex);
  return mDesk.IsNewCall(aCall, aMailbox, ObserveClock());
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
    if (auto refusal = mDesk.Claim(*aCall, now)) {
      mWaiting.erase(aReservation);
      CarryOut(mScheduler.Finish(aGrant, FinishKind::Cancelled, now));
      return std::move(*refusal);
    }
  }
  return committed;
}

void
AgentCore::RecordAnswer(const ClaimKey& aKey, StoredAnswer aAnswer)
{
  const Lock lock(mMutex);
  mDesk.RecordAnswer(aKey, std::move(aAnswer), BootNow());
}

void
AgentCore::RecordUnknown(const ClaimKey& aKey)
{
  const Lock lock(mMutex);
  mDesk.RecordUnknown(aKey, BootNow());
}

void
AgentCore::RecordNotRun(const ClaimKey& aKey)
{
  const Lock lock(mMutex);
  mDesk.RecordNotRun(aKey, BootNow());
}

std::optional<IdempotencyKey>
AgentCore::IssueTicket()
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  if (ReasonToRefuse(mConditions)) {
    return std::nullopt;
  }
  return mDesk.IssueTicket(now);
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
      mDesk.SetRepeatWindow(pool.mRepeatWindow);
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
  mDesk.ApplyList(aList, aSentAt, aReceivedAt);
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
AgentCore::SetDraining(bool aDraining)
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  mConditions.mDraining = aDraining;
  UpdateAccepting(now);
}

bool
AgentCore::IsDrained()
{
  const Lock lock(mMutex);
  return mConditions.mDraining && mWaiting.empty() &&
         mScheduler.Load(BootNow()).mRunning == 0;
}

void
AgentCore::RecordReload()
{
  const Lock lock(mMutex);
  CarryOut(mScheduler.BackendRestarted(ObserveClock()));
}

void
AgentCore::SetAdapters(std::set<AdapterName> aAdapters)
{
  const Lock lock(mMutex);
  mAdapters = std::move(aAdapters);
}

bool
AgentCore::HasWorkFor(const AdapterName& aAdapter)
{
  const Lock lock(mMutex);
  return std::any_of(
    mWaiting.begin(), mWaiting.end(), [&](const auto& aWaiting) {
      return aWaiting.second.mAdapter == aAdapter;
    });
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
  LoadSnapshot load = mScheduler.Load(BootNow());
  if (mAdapters) {
    load.mAdapters.emplace(mAdapters->begin(), mAdapters->end());
  }
  return load;
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
    mDesk.ResumeAfterPause(now);
    CarryOut(mScheduler.ResumeAfterPause(*gap, now));
    UpdateAccepting(now);
  }
  return now;
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
