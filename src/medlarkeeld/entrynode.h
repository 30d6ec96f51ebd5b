#pragma once

#include "entrycore.h"
#include "node.h"
#include "requestadmission.h"
#include "streamwatchdog.h"
#include "teamgate.h"

namespace medlarkeel {

/** The process that callers talk to. */
class EntryNode : public Node
{
public:
  explicit EntryNode(const Settings& aSettings);

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

  void RecordRejection(const RequestId& aId, const RejectedRequest& aRejected);
  HttpResponse IssueTicket(const HttpRequest& aRequest,
                           const RequestId& aId,
                           const DocumentView& aView);

  StreamWatchdog mWatchdog;
  EntryCore mCore;
  TeamGate mGate;
};

} // namespace medlarkeel
