#include "agentnode.h"

#include "bootclock.h"

#include <thread>

namespace medlarkeel {

namespace {

constexpr int kNotFound = 404;
/** Time in which finished runs reach the streams of their entries. */
constexpr Milliseconds kStreamEnd{ 300 };
/** Time in which cut runs end; they look for the cut far more often. */
constexpr Milliseconds kCutTime{ 5000 };

BackendAccess
AccessFrom(const Settings& aSettings)
{
  const BackendServerSettings& server = *aSettings.mBackendServer;
  return BackendAccess{ server.mEndpoint, server.mKind };
}

/** @return The name under which loads are metered; no team can have it. */
TeamName
StoreName()
{
  return TeamName("(weight-store)");
}

TeamLimiterSettings
StoreLimiterFrom(const Settings& aSettings)
{
  TeamLimiterSettings limiter;
  limiter.mOwnership = OwnershipSettingsFrom(aSettings.mControl);
  // Loads may wait; promises of all agents would cost too many messages.
  limiter.mLongestOutage = Microseconds(0);
  limiter.mScope.mRole = InstanceRole::Agent;
  return limiter;
}

} // namespace

AgentNode::AgentNode(const Settings& aSettings)
  : Node(aSettings)
  , mCore(aSettings, mIncarnation, mDecisions)
  , mService(AgentEnvironment{ mCore,
                               mRuns,
                               mCounters,
                               mChannels,
                               mDecisions,
                               AccessFrom(aSettings) })
  , mStoreGate(aSettings.mInstanceId,
               StoreLimiterFrom(aSettings),
               mIncarnation.mValue,
               [this](const std::vector<LimitMessage>& aMessages) {
                 mControl->SendLimits(aMessages);
               })
  , mOrders(
      aSettings,
      mIncarnation,
      OrderEnvironment{ mCore, mDecisions, [this] { return TakeLoad(); } })
{
}

AdmitVerdict
AgentNode::TakeLoad()
{
  const DocumentViewPtr view = mConfiguration.View();
  if (view && view->Document().mWeightStoreRate > 0) {
    return mStoreGate.Admit(StoreName());
  }
  AdmitVerdict unlimited;
  unlimited.mAdmitted = true;
  return unlimited;
}

void
AgentNode::Wire()
{
  mConfiguration.AddListener([this](const DocumentViewPtr& aView) {
    const EnvironmentDocument& document = aView->Document();
    mCore.ApplyDocument(document);
    mStoreGate.SetLimits({ TeamLimit{
      StoreName(), document.mWeightStoreRate, document.mWeightStoreBurst } });
    mOrders.ApplyDocument(document);
  });
  mOrders.Start();
}

std::vector<grpc::Service*>
AgentNode::Services()
{
  return { &mService };
}

HttpResponse
AgentNode::Handle(const HttpRequest& aRequest)
{
  static_cast<void>(aRequest);
  HttpResponse response;
  response.mStatus = kNotFound;
  return response;
}

void
AgentNode::Tick()
{
  mCore.Tick();
  const LoadSnapshot load = mCore.Load();
  mCounters.Prometheus().SetRunning(load.mRunning);
  mCounters.Prometheus().SetQueued(load.mQueued);
  mStoreGate.Tick();
}

bool
AgentNode::Drain(Timestamp aBound)
{
  mOrders.Stop();
  mCore.BeginShutdown();
  const auto left =
    std::chrono::duration_cast<Milliseconds>(aBound - BootNow());
  const bool idle = mRuns.WaitUntilIdle(left);
  if (!idle) {
    mRuns.CutAll();
    mRuns.WaitUntilIdle(kCutTime);
  }
  std::this_thread::sleep_for(kStreamEnd);
  return idle;
}

void
AgentNode::ResumeAfterPause(Microseconds aGap)
{
  static_cast<void>(aGap);
  mCore.Tick();
  mStoreGate.ResumeAfterPause();
  mOrders.ResumeAfterPause();
}

void
AgentNode::ApplyList(const InstanceList& aList,
                     Timestamp aSentAt,
                     Timestamp aReceivedAt)
{
  mCore.ApplyList(aList, aSentAt, aReceivedAt);
  mStoreGate.ApplyList(aList, aSentAt, aReceivedAt);
  mOrders.ApplyList(aList, aSentAt);
}

ControlHooks
AgentNode::Hooks()
{
  ControlHooks hooks;
  hooks.mOwnLoad = [this] { return std::optional<LoadSnapshot>(mCore.Load()); };
  hooks.mOnLimit = [this](const LimitMessage& aMessage) {
    return mStoreGate.Receive(aMessage);
  };
  hooks.mOnConfirmed = [this](Timestamp aSentAt) {
    mCore.RecordValidation(aSentAt);
  };
  return hooks;
}

std::optional<std::string>
AgentNode::ReasonNotReady()
{
  if (mShuttingDown) {
    return "shutting down";
  }
  if (!mConfiguration.View()) {
    return "no document";
  }
  if (mCore.MustRevalidate()) {
    return "not validated since a pause";
  }
  return std::nullopt;
}

} // namespace medlarkeel
