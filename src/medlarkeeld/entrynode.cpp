#include "entrynode.h"

#include "bootclock.h"
#include "refusalresponse.h"
#include "relaysource.h"
#include "requestadmission.h"
#include "ticketrequest.h"

#include <grpcpp/channel.h>

#include <thread>
#include <utility>

namespace medlarkeel {

namespace {

constexpr Milliseconds kDrainPoll{ 20 };
/** Time in which the balancer notices that the entry is not ready. */
constexpr Milliseconds kBalancerNotice{ 500 };
constexpr Milliseconds kRetryWithoutDocument{ 1000 };
constexpr std::chrono::milliseconds kTicketTime{ 1000 };

TeamLimiterSettings
LimiterSettingsFrom(const Settings& aSettings)
{
  TeamLimiterSettings limiter;
  limiter.mOwnership = OwnershipSettingsFrom(aSettings.mControl);
  return limiter;
}

} // namespace

EntryNode::EntryNode(const Settings& aSettings)
  : Node(aSettings)
  , mCore(aSettings, mIncarnation.mValue, mDecisions, mCounters)
  , mGate(aSettings.mInstanceId,
          LimiterSettingsFrom(aSettings),
          mIncarnation.mValue,
          [this](const std::vector<LimitMessage>& aMessages) {
            mControl->SendLimits(aMessages);
          })
{
}

void
EntryNode::Wire()
{
  mConfiguration.AddListener([this](const DocumentViewPtr& aView) {
    mGate.ApplyDocument(*aView);
    mCore.ApplyDocument(aView);
  });
}

std::vector<grpc::Service*>
EntryNode::Services()
{
  return {};
}

HttpResponse
EntryNode::Handle(const HttpRequest& aRequest)
{
  const RequestId id = NewRequestId();
  const DocumentViewPtr view = mCore.View();
  if (!view) {
    Refusal refusal;
    refusal.mReason = RefusalReason::ConfigurationUnknown;
    refusal.mExecuted = ExecutedIfRefused(aRequest);
    refusal.mRetryAfter = kRetryWithoutDocument;
    return RefusalResponse(refusal, id);
  }
  if (IsTicketRequest(aRequest)) {
    return IssueTicket(aRequest, id, *view);
  }
  auto admitted = AdmitRequest(aRequest, id, *view, mGate);
  if (!admitted) {
    RecordRejection(id, admitted.error());
    return RefusalResponse(admitted.error().mRefusal, id);
  }
  mCounters.RecordAdmitted(admitted.value().Team());
  return RespondTo(RelayEnvironment{ mCore, mChannels, mWatchdog },
                   std::move(admitted.value()));
}

HttpResponse
EntryNode::IssueTicket(const HttpRequest& aRequest,
                       const RequestId& aId,
                       const DocumentView& aView)
{
  const auto pool = PoolOfTicketRequest(aRequest, aView);
  if (!pool) {
    return RefusalResponse(pool.error(), aId);
  }
  const AgentChoice choice = mCore.ChooseIssuer(pool.value());
  if (!choice.mAgent) {
    return RefusalResponse(choice.mRefusal, aId);
  }
  const auto stub = wire::Agent::NewStub(mChannels.ChannelTo(choice.mAddress));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kTicketTime);
  wire::TicketReply reply;
  const auto status = stub->IssueTicket(&context, {}, &reply);
  if (!status.ok() || reply.key().empty()) {
    return RefusalResponse(choice.mRefusal, aId);
  }
  return TicketResponse(IdempotencyKey(reply.key()));
}

void
EntryNode::RecordRejection(const RequestId& aId,
                           const RejectedRequest& aRejected)
{
  const Refusal& refusal = aRejected.mRefusal;
  if (aRejected.mShortage) {
    const bool insideRate = *aRejected.mShortage != ShortageCause::TeamRate;
    mCounters.RecordRateRefusal(
      aRejected.mClass, aRejected.mTeam, refusal, insideRate);
  } else {
    mCounters.RecordEarlyRefusal(refusal);
  }
  mDecisions.Write(Event::RequestRefused,
                   { { "request", aId.Text() },
                     { "team", aRejected.mTeam.Text() },
                     { "class", aRejected.mClass.Text() },
                     { "reason", ReasonCode(refusal.mReason) },
                     { "executed", ExecutedText(refusal.mExecuted) },
                     { "detail", refusal.mDetail } });
}

void
EntryNode::Tick()
{
  mGate.Tick();
  for (const InstanceRecord& agent : mCore.TakeDueProbes()) {
    mControl->Probe(agent);
  }
}

bool
EntryNode::Drain(Timestamp aBound)
{
  std::this_thread::sleep_for(kBalancerNotice);
  mHttp->StopAccepting();
  while (mHttp->RunningRequests() > 0 && BootNow() < aBound) {
    std::this_thread::sleep_for(kDrainPoll);
    Tick();
  }
  return mHttp->RunningRequests() == 0;
}

void
EntryNode::ResumeAfterPause(Microseconds aGap)
{
  static_cast<void>(aGap);
  mGate.ResumeAfterPause();
  mCore.ResumeAfterPause();
}

void
EntryNode::ApplyList(const InstanceList& aList,
                     Timestamp aSentAt,
                     Timestamp aReceivedAt)
{
  mGate.ApplyList(aList, aSentAt, aReceivedAt);
  mCore.ApplyList(aList, aSentAt, aReceivedAt);
}

ControlHooks
EntryNode::Hooks()
{
  ControlHooks hooks;
  hooks.mOnLimit = [this](const LimitMessage& aMessage) {
    if (aMessage.mKind == LimitMessageKind::Handover) {
      mLog.Write(Event::ShareMoved,
                 { { "team", aMessage.mTeam.Text() },
                   { "slice", aMessage.mSlice },
                   { "from", aMessage.mFrom.Text() } });
    }
    return mGate.Receive(aMessage);
  };
  hooks.mOnLoad = [this](const InstanceId& aAgent, const LoadSnapshot& aLoad) {
    mCore.RecordContact(aAgent, aLoad);
  };
  return hooks;
}

std::optional<std::string>
EntryNode::ReasonNotReady()
{
  if (mShuttingDown) {
    return "shutting down";
  }
  if (!mCore.View()) {
    return "no document";
  }
  if (!mGate.IsWithinReach()) {
    return "the teams' limits are not within reach yet";
  }
  return mCore.ReasonNotReady();
}

} // namespace medlarkeel
