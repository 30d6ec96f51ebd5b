#include "entrycore.h"

#include "bootclock.h"
#include "claimrange.h"

#include <algorithm>
#include <utility>

namespace medlarkeel {

namespace {

constexpr std::size_t kProbesAtOnce = 4;
constexpr Milliseconds kRetryWithoutAgent{ 1000 };

FleetViewSettings
FleetSettingsFrom(const Settings& aSettings)
{
  FleetViewSettings fleet;
  fleet.mSelf = aSettings.mInstanceId;
  fleet.mZone = aSettings.mZone;
  fleet.mRegion = aSettings.mRegion;
  return fleet;
}

OwnershipSettings
OwnershipSettingsFrom(const Settings& aSettings)
{
  OwnershipSettings ownership;
  ownership.mEvidenceLife = aSettings.mControl.mEvidenceValid;
  ownership.mListLag = aSettings.mControl.mListLagBound;
  return ownership;
}

Refusal
NoAgentRefusal()
{
  Refusal refusal;
  refusal.mReason = RefusalReason::NoBackendServer;
  refusal.mRetryAfter = kRetryWithoutAgent;
  refusal.mDetail = "no backend server can take the request now";
  return refusal;
}

bool
KeyStands(const DocumentViewPtr& aView, const AdmittedRequest& aRequest)
{
  return !aRequest.mCaller || aView->Keys().IsValid(*aRequest.mCaller);
}

} // namespace

EntryCore::EntryCore(const Settings& aSettings, std::uint64_t aSeed)
  : mSettings(aSettings)
  , mFleet(FleetSettingsFrom(aSettings))
  , mChooser(ChooserSettings(), aSeed)
  , mReservationBudget(RetryBudgetSettings())
  , mRestartBudget(RetryBudgetSettings())
{
}

void
EntryCore::ApplyDocument(DocumentViewPtr aView)
{
  const Lock lock(mMutex);
  mFleet.SetZones(aView->Document().mZones, BootNow());
  for (const Pool& pool : aView->Document().mPools) {
    if (pool.mKind == PoolKind::Service) {
      const OwnershipScope scope{ InstanceRole::Agent, pool.mName };
      mOwners.try_emplace(pool.mName,
                          mSettings.mInstanceId,
                          OwnershipSettingsFrom(mSettings),
                          scope);
    }
  }
  mView = std::move(aView);
}

void
EntryCore::ApplyList(const InstanceList& aList,
                     Timestamp aSentAt,
                     Timestamp aReceivedAt)
{
  const Lock lock(mMutex);
  mFleet.ObserveList(aList, aSentAt, aReceivedAt);
  for (auto& [pool, owners] : mOwners) {
    owners.Observe(aList, aSentAt, aReceivedAt);
  }
}

void
EntryCore::ResumeAfterPause()
{
  const Lock lock(mMutex);
  mFleet.RecordPause(BootNow());
}

DocumentViewPtr
EntryCore::View()
{
  const Lock lock(mMutex);
  return mView;
}

AgentChoice
EntryCore::ChooseAgent(const AdmittedRequest& aRequest,
                       const ChoiceRequest& aNeeds)
{
  const Lock lock(mMutex);
  const bool hasOwner =
    !aRequest.mRoute.mRepeatable && !aRequest.mIdempotencyKey.IsEmpty();
  return hasOwner ? ChooseOwner(aRequest) : ChooseReplica(aNeeds);
}

AgentChoice
EntryCore::ChooseOwner(const AdmittedRequest& aRequest)
{
  AgentChoice choice;
  choice.mRefusal = NoAgentRefusal();
  const auto owners = mOwners.find(aRequest.mRoute.mPool);
  if (owners == mOwners.end()) {
    return choice;
  }
  const RangeKey key =
    RangeKeyOf(aRequest.Team().Text() + "/" + aRequest.mIdempotencyKey.Text());
  const auto owner = owners->second.Owner(key);
  const auto candidates =
    mFleet.AllCandidates(aRequest.mRoute.mPool, BootNow());
  for (const Candidate& candidate : candidates) {
    if (owner && candidate.mId == *owner) {
      choice.mAgent = candidate.mId;
      choice.mAddress = candidate.mAddress;
    }
  }
  return choice;
}

AgentChoice
EntryCore::ChooseReplica(const ChoiceRequest& aNeeds)
{
  const Timestamp now = BootNow();
  const Choice chosen =
    mChooser.Choose(aNeeds, mFleet.Candidates(aNeeds.mPool, now), now);
  AgentChoice choice;
  choice.mRefusal = NoAgentRefusal();
  choice.mAgent = chosen.mChosen;
  choice.mAddress = chosen.mAddress;
  return choice;
}

std::optional<RefusalReason>
EntryCore::ReasonToStop(const AdmittedRequest& aRequest)
{
  const DocumentViewPtr view = View();
  if (!KeyStands(view, aRequest)) {
    return RefusalReason::KeyWithdrawn;
  }
  return std::nullopt;
}

std::optional<RefusalReason>
EntryCore::ReasonToCut(const AdmittedRequest& aRequest)
{
  const DocumentViewPtr view = View();
  const bool cuts = view->Document().mWithdrawnStreams == WithdrawnStreams::Cut;
  if (cuts && !KeyStands(view, aRequest)) {
    return RefusalReason::KeyWithdrawn;
  }
  return std::nullopt;
}

void
EntryCore::RecordSent(const InstanceId& aAgent)
{
  const Lock lock(mMutex);
  mChooser.RecordSent(aAgent, BootNow());
}

void
EntryCore::RecordContact(const InstanceId& aAgent, const LoadSnapshot& aLoad)
{
  const Lock lock(mMutex);
  mFleet.RecordContact(aAgent, aLoad, BootNow());
}

void
EntryCore::RecordFirstToken(const ChoiceRequest& aNeeds,
                            const InstanceId& aAgent,
                            Microseconds aWait,
                            Microseconds aPrefill)
{
  const Lock lock(mMutex);
  mChooser.RecordFirstToken(aNeeds, aAgent, aWait, aPrefill, BootNow());
}

void
EntryCore::RecordFinished(const InstanceId& aAgent, Microseconds aDuration)
{
  const Lock lock(mMutex);
  mChooser.RecordFinished(aAgent, aDuration);
}

void
EntryCore::RecordFailed(const InstanceId& aAgent)
{
  const Lock lock(mMutex);
  mChooser.RecordFailed(aAgent, BootNow());
}

void
EntryCore::RecordSilence(const InstanceId& aAgent)
{
  const Lock lock(mMutex);
  mFleet.RecordSilence(aAgent, BootNow());
  mChooser.RecordFailed(aAgent, BootNow());
}

void
EntryCore::RecordWithdrawn(const InstanceId& aAgent)
{
  const Lock lock(mMutex);
  mChooser.RecordWithdrawn(aAgent);
}

void
EntryCore::RecordDroppedFrame()
{
  ++mDroppedFrames;
}

void
EntryCore::RecordOutcome(const AdmittedRequest& aRequest,
                         const RequestEnd& aOutcome)
{
  static_cast<void>(aRequest);
  static_cast<void>(aOutcome);
}

std::optional<std::string>
EntryCore::ReasonNotReady()
{
  const Lock lock(mMutex);
  if (!mFleet.IsValidated()) {
    return "no list of instances";
  }
  if (!mFleet.IsZoneIn(mSettings.mZone)) {
    return "the availability zone is out";
  }
  return std::nullopt;
}

std::vector<InstanceRecord>
EntryCore::TakeDueProbes()
{
  const Lock lock(mMutex);
  return mFleet.TakeDueProbes(BootNow(), kProbesAtOnce);
}

} // namespace medlarkeel
