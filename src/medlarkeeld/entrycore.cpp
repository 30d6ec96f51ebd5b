#include "entrycore.h"

#include "bootclock.h"
#include "claimrange.h"
#include "rendezvous.h"

#include <algorithm>
#include <utility>

namespace medlarkeel {

namespace {

/** Keeps probes within the bytes that control may send. */
constexpr Milliseconds kProbeInterval{ 350 };
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

Refusal
NoAgentRefusal()
{
  Refusal refusal;
  refusal.mReason = RefusalReason::NoBackendServer;
  refusal.mRetryAfter = kRetryWithoutAgent;
  refusal.mDetail = "no backend server can take the request now";
  return refusal;
}

/**
 * Finds the owner of a key, or the agent that every entry takes in its place:
 * it asks the owner before it runs the call.
 */
const Candidate*
OwnerOrSubstitute(const std::vector<Candidate>& aCandidates,
                  const InstanceId& aOwner)
{
  const Candidate* best = nullptr;
  std::uint64_t bestScore = 0;
  const std::uint64_t owner = HashText(aOwner.Text());
  for (const Candidate& candidate : aCandidates) {
    if (candidate.mId == aOwner) {
      return &candidate;
    }
    const std::uint64_t score =
      RendezvousScore(owner, HashText(candidate.mId.Text()));
    if (best == nullptr || score > bestScore) {
      best = &candidate;
      bestScore = score;
    }
  }
  return best;
}

const char*
OwnerChoiceText(const Candidate* aChosen, const InstanceId& aOwner)
{
  if (aChosen == nullptr) {
    return "no-candidate";
  }
  return aChosen->mId == aOwner ? "key-owner" : "substitute-of-key-owner";
}

EventFields
ConsideredFields(const Choice& aChoice)
{
  EventFields considered = EventFields::array();
  for (const ConsideredCandidate& candidate : aChoice.mConsidered) {
    considered.push_back({ { "id", candidate.mId.Text() },
                           { "note", CandidateNoteText(candidate.mNote) },
                           { "score", candidate.mScore },
                           { "blocks", candidate.mMatchedBlocks } });
  }
  return considered;
}

RequestOutcome
OutcomeOf(const RequestEnd& aEnd)
{
  if (aEnd.mServed) {
    return RequestOutcome::Completed;
  }
  if (aEnd.mRefusal.mReason == RefusalReason::Cancelled) {
    return RequestOutcome::Cancelled;
  }
  return aEnd.mAborted ? RequestOutcome::Failed : RequestOutcome::Refused;
}

bool
IsWithin(Microseconds aTime, const std::optional<Milliseconds>& aTarget)
{
  return !aTarget || aTime <= *aTarget;
}

bool
MetTargets(const AdmittedRequest& aRequest, const RequestEnd& aEnd)
{
  constexpr int kFirstServerError = 500;
  if (!aEnd.mServed || aEnd.mStatus >= kFirstServerError) {
    return false;
  }
  const ServiceClass& level = aRequest.mClass;
  const Timestamp firstByte = aEnd.mFirstByteAt.value_or(aEnd.mEndedAt);
  const Microseconds total = aEnd.mEndedAt - aRequest.mArrived;
  if (!IsWithin(firstByte - aRequest.mArrived, level.mFirstByteTarget) ||
      !IsWithin(total, level.mCompletionTarget)) {
    return false;
  }
  const auto gaps = static_cast<Microseconds::rep>(aEnd.mEvents);
  return gaps < 2 || IsWithin((aEnd.mEndedAt - firstByte) / (gaps - 1),
                              level.mTokenGapTarget);
}

bool
KeyStands(const DocumentViewPtr& aView, const AdmittedRequest& aRequest)
{
  return !aRequest.mCaller || aView->Keys().IsValid(*aRequest.mCaller);
}

} // namespace

EntryCore::EntryCore(const Settings& aSettings,
                     std::uint64_t aSeed,
                     DecisionLog& aLog,
                     NodeCounters& aCounters)
  : mSettings(aSettings)
  , mLog(aLog)
  , mCounters(aCounters)
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
                          OwnershipSettingsFrom(mSettings.mControl),
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
  return hasOwner ? ChooseOwner(aRequest) : ChooseReplica(aRequest, aNeeds);
}

InstanceId
EntryCore::OwnerOf(const AdmittedRequest& aRequest) const
{
  if (const auto ticket = ParseTicket(aRequest.mIdempotencyKey)) {
    return ticket->mInstance;
  }
  const auto owners = mOwners.find(aRequest.mRoute.mPool);
  if (owners == mOwners.end()) {
    return InstanceId();
  }
  const ClaimKey key{ aRequest.Team(), aRequest.mIdempotencyKey };
  return owners->second.Owner(ClaimRange(key)).value_or(InstanceId());
}

AgentChoice
EntryCore::ChooseOwner(const AdmittedRequest& aRequest)
{
  AgentChoice choice;
  choice.mRefusal = NoAgentRefusal();
  const InstanceId owner = OwnerOf(aRequest);
  const auto candidates =
    mFleet.AllCandidates(aRequest.mRoute.mPool, BootNow());
  const Candidate* chosen = OwnerOrSubstitute(candidates, owner);
  if (chosen != nullptr) {
    choice.mAgent = chosen->mId;
    choice.mAddress = chosen->mAddress;
  }
  mLog.Write(Event::RequestRouted,
             { { "request", aRequest.mId.Text() },
               { "team", aRequest.Team().Text() },
               { "class", aRequest.mClass.mName.Text() },
               { "candidates", candidates.size() },
               { "owner", owner.Text() },
               { "chosen", chosen != nullptr ? chosen->mId.Text() : "" },
               { "why", OwnerChoiceText(chosen, owner) } });
  return choice;
}

Choice
EntryCore::ChooseCandidate(const ChoiceRequest& aNeeds)
{
  const Timestamp now = BootNow();
  std::vector<Candidate> candidates = mFleet.Candidates(aNeeds.mPool, now);
  Choice choice = mChooser.Choose(aNeeds, candidates, now);
  if (choice.mChosen || !aNeeds.mAdapter) {
    return choice;
  }
  for (Candidate& candidate : candidates) {
    candidate.mAdapters.reset();
  }
  return mChooser.Choose(aNeeds, candidates, now);
}

AgentChoice
EntryCore::ChooseReplica(const AdmittedRequest& aRequest,
                         const ChoiceRequest& aNeeds)
{
  const Choice chosen = ChooseCandidate(aNeeds);
  mLog.Write(Event::RequestRouted,
             { { "request", aRequest.mId.Text() },
               { "team", aRequest.Team().Text() },
               { "class", aRequest.mClass.mName.Text() },
               { "adapter", aRequest.mAdapter.Text() },
               { "considered", ConsideredFields(chosen) },
               { "chosen", chosen.mChosen ? chosen.mChosen->Text() : "" },
               { "why", ChoiceReasonText(chosen.mReason) },
               { "panic", chosen.mPanic } });
  AgentChoice choice;
  choice.mRefusal = NoAgentRefusal();
  choice.mAgent = chosen.mChosen;
  choice.mAddress = chosen.mAddress;
  return choice;
}

AgentChoice
EntryCore::ChooseIssuer(const PoolName& aPool)
{
  const Lock lock(mMutex);
  ChoiceRequest needs;
  needs.mPool = aPool;
  const Timestamp now = BootNow();
  const Choice chosen =
    mChooser.Choose(needs, mFleet.Candidates(aPool, now), now);
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
EntryCore::RecordIncarnation(const InstanceId& aAgent, Incarnation aIncarnation)
{
  const Lock lock(mMutex);
  const auto [known, isNew] = mIncarnations.try_emplace(aAgent, aIncarnation);
  if (!isNew && known->second < aIncarnation) {
    known->second = aIncarnation;
    mChooser.ForgetServer(aAgent);
  }
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
  ChangeBreaker(aAgent, [&] { mChooser.RecordFinished(aAgent, aDuration); });
}

void
EntryCore::RecordFailed(const InstanceId& aAgent)
{
  const Lock lock(mMutex);
  ChangeBreaker(aAgent, [&] { mChooser.RecordFailed(aAgent, BootNow()); });
}

void
EntryCore::RecordSilence(const InstanceId& aAgent)
{
  const Lock lock(mMutex);
  mFleet.RecordSilence(aAgent, BootNow());
  ChangeBreaker(aAgent, [&] { mChooser.RecordFailed(aAgent, BootNow()); });
}

void
EntryCore::ChangeBreaker(const InstanceId& aAgent,
                         const std::function<void()>& aChange)
{
  const bool wasClosed = mChooser.Breaker(aAgent) == BreakerState::Closed;
  aChange();
  const bool isClosed = mChooser.Breaker(aAgent) == BreakerState::Closed;
  if (wasClosed != isClosed) {
    mLog.Write(isClosed ? Event::BreakerClosed : Event::BreakerOpened,
               { { "agent", aAgent.Text() } });
  }
}

void
EntryCore::RecordWithdrawn(const InstanceId& aAgent)
{
  const Lock lock(mMutex);
  mChooser.RecordWithdrawn(aAgent);
}

void
EntryCore::RecordTokenGap(const AdmittedRequest& aRequest, Microseconds aGap)
{
  mCounters.Prometheus().ObserveTokenGap(aRequest.mClass.mName, aGap);
}

void
EntryCore::RecordDroppedFrame()
{
  mCounters.Prometheus().CountDroppedFrame();
}

void
EntryCore::RecordOutcome(const AdmittedRequest& aRequest,
                         const RequestEnd& aEnd)
{
  CountedEnd counted;
  counted.mClass = aRequest.mClass.mName;
  counted.mTeam = aRequest.Team();
  counted.mOutcome = OutcomeOf(aEnd);
  counted.mAttained = MetTargets(aRequest, aEnd);
  if (!aEnd.mServed) {
    counted.mRefusal = aEnd.mRefusal;
  }
  if (aEnd.mFirstByteAt) {
    counted.mFirstByte = *aEnd.mFirstByteAt - aRequest.mArrived;
  }
  mCounters.RecordEnd(counted);
  LogEnd(aRequest, aEnd);
}

void
EntryCore::LogEnd(const AdmittedRequest& aRequest, const RequestEnd& aEnd)
{
  EventFields fields{ { "request", aRequest.mId.Text() },
                      { "team", aRequest.Team().Text() },
                      { "class", aRequest.mClass.mName.Text() },
                      { "us", (aEnd.mEndedAt - aRequest.mArrived).count() } };
  if (aEnd.mServed) {
    fields["status"] = aEnd.mStatus;
    mLog.Write(Event::RequestCompleted, fields);
    return;
  }
  fields["reason"] = ReasonCode(aEnd.mRefusal.mReason);
  fields["executed"] = ExecutedText(aEnd.mRefusal.mExecuted);
  fields["detail"] = aEnd.mRefusal.mDetail;
  const bool cancelled = aEnd.mRefusal.mReason == RefusalReason::Cancelled;
  const Event failed =
    aEnd.mAborted ? Event::StreamFailed : Event::RequestRefused;
  mLog.Write(cancelled ? Event::RequestCancelled : failed, fields);
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
  const Timestamp now = BootNow();
  if (now < mNextProbe) {
    return {};
  }
  mNextProbe = now + kProbeInterval;
  return mFleet.TakeDueProbes(now, 1);
}

} // namespace medlarkeel
