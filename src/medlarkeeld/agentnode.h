#pragma once

#include "agentcore.h"
#include "agentservice.h"
#include "backendrun.h"
#include "node.h"
#include "orderdesk.h"
#include "teamgate.h"

namespace medlarkeel {

/** The process beside one backend server. */
class AgentNode : public Node
{
public:
  explicit AgentNode(const Settings& aSettings);

private:
  void Wire() override;
  std::vector<grpc::Service*> Services() override;
  HttpResponse Handle(const HttpRequest& aRequest) override;
  void Tick() override;
  bool Drain(Timestamp aBound) override;
  void ResumeAfterPause(Microseconds aGap) override;
  void ApplyList(const InstanceList& aList,
                 Timestamp aSentAt,
                 Timestamp aReceivedAt) override;
  ControlHooks Hooks() override;
  std::optional<std::string> ReasonNotReady() override;

  AdmitVerdict TakeLoad();

  AgentCore mCore;
  RunThreads mRuns;
  AgentService mService;
  /** Shares the weight store's rate out among the agents. */
  TeamGate mStoreGate;
  OrderDesk mOrders;
};

} // namespace medlarkeel
