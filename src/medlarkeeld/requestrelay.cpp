#include "requestrelay.h"

#include "agentchannels.h"
#include "bootclock.h"
#include "wireconversion.h"

#include <mutex>
#include <utility>
#include <variant>

namespace medlarkeel {

namespace {

constexpr std::uint64_t kMostAttempts = 4;

AttemptRules
RulesFor(const AdmittedRequest& aRequest)
{
  AttemptRules rules;
  rules.mRequest = aRequest.mId;
  rules.mRepeatable = aRequest.mRoute.mRepeatable;
  rules.mOwnerOnly =
    !aRequest.mRoute.mRepeatable && !aRequest.mIdempotencyKey.IsEmpty();
  rules.mDeadline = aRequest.mDeadline;
  rules.mMaxAttempts = kMostAttempts;
  return rules;
}

ChoiceRequest
ChoiceRequestFor(const AdmittedRequest& aRequest)
{
  ChoiceRequest choice;
  choice.mPool = aRequest.mRoute.mPool;
  choice.mPromptBlocks = aRequest.mPromptBlocks;
  if (!aRequest.mAdapter.IsEmpty()) {
    choice.mAdapter = aRequest.mAdapter;
  }
  return choice;
}

} // namespace

RequestRelay::RequestRelay(RelayEnvironment aEnvironment,
                           AdmittedRequest aRequest)
  : mEnvironment(aEnvironment)
  , mRequest(std::move(aRequest))
  , mTracker(RulesFor(mRequest),
             aEnvironment.mCore.ReservationBudget(),
             aEnvironment.mCore.RestartBudget())
  , mChoiceRequest(ChoiceRequestFor(mRequest))
{
  mActions.emplace_back(medlarkeel::ChooseAgent{});
}

RequestRelay::~RequestRelay()
{
  if (!mEnded) {
    Track([&] { return mTracker.OnCallerGone(); });
    while (!mEnded) {
      Step();
    }
  }
}

RelayStep
RequestRelay::Next()
{
  while (!mEnded) {
    if (auto step = Step()) {
      return *step;
    }
  }
  return *mEnded;
}

std::optional<RelayStep>
RequestRelay::Step()
{
  if (!mActions.empty()) {
    return CarryOutNext();
  }
  if (mTracker.IsOver()) {
    Refusal refusal;
    refusal.mReason = RefusalReason::Cancelled;
    refusal.mExecuted = mTracker.ExecutedSoFar();
    return End(RelayStep::Kind::Aborted, refusal);
  }
  return ReadFrame();
}

std::optional<RelayStep>
RequestRelay::CarryOutNext()
{
  const AttemptAction action = std::move(mActions.front());
  mActions.pop_front();
  return CarryOut(action);
}

std::optional<RelayStep>
RequestRelay::CarryOut(const AttemptAction& aAction)
{
  if (std::holds_alternative<medlarkeel::ChooseAgent>(aAction)) {
    ChooseAgent();
  } else if (std::holds_alternative<medlarkeel::ConfirmGrant>(aAction)) {
    ConfirmGrant();
  } else if (const auto* commit =
               std::get_if<medlarkeel::SendCommit>(&aAction)) {
    SendCommit(*commit);
  } else if (const auto* cancel =
               std::get_if<medlarkeel::CancelAttempt>(&aAction)) {
    CancelAttempt(cancel->mAttempt);
  } else if (std::holds_alternative<RelayHead>(aAction)) {
    return RelayStep{ RelayStep::Kind::Head, {}, {} };
  } else if (std::holds_alternative<FinishAnswer>(aAction)) {
    return End(RelayStep::Kind::Finished, {});
  } else if (const auto* refuse = std::get_if<RefuseRequest>(&aAction)) {
    return End(RelayStep::Kind::Refused, refuse->mRefusal);
  } else if (const auto* abort = std::get_if<AbortAnswer>(&aAction)) {
    return End(RelayStep::Kind::Aborted, abort->mRefusal);
  }
  return std::nullopt;
}

std::optional<RelayStep>
RequestRelay::End(RelayStep::Kind aKind, const Refusal& aRefusal)
{
  mEnded = RelayStep{ aKind, {}, aRefusal };
  if (mStream) {
    mStream.reset();
    mEnvironment.mCore.RecordWithdrawn(mAgent);
  }
  mEnvironment.mCore.RecordOutcome(mRequest, OutcomeOf(aKind, aRefusal));
  return mEnded;
}

void
RequestRelay::Track(const std::function<AttemptActions()>& aEvent)
{
  const std::lock_guard<std::mutex> lock(mEnvironment.mCore.BudgetMutex());
  for (AttemptAction& action : aEvent()) {
    mActions.push_back(std::move(action));
  }
}

std::optional<std::uint64_t>
RequestRelay::BeginAttempt(const InstanceId& aAgent)
{
  const std::lock_guard<std::mutex> lock(mEnvironment.mCore.BudgetMutex());
  return mTracker.BeginAttempt(aAgent);
}

void
RequestRelay::ChooseAgent()
{
  mChoiceRequest.mExclusions = mTracker.Exclusions();
  const AgentChoice choice =
    mEnvironment.mCore.ChooseAgent(mRequest, mChoiceRequest);
  if (!choice.mAgent) {
    Track([&] { return mTracker.OnNoAgent(choice.mRefusal); });
    return;
  }
  const auto attempt = BeginAttempt(*choice.mAgent);
  if (!attempt) {
    Track([&] { return mTracker.OnNoAgent(choice.mRefusal); });
    return;
  }
  mAttempt = *attempt;
  mAgent = *choice.mAgent;
  mReservedAt = BootNow();
  mEnvironment.mCore.RecordSent(mAgent);
  mStream = std::make_unique<AgentStream>(
    mEnvironment.mChannels.ChannelTo(choice.mAddress),
    MakeReserve(mAttempt),
    mEnvironment.mWatchdog);
}

void
RequestRelay::ConfirmGrant()
{
  if (const auto reason = mEnvironment.mCore.ReasonToStop(mRequest)) {
    Track([&] { return mTracker.Terminate(*reason); });
    return;
  }
  Track([&] { return mTracker.Commit(BootNow()); });
}

void
RequestRelay::SendCommit(const medlarkeel::SendCommit& aAction)
{
  wire::Commit commit;
  commit.set_grant_id(aAction.mGrant.mId);
  commit.set_incarnation(aAction.mGrant.mIncarnation.mValue);
  commit.set_method(mRequest.mMethod);
  commit.set_path(mRequest.mBackendPath);
  commit.set_content_type(mRequest.mContentType);
  commit.set_body(mRequest.mBody);
  mCommittedAt = BootNow();
  if (!mStream || !mStream->Commit(commit)) {
    HandleLost();
  }
}

void
RequestRelay::CancelAttempt(std::uint64_t aAttempt)
{
  if (mStream && aAttempt == mAttempt) {
    mStream.reset();
    mEnvironment.mCore.RecordWithdrawn(mAgent);
  }
}

wire::Reserve
RequestRelay::MakeReserve(std::uint64_t aAttempt) const
{
  wire::Reserve reserve;
  reserve.set_request_id(mRequest.mId.Text());
  reserve.set_attempt(aAttempt);
  reserve.set_team(mRequest.Team().Text());
  if (mRequest.mCaller) {
    reserve.set_key_id(mRequest.mCaller->mKeyId.Text());
  }
  reserve.set_class_name(mRequest.mClass.mName.Text());
  reserve.set_pool(mRequest.mRoute.mPool.Text());
  reserve.set_adapter(mRequest.mAdapter.Text());
  reserve.set_repeatable(mRequest.mRoute.mRepeatable);
  reserve.set_prompt_tokens(mRequest.mPromptTokens);
  reserve.set_max_tokens(mRequest.mMaxTokens);
  reserve.set_idempotency_key(mRequest.mIdempotencyKey.Text());
  reserve.set_body_hash(mRequest.mBodyHash);
  reserve.mutable_configuration()->set_version(mRequest.mDocumentVersion);
  if (mRequest.mDeadline) {
    const auto left = *mRequest.mDeadline - BootNow();
    reserve.set_deadline_us(
      static_cast<std::uint64_t>(std::max<Microseconds::rep>(1, left.count())));
  }
  return reserve;
}

std::optional<RelayStep>
RequestRelay::ReadFrame()
{
  CheckCallerAndDeadline();
  if (!mActions.empty() || mTracker.IsOver()) {
    return std::nullopt;
  }
  const auto frame = mStream ? mStream->Read() : std::nullopt;
  if (!frame) {
    HandleLost();
    return std::nullopt;
  }
  if (frame->has_load()) {
    mEnvironment.mCore.RecordContact(mAgent, LoadFrom(frame->load()));
  }
  return HandleFrame(*frame);
}

std::optional<RelayStep>
RequestRelay::HandleFrame(const wire::AgentFrame& aFrame)
{
  switch (aFrame.kind_case()) {
    case wire::AgentFrame::kGranted:
      HandleGranted(aFrame.granted());
      return std::nullopt;
    case wire::AgentFrame::kRefused:
      HandleRefused(aFrame.refused());
      return std::nullopt;
    case wire::AgentFrame::kHead:
      HandleHead(aFrame.head());
      return std::nullopt;
    case wire::AgentFrame::kChunk:
      return HandleChunk(aFrame.chunk());
    case wire::AgentFrame::kDone:
      HandleDone(aFrame.done());
      return std::nullopt;
    default:
      return RelayStep{ RelayStep::Kind::KeepAlive, {}, {} };
  }
}

void
RequestRelay::HandleGranted(const wire::Granted& aGranted)
{
  Grant grant;
  grant.mId = aGranted.grant_id();
  grant.mIncarnation = Incarnation{ aGranted.incarnation() };
  grant.mValidFor = Microseconds(aGranted.valid_us());
  mEnvironment.mCore.RecordIncarnation(mAgent, grant.mIncarnation);
  Track([&] { return mTracker.OnGranted(mAttempt, grant, BootNow()); });
}

void
RequestRelay::HandleRefused(const wire::Refused& aRefused)
{
  const Refusal refusal = RefusalFrom(aRefused);
  mStream.reset();
  if (refusal.mReason == RefusalReason::BackendFailed) {
    mEnvironment.mCore.RecordFailed(mAgent);
  } else {
    mEnvironment.mCore.RecordWithdrawn(mAgent);
  }
  Track([&] { return mTracker.OnRefused(mAttempt, refusal, BootNow()); });
}

void
RequestRelay::HandleHead(const wire::Head& aHead)
{
  mStatus = static_cast<int>(aHead.status());
  mContentType = aHead.content_type();
  Track([&] {
    return aHead.replayed() ? mTracker.OnReplay(mAttempt, mStatus)
                            : mTracker.OnHead(mAttempt, mStatus);
  });
}

std::optional<RelayStep>
RequestRelay::HandleChunk(const wire::Chunk& aChunk)
{
  const ChunkVerdict verdict =
    mTracker.AcceptChunk(RequestId(aChunk.request_id()),
                         aChunk.attempt(),
                         aChunk.offset(),
                         aChunk.data().size());
  if (verdict == ChunkVerdict::Gap) {
    HandleLost();
    return std::nullopt;
  }
  if (verdict != ChunkVerdict::Deliver) {
    mEnvironment.mCore.RecordDroppedFrame();
    return std::nullopt;
  }
  RecordPiece(BootNow());
  mEvents += mEventCounter.Add(aChunk.data());
  return RelayStep{ RelayStep::Kind::Data, aChunk.data(), {} };
}

void
RequestRelay::RecordPiece(Timestamp aNow)
{
  if (mFirstByteAt) {
    mEnvironment.mCore.RecordTokenGap(mRequest, aNow - mLastPieceAt);
  } else {
    mFirstByteAt = aNow;
    mEnvironment.mCore.RecordFirstToken(
      mChoiceRequest, mAgent, aNow - mReservedAt, aNow - mCommittedAt);
  }
  mLastPieceAt = aNow;
}

void
RequestRelay::HandleDone(const wire::Done& aDone)
{
  mStream.reset();
  mEnvironment.mCore.RecordFinished(mAgent, BootNow() - mCommittedAt);
  Track(
    [&] { return mTracker.OnDone(mAttempt, aDone.total_bytes(), BootNow()); });
}

void
RequestRelay::HandleLost()
{
  mStream.reset();
  mEnvironment.mCore.RecordSilence(mAgent);
  Track([&] { return mTracker.OnAgentLost(mAttempt, BootNow()); });
}

void
RequestRelay::CheckCallerAndDeadline()
{
  if (mRequest.mCallerLeft && mRequest.mCallerLeft()) {
    Track([&] { return mTracker.OnCallerGone(); });
  } else if (mRequest.mDeadline && BootNow() > *mRequest.mDeadline) {
    Track([&] { return mTracker.OnDeadline(); });
  } else if (const auto reason = mEnvironment.mCore.ReasonToCut(mRequest)) {
    Track([&] { return mTracker.Terminate(*reason); });
  }
}

RequestEnd
RequestRelay::OutcomeOf(RelayStep::Kind aKind, const Refusal& aRefusal) const
{
  RequestEnd outcome;
  outcome.mServed = aKind == RelayStep::Kind::Finished;
  outcome.mAborted = aKind == RelayStep::Kind::Aborted;
  outcome.mRefusal = aRefusal;
  outcome.mEndedAt = BootNow();
  outcome.mFirstByteAt = mFirstByteAt;
  outcome.mEvents = mEvents;
  outcome.mStatus = mStatus;
  return outcome;
}

} // namespace medlarkeel
