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
  return BackendAccess{ "http://" + EndpointText(server.mEndpoint),
                        server.mKind };
}

} // namespace

AgentNode::AgentNode(const Settings& aSettings)
  : Node(aSettings)
  , mCore(aSettings, mIncarnation, mDecisions)
  , mService(AgentEnvironment{ mCore,
                               mRuns,
                               mCounters,
                               mChannels,
                               AccessFrom(aSettings) })
{
}

void
AgentNode::Wire()
{
  mConfiguration.AddListener([this](const DocumentViewPtr& aView) {
    mCore.ApplyDocument(aView->Document());
  });
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
}

bool
AgentNode::Drain(Timestamp aBound)
{
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
}

void
AgentNode::ApplyList(const InstanceList& aList,
                     Timestamp aSentAt,
                     Timestamp aReceivedAt)
{
  mCore.ApplyList(aList, aSentAt, aReceivedAt);
}

ControlHooks
AgentNode::Hooks()
{
  ControlHooks hooks;
  hooks.mOwnLoad = [this] { return std::optional<LoadSnapshot>(mCore.Load()); };
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
