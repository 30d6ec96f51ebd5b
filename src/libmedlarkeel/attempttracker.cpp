#include "attempttracker.h"

#include <algorithm>
#include <array>
#include <utility>

namespace medlarkeel {

namespace {

constexpr std::array<const char*, 7> kStateTexts{ "choosing",  "reserving",
                                                  "granted",   "committed",
                                                  "streaming", "done",
                                                  "refused" };

/** @return Whether another agent may do what one refused for this reason. */
bool
IsWorthAnotherAgent(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::Overloaded:
    case RefusalReason::DeadlineUnreachable:
    case RefusalReason::Shed:
    case RefusalReason::NoBackendServer:
    case RefusalReason::ZoneOut:
    case RefusalReason::Leaving:
    case RefusalReason::GrantExpired:
    case RefusalReason::BackendFailed:
    case RefusalReason::ConfigurationUnknown:
      return true;
    default:
      return false;
  }
}

/** @return Whether the agent gives its queue away because it takes no new
 *          work, rather than because it can't keep up. */
bool
IsHandBack(RefusalReason aReason)
{
  return aReason == RefusalReason::ZoneOut || aReason == RefusalReason::Leaving;
}

Refusal
MakeRefusal(RefusalReason aReason, Executed aExecuted)
{
  Refusal refusal;
  refusal.mReason = aReason;
  refusal.mExecuted = aExecuted;
  return refusal;
}

} // namespace

const char*
RequestStateText(RequestState aState)
{
  return kStateTexts[static_cast<std::size_t>(aState)];
}

AttemptTracker::AttemptTracker(AttemptRules aRules,
                               RetryBudget& aReservationBudget,
                               RetryBudget& aRestartBudget,
                               RetryBudget* aParallelBudget)
  : mRules(std::move(aRules))
  , mReservationBudget(aReservationBudget)
  , mRestartBudget(aRestartBudget)
  , mParallelBudget(aParallelBudget)
{
}

bool
AttemptTracker::IsOver() const
{
  return mState == RequestState::Done || mState == RequestState::Refused;
}

AttemptTracker::Attempt*
AttemptTracker::Find(std::uint64_t aAttempt)
{
  const bool isKnown = aAttempt >= 1 && aAttempt <= mAttempts.size();
  return isKnown ? &mAttempts[aAttempt - 1] : nullptr;
}

bool
AttemptTracker::IsCurrent(std::uint64_t aAttempt) const
{
  return mCurrent == aAttempt &&
         mAttempts[aAttempt - 1].mPhase == Phase::Committed;
}

std::size_t
AttemptTracker::OpenReservations() const
{
  return static_cast<std::size_t>(std::count_if(
    mAttempts.begin(), mAttempts.end(), [](const Attempt& aAttempt) {
      return aAttempt.mPhase == Phase::Reserving;
    }));
}

bool
AttemptTracker::IsPastDeadline(Timestamp aNow) const
{
  return mRules.mDeadline && aNow >= *mRules.mDeadline;
}

bool
AttemptTracker::MayReserveBeside() const
{
  return mParallelBudget != nullptr && mState == RequestState::Reserving &&
         !mRules.mOwnerOnly && mAttempts.size() < mRules.mMaxAttempts &&
         OpenReservations() < mRules.mMaxOpenReservations &&
         mParallelBudget->Balance() >= 1.0;
}

std::optional<std::uint64_t>
AttemptTracker::BeginAttempt(const InstanceId& aAgent)
{
  if (mState == RequestState::Reserving) {
    if (!MayReserveBeside() || !mParallelBudget->TryTakeRetry()) {
      return std::nullopt;
    }
  } else if (mState != RequestState::Choosing ||
             mAttempts.size() >= mRules.mMaxAttempts) {
    return std::nullopt;
  }
  if (mAttempts.empty()) {
    RecordFirstAttempt();
  }
  Attempt attempt;
  attempt.mAgent = aAgent;
  mAttempts.push_back(std::move(attempt));
  mState = RequestState::Reserving;
  return mAttempts.size();
}

void
AttemptTracker::RecordFirstAttempt()
{
  mReservationBudget.RecordFirstAttempt();
  mRestartBudget.RecordFirstAttempt();
  if (mParallelBudget != nullptr) {
    mParallelBudget->RecordFirstAttempt();
  }
}

AttemptActions
AttemptTracker::OnNoAgent(const Refusal& aRefusal)
{
  if (IsOver() || mState != RequestState::Choosing) {
    return {};
  }
  return End(aRefusal, true);
}

AttemptActions
AttemptTracker::OnGranted(std::uint64_t aAttempt,
                          const Grant& aGrant,
                          Timestamp aNow)
{
  Attempt* attempt = Find(aAttempt);
  if (attempt == nullptr || attempt->mPhase == Phase::Committed) {
    return {};
  }
  mIsNewToOwner = true;
  const bool isWanted =
    attempt->mPhase == Phase::Reserving && mState == RequestState::Reserving;
  if (!isWanted) {
    const bool isHeld = attempt->mPhase == Phase::Granted;
    return isHeld ? AttemptActions{}
                  : AttemptActions{ CancelAttempt{ aAttempt } };
  }
  if (IsPastDeadline(aNow)) {
    return OnDeadline();
  }
  attempt->mPhase = Phase::Granted;
  attempt->mGrant = aGrant;
  attempt->mGrantedAt = aNow;
  mGranted = aAttempt;
  mState = RequestState::Granted;
  AttemptActions actions;
  for (std::size_t index = 0; index < mAttempts.size(); ++index) {
    if (mAttempts[index].mPhase == Phase::Reserving) {
      mAttempts[index].mPhase = Phase::Closed;
      actions.emplace_back(CancelAttempt{ index + 1 });
    }
  }
  actions.emplace_back(ConfirmGrant{ aAttempt });
  return actions;
}

AttemptActions
AttemptTracker::Commit(Timestamp aNow)
{
  if (mState != RequestState::Granted || !mGranted) {
    return {};
  }
  if (IsPastDeadline(aNow)) {
    return OnDeadline();
  }
  const std::uint64_t number = *mGranted;
  Attempt& attempt = mAttempts[number - 1];
  mGranted.reset();
  if (aNow - attempt.mGrantedAt >= attempt.mGrant.mValidFor) {
    attempt.mPhase = Phase::Closed;
    AttemptActions actions{ CancelAttempt{ number } };
    const AttemptActions further = AfterUncommittedEnd(
      MakeRefusal(RefusalReason::GrantExpired, Executed::No), aNow);
    actions.insert(actions.end(), further.begin(), further.end());
    return actions;
  }
  attempt.mPhase = Phase::Committed;
  attempt.mFate = CommitFate::Unknown;
  mCurrent = number;
  mState = RequestState::Committed;
  return { SendCommit{ number, attempt.mGrant } };
}

AttemptActions
AttemptTracker::AfterUncommittedEnd(const Refusal& aRefusal, Timestamp aNow)
{
  if (aRefusal.mExecuted != Executed::No) {
    return End(aRefusal, true);
  }
  if (OpenReservations() > 0) {
    return {};
  }
  const bool mayTry = IsWorthAnotherAgent(aRefusal.mReason) &&
                      !mRules.mOwnerOnly && !IsPastDeadline(aNow) &&
                      mAttempts.size() < mRules.mMaxAttempts;
  const bool isFree = IsHandBack(aRefusal.mReason);
  if (mayTry && (isFree || mReservationBudget.TryTakeRetry())) {
    mState = RequestState::Choosing;
    return { ChooseAgent{} };
  }
  return End(aRefusal, true);
}

AttemptActions
AttemptTracker::AfterCommittedEnd(const Refusal& aRefusal, Timestamp aNow)
{
  const bool mayRestart =
    mRules.mRepeatable && !mRules.mOwnerOnly && mDelivered == 0 &&
    IsWorthAnotherAgent(aRefusal.mReason) && !IsPastDeadline(aNow) &&
    mAttempts.size() < mRules.mMaxAttempts;
  if (mayRestart && mRestartBudget.TryTakeRetry()) {
    mCurrent.reset();
    mState = RequestState::Choosing;
    return { ChooseAgent{} };
  }
  return End(aRefusal, true);
}

AttemptActions
AttemptTracker::OnRefused(std::uint64_t aAttempt,
                          const Refusal& aRefusal,
                          Timestamp aNow)
{
  Attempt* attempt = Find(aAttempt);
  if (attempt == nullptr || attempt->mPhase == Phase::Closed || IsOver()) {
    return {};
  }
  const Phase phase = attempt->mPhase;
  attempt->mPhase = Phase::Closed;
  mIsNewToOwner = mIsNewToOwner || aRefusal.mExecuted == Executed::No;
  if (phase == Phase::Granted) {
    mGranted.reset();
  }
  if (phase != Phase::Committed) {
    return AfterUncommittedEnd(aRefusal, aNow);
  }
  if (aRefusal.mExecuted == Executed::No && mState == RequestState::Committed) {
    attempt->mFate = CommitFate::NotRun;
  } else if (aRefusal.mExecuted == Executed::Yes) {
    attempt->mFate = CommitFate::Run;
  }
  return AfterCommittedEnd(aRefusal, aNow);
}

AttemptActions
AttemptTracker::OnHead(std::uint64_t aAttempt, int aStatus)
{
  if (!IsCurrent(aAttempt) || mState != RequestState::Committed) {
    return {};
  }
  mState = RequestState::Streaming;
  if (!mRelayedStatus) {
    mRelayedStatus = aStatus;
    return { RelayHead{ aAttempt } };
  }
  if (*mRelayedStatus == aStatus) {
    return {};
  }
  return End(MakeRefusal(RefusalReason::BackendFailed, Executed::Unknown),
             true);
}

AttemptActions
AttemptTracker::OnReplay(std::uint64_t aAttempt, int aStatus)
{
  Attempt* attempt = Find(aAttempt);
  if (attempt == nullptr || attempt->mPhase != Phase::Reserving || IsOver() ||
      mCurrent) {
    return {};
  }
  attempt->mPhase = Phase::Committed;
  attempt->mFate = CommitFate::Run;
  mCurrent = aAttempt;
  mState = RequestState::Committed;
  return OnHead(aAttempt, aStatus);
}

ChunkVerdict
AttemptTracker::AcceptChunk(const RequestId& aRequest,
                            std::uint64_t aAttempt,
                            std::uint64_t aOffset,
                            std::uint64_t aSize)
{
  if (aRequest != mRules.mRequest || Find(aAttempt) == nullptr) {
    return ChunkVerdict::DropForeign;
  }
  if (IsOver() || !IsCurrent(aAttempt)) {
    return ChunkVerdict::DropLate;
  }
  if (mState != RequestState::Streaming || aOffset > mDelivered) {
    return ChunkVerdict::Gap;
  }
  if (aOffset < mDelivered) {
    const bool isWhollyOld = aOffset + aSize <= mDelivered;
    return isWhollyOld ? ChunkVerdict::DropLate : ChunkVerdict::Gap;
  }
  mDelivered += aSize;
  return ChunkVerdict::Deliver;
}

AttemptActions
AttemptTracker::OnDone(std::uint64_t aAttempt,
                       std::uint64_t aTotalBytes,
                       Timestamp aNow)
{
  if (IsOver() || !IsCurrent(aAttempt)) {
    return {};
  }
  if (mState != RequestState::Streaming || aTotalBytes != mDelivered) {
    return OnAgentLost(aAttempt, aNow);
  }
  Attempt& attempt = mAttempts[aAttempt - 1];
  attempt.mPhase = Phase::Closed;
  attempt.mFate = CommitFate::Run;
  mState = RequestState::Done;
  return { FinishAnswer{} };
}

AttemptActions
AttemptTracker::OnAgentLost(std::uint64_t aAttempt, Timestamp aNow)
{
  Attempt* attempt = Find(aAttempt);
  if (attempt == nullptr || attempt->mPhase == Phase::Closed || IsOver()) {
    return {};
  }
  const Phase phase = attempt->mPhase;
  attempt->mPhase = Phase::Closed;
  if (phase == Phase::Granted) {
    mGranted.reset();
  }
  AttemptActions actions;
  AttemptActions further;
  if (phase != Phase::Committed) {
    actions.emplace_back(CancelAttempt{ aAttempt });
    further = AfterUncommittedEnd(
      MakeRefusal(RefusalReason::NoBackendServer, Executed::No), aNow);
  } else {
    if (mRules.mRepeatable) {
      actions.emplace_back(CancelAttempt{ aAttempt });
    }
    const RefusalReason reason = mRules.mRepeatable
                                   ? RefusalReason::BackendFailed
                                   : RefusalReason::OutcomeUnknown;
    further = AfterCommittedEnd(MakeRefusal(reason, Executed::Unknown), aNow);
  }
  actions.insert(actions.end(), further.begin(), further.end());
  return actions;
}

AttemptActions
AttemptTracker::OnDeadline()
{
  if (IsOver()) {
    return {};
  }
  const bool mayHaveRun = ExecutedSoFar() != Executed::No;
  const RefusalReason reason = mayHaveRun && !mRules.mRepeatable
                                 ? RefusalReason::OutcomeUnknown
                                 : RefusalReason::DeadlineUnreachable;
  return End(MakeRefusal(reason, Executed::No), mRules.mRepeatable);
}

AttemptActions
AttemptTracker::OnCallerGone()
{
  if (IsOver()) {
    return {};
  }
  AttemptActions actions;
  CancelAll(mRules.mRepeatable, actions);
  mState = RequestState::Refused;
  return actions;
}

AttemptActions
AttemptTracker::Terminate(RefusalReason aReason)
{
  if (IsOver()) {
    return {};
  }
  return End(MakeRefusal(aReason, Executed::No), mRules.mRepeatable);
}

void
AttemptTracker::CancelAll(bool aCancelCommitted, AttemptActions& aActions)
{
  for (std::size_t index = 0; index < mAttempts.size(); ++index) {
    Attempt& attempt = mAttempts[index];
    const bool isCommitted = attempt.mPhase == Phase::Committed;
    const bool isOpen = attempt.mPhase != Phase::Closed;
    attempt.mPhase = Phase::Closed;
    if (isOpen && (!isCommitted || aCancelCommitted)) {
      aActions.emplace_back(CancelAttempt{ index + 1 });
    }
  }
  mGranted.reset();
}

AttemptActions
AttemptTracker::End(Refusal aRefusal, bool aCancelCommitted)
{
  AttemptActions actions;
  CancelAll(aCancelCommitted, actions);
  mState = RequestState::Refused;
  if (aRefusal.mExecuted == Executed::No) {
    aRefusal.mExecuted = ExecutedSoFar();
  }
  const bool isUndecided = mRules.mOwnerOnly && !mIsNewToOwner;
  if (aRefusal.mExecuted == Executed::No && isUndecided) {
    aRefusal.mExecuted = Executed::Unknown;
  }
  if (mRelayedStatus) {
    actions.emplace_back(AbortAnswer{ std::move(aRefusal) });
  } else {
    actions.emplace_back(RefuseRequest{ std::move(aRefusal) });
  }
  return actions;
}

Executed
AttemptTracker::ExecutedSoFar() const
{
  Executed executed = Executed::No;
  for (const Attempt& attempt : mAttempts) {
    if (attempt.mFate == CommitFate::Run) {
      return Executed::Yes;
    }
    if (attempt.mFate == CommitFate::Unknown) {
      executed = Executed::Unknown;
    }
  }
  return executed;
}

std::vector<InstanceId>
AttemptTracker::Exclusions() const
{
  std::vector<InstanceId> agents;
  for (const Attempt& attempt : mAttempts) {
    agents.push_back(attempt.mAgent);
  }
  return agents;
}

std::optional<InstanceId>
AttemptTracker::AgentOf(std::uint64_t aAttempt) const
{
  const bool isKnown = aAttempt >= 1 && aAttempt <= mAttempts.size();
  return isKnown ? std::optional(mAttempts[aAttempt - 1].mAgent) : std::nullopt;
}

std::uint64_t
AttemptTracker::CommitCount() const
{
  return static_cast<std::uint64_t>(std::count_if(
    mAttempts.begin(), mAttempts.end(), [](const Attempt& aAttempt) {
      return aAttempt.mFate != CommitFate::NotSent;
    }));
}

} // namespace medlarkeel
