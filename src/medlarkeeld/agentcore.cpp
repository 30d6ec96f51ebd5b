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

AgentCore::AgentCore(const Settings& aSettings, Incarnation aIncarnation)
  : mSelf(aSettings.mInstanceId)
  , mZone(aSettings.mZone)
  , mPool(aSettings.mBackendServer->mPool)
  , mIncarnation(aIncarnation)
  , mScheduler(aIncarnation)
  , mPauses(kPauseLimit)
{
  const Lock lock(mMutex);
  UpdateAccepting(BootNow());
}

ReservationId
AgentCore::Reserve(Reservation aReservation,
                   std::shared_ptr<RunMailbox> aMailbox)
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  aReservation.mId = ReservationId{ ++mLastReservation };
  mMailboxes[aReservation.mId] = std::move(aMailbox);
  CarryOut(mScheduler.Reserve(aReservation, now));
  return aReservation.mId;
}

CommitResult
AgentCore::Commit(ReservationId aReservation,
                  GrantId aGrant,
                  Incarnation aIncarnation)
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  auto committed = mScheduler.Commit(aGrant, aIncarnation, now);
  if (!committed) {
    mMailboxes.erase(aReservation);
    CarryOut(mScheduler.Tick(now));
  }
  return committed;
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
  mMailboxes.erase(aReservation);
  CarryOut(mScheduler.Finish(aGrant, aKind, ObserveClock()));
}

void
AgentCore::Abandon(ReservationId aReservation)
{
  const Lock lock(mMutex);
  mMailboxes.erase(aReservation);
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
AgentCore::ApplyListing(InstanceState aState)
{
  const Lock lock(mMutex);
  const Timestamp now = ObserveClock();
  mConditions.mListedLeaving = aState == InstanceState::Leaving;
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
      Post(grant->mId, RunGranted{ grant->mGrant, grant->mExpires });
    } else if (const auto* refuse = std::get_if<RefuseAction>(&action)) {
      Close(refuse->mId, refuse->mRefusal);
    } else if (const auto* cut = std::get_if<CutAction>(&action)) {
      Close(cut->mId, cut->mRefusal);
    }
  }
}

void
AgentCore::Post(ReservationId aReservation, RunMessage aMessage)
{
  const auto found = mMailboxes.find(aReservation);
  if (found != mMailboxes.end()) {
    found->second->Post(std::move(aMessage));
  }
}

void
AgentCore::Close(ReservationId aReservation, const Refusal& aRefusal)
{
  Post(aReservation, RunRefused{ aRefusal });
  mMailboxes.erase(aReservation);
}

} // namespace medlarkeel
