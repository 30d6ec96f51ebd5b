#include "agentsession.h"

#include "bootclock.h"
#include "preparedconnection.h"
#include "wireconversion.h"

#include <grpcpp/channel.h>

#include <utility>
#include <variant>

namespace medlarkeel {

namespace {

/** Longest silence on a stream; see StreamWatchdog. */
constexpr Milliseconds kKeepAliveInterval{ 400 };
/** How often a waiting stream looks whether its entry has gone. */
constexpr Milliseconds kCancelPoll{ 50 };
/** Bound of a run without a deadline. */
constexpr Milliseconds kLongestRun{ 3600 * 1000 };
constexpr std::chrono::milliseconds kVouchTime{ 1000 };
/** Time that work past its deadline may still take to end. */
constexpr Milliseconds kDeadlineGrace{ 1000 };

Reservation
ReservationFrom(const wire::Reserve& aReserve, Timestamp aNow)
{
  Reservation reservation;
  reservation.mTeam = TeamName(aReserve.team());
  reservation.mKey = KeyId(aReserve.key_id());
  reservation.mClass = ClassName(aReserve.class_name());
  reservation.mRepeatable = aReserve.repeatable();
  reservation.mPromptTokens = aReserve.prompt_tokens();
  reservation.mMaxTokens = aReserve.max_tokens();
  if (aReserve.deadline_us() > 0) {
    reservation.mDeadline = aNow + Microseconds(aReserve.deadline_us());
  }
  return reservation;
}

std::optional<wire::VouchReply>
AskToVouch(const std::shared_ptr<grpc::Channel>& aChannel,
           const ClaimCall& aCall)
{
  const auto stub = wire::Agent::NewStub(aChannel);
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kVouchTime);
  wire::VouchRequest request;
  request.set_team(aCall.mKey.mTeam.Text());
  request.set_idempotency_key(aCall.mKey.mKey.Text());
  request.set_body_hash(aCall.mBody.Text());
  wire::VouchReply reply;
  if (!stub->Vouch(&context, request, &reply).ok()) {
    return std::nullopt;
  }
  return reply;
}

} // namespace

AgentSession::AgentSession(const AgentEnvironment& aEnvironment,
                           grpc::ServerContext& aContext,
                           Stream& aStream)
  : mEnvironment(aEnvironment)
  , mCore(aEnvironment.mCore)
  , mContext(aContext)
  , mStream(aStream)
  , mMailbox(std::make_shared<RunMailbox>())
{
}

grpc::Status
AgentSession::Run()
{
  if (!ReadReserve()) {
    return grpc::Status(grpc::StatusCode::INVALID_ARGUMENT,
                        "the first frame must be a reservation");
  }
  const auto call = CallOf();
  if (call && !AskOwner(*call)) {
    return grpc::Status::OK;
  }
  if (call && !mCore.IsNewCall(*call, mMailbox)) {
    Relay();
    return grpc::Status::OK;
  }
  Reserve();
  const auto grant = AwaitGrant();
  if (!grant) {
    return grpc::Status::OK;
  }
  const auto commit = ReadCommit(*grant);
  if (!commit) {
    mCore.Abandon(mReservation);
    return grpc::Status::OK;
  }
  Execute(*grant, *commit);
  return grpc::Status::OK;
}

bool
AgentSession::ReadReserve()
{
  wire::EntryFrame frame;
  if (!mStream.Read(&frame) || !frame.has_reserve()) {
    return false;
  }
  mReserve = frame.reserve();
  return true;
}

std::optional<ClaimCall>
AgentSession::CallOf() const
{
  if (mReserve.repeatable() || mReserve.idempotency_key().empty()) {
    return std::nullopt;
  }
  ClaimCall call;
  call.mKey.mTeam = TeamName(mReserve.team());
  call.mKey.mKey = IdempotencyKey(mReserve.idempotency_key());
  call.mBody = BodyHash(mReserve.body_hash());
  return call;
}

bool
AgentSession::AskOwner(const ClaimCall& aCall)
{
  const auto target = mCore.OwnerToAsk(aCall);
  if (!target) {
    return true;
  }
  const Timestamp asked = BootNow();
  const auto reply =
    AskToVouch(mEnvironment.mChannels.ChannelTo(target->mAddress), aCall);
  if (!reply || reply->verdict() == wire::VouchReply::REFUSED) {
    return true;
  }
  if (reply->verdict() == wire::VouchReply::VOUCHED) {
    mCore.RecordVouch(aCall.mKey, asked);
    return true;
  }
  Send(RunHead{ static_cast<int>(reply->head().status()),
                reply->head().content_type(),
                true });
  SendChunk(reply->body());
  Send(RunDone{});
  return false;
}

void
AgentSession::Reserve()
{
  mReservation =
    mCore.Reserve(ReservationFrom(mReserve, BootNow()),
                  RequestOrigin{ RequestId(mReserve.request_id()),
                                 mReserve.configuration().version(),
                                 AdapterName(mReserve.adapter()) },
                  mMailbox);
}

std::optional<RunGranted>
AgentSession::AwaitGrant()
{
  while (const auto message = NextMessage()) {
    const auto* granted = std::get_if<RunGranted>(&*message);
    if (granted != nullptr) {
      mConnection =
        std::make_shared<PreparedConnection>(mEnvironment.mBackend.mEndpoint);
    }
    if (!Send(*message)) {
      break;
    }
    if (granted != nullptr) {
      return *granted;
    }
    if (std::holds_alternative<RunRefused>(*message)) {
      return std::nullopt;
    }
  }
  mCore.Abandon(mReservation);
  return std::nullopt;
}

std::optional<wire::Commit>
AgentSession::ReadCommit(const RunGranted& aGrant)
{
  wire::EntryFrame frame;
  if (!mStream.Read(&frame) || !frame.has_commit()) {
    return std::nullopt;
  }
  if (frame.commit().grant_id() != aGrant.mGrant.mValue) {
    return std::nullopt;
  }
  return frame.commit();
}

void
AgentSession::Execute(const RunGranted& aGrant, const wire::Commit& aCommit)
{
  const Incarnation incarnation{ aCommit.incarnation() };
  const auto call = CallOf();
  const auto committed =
    mCore.Commit(mReservation, aGrant.mGrant, incarnation, call);
  if (!committed) {
    SendRefusal(committed.error());
    return;
  }
  const auto run = BackendRun::Start(
    RunEnvironment{
      mCore, mEnvironment.mRuns, mEnvironment.mCounters, mEnvironment.mLog },
    "http://" + EndpointText(mEnvironment.mBackend.mEndpoint),
    WorkOf(aGrant, aCommit),
    mMailbox,
    RecorderFor(call));
  if (!Relay()) {
    run->Abort();
  }
}

BackendRun::OutcomeRecorder
AgentSession::RecorderFor(const std::optional<ClaimCall>& aCall) const
{
  if (!aCall) {
    return [](const RunOutcome&) {};
  }
  const ClaimKey key = aCall->mKey;
  AgentCore& core = mCore;
  return [&core, key](const RunOutcome& aOutcome) {
    switch (aOutcome.mEnd) {
      case CallEnd::Complete:
        core.RecordAnswer(key,
                          StoredAnswer{ aOutcome.mStatus,
                                        aOutcome.mContentType,
                                        aOutcome.mBody });
        break;
      case CallEnd::NotRun:
        core.RecordNotRun(key);
        break;
      default:
        core.RecordUnknown(key);
        break;
    }
  };
}

CommittedWork
AgentSession::WorkOf(const RunGranted& aGrant,
                     const wire::Commit& aCommit) const
{
  CommittedWork work;
  work.mReservation = mReservation;
  work.mGrant = aGrant.mGrant;
  work.mKind = mEnvironment.mBackend.mKind;
  work.mClass = ClassName(mReserve.class_name());
  work.mRepeatable = mReserve.repeatable();
  BackendRequest& request = work.mRequest;
  request.mMethod = aCommit.method();
  request.mPath = aCommit.path();
  request.mContentType = aCommit.content_type();
  request.mBody = aCommit.body();
  request.mRequest = RequestId(mReserve.request_id());
  request.mKey = IdempotencyKey(mReserve.idempotency_key());
  request.mConnection = mConnection;
  request.mTimeout = kLongestRun;
  request.mLimits.mIsStreamExpected = work.mKind == PoolKind::Model;
  if (!work.mRepeatable) {
    request.mLimits.mStreamBytes = request.mLimits.mBodyBytes;
  }
  if (mReserve.repeatable() && mReserve.deadline_us() > 0) {
    const Microseconds left(mReserve.deadline_us());
    request.mTimeout = std::chrono::ceil<Milliseconds>(left) + kDeadlineGrace;
  }
  return work;
}

bool
AgentSession::Relay()
{
  while (const auto message = NextMessage()) {
    if (!Send(*message) || std::holds_alternative<RunRefused>(*message)) {
      return false;
    }
    if (std::holds_alternative<RunDone>(*message)) {
      return true;
    }
  }
  return false;
}

std::optional<RunMessage>
AgentSession::NextMessage()
{
  Milliseconds silence{ 0 };
  while (!mContext.IsCancelled()) {
    if (auto message = mMailbox->Wait(kCancelPoll)) {
      return message;
    }
    silence += kCancelPoll;
    if (silence >= kKeepAliveInterval) {
      wire::AgentFrame frame;
      frame.mutable_keep_alive();
      if (!Write(frame)) {
        return std::nullopt;
      }
      silence = Milliseconds(0);
    }
  }
  return std::nullopt;
}

bool
AgentSession::Send(const RunMessage& aMessage)
{
  wire::AgentFrame frame;
  if (const auto* granted = std::get_if<RunGranted>(&aMessage)) {
    const auto valid = granted->mExpires - BootNow();
    frame.mutable_granted()->set_grant_id(granted->mGrant.mValue);
    frame.mutable_granted()->set_incarnation(mCore.OwnIncarnation().mValue);
    frame.mutable_granted()->set_valid_us(
      static_cast<std::uint64_t>(std::max<Microseconds::rep>(
        0, std::chrono::duration_cast<Microseconds>(valid).count())));
  } else if (const auto* refused = std::get_if<RunRefused>(&aMessage)) {
    return SendRefusal(refused->mRefusal);
  } else if (const auto* head = std::get_if<RunHead>(&aMessage)) {
    frame.mutable_head()->set_status(static_cast<std::uint32_t>(head->mStatus));
    frame.mutable_head()->set_content_type(head->mContentType);
    frame.mutable_head()->set_replayed(head->mReplayed);
  } else if (const auto* data = std::get_if<RunData>(&aMessage)) {
    return SendChunk(data->mBytes);
  } else {
    frame.mutable_done()->set_total_bytes(mOffset);
  }
  return Write(frame);
}

bool
AgentSession::SendRefusal(const Refusal& aRefusal)
{
  wire::AgentFrame frame;
  FillRefused(aRefusal, *frame.mutable_refused());
  return Write(frame);
}

bool
AgentSession::SendChunk(const std::string& aBytes)
{
  wire::AgentFrame frame;
  wire::Chunk& chunk = *frame.mutable_chunk();
  chunk.set_request_id(mReserve.request_id());
  chunk.set_attempt(mReserve.attempt());
  chunk.set_offset(mOffset);
  chunk.set_data(aBytes);
  mOffset += aBytes.size();
  return Write(frame);
}

bool
AgentSession::Write(wire::AgentFrame& aFrame)
{
  if (!aFrame.has_chunk()) {
    LoadSnapshot load = mCore.Load();
    if (!aFrame.has_granted() && !aFrame.has_refused()) {
      load.mAdapters.reset();
    }
    FillLoad(load, *aFrame.mutable_load());
  }
  return mStream.Write(aFrame);
}

} // namespace medlarkeel
