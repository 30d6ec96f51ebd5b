#pragma once

#include "agentcore.h"
#include "backendrun.h"
#include "medlarkeel.grpc.pb.h"

#include <grpcpp/support/sync_stream.h>

#include <string>

namespace medlarkeel {

/** The backend server of an agent as its streams call it. */
struct BackendAccess
{
  std::string mBaseUrl;
  PoolKind mKind = PoolKind::Model;
};

/** Serves the entries' streams: one reservation and at most one run each. */
class AgentService : public wire::Agent::Service
{
public:
  AgentService(AgentCore& aCore, RunCounter& aRuns, BackendAccess aBackend);

  grpc::Status Serve(
    grpc::ServerContext* aContext,
    grpc::ServerReaderWriter<wire::AgentFrame, wire::EntryFrame>* aStream)
    override;

  grpc::Status IssueTicket(grpc::ServerContext* aContext,
                           const wire::TicketRequest* aRequest,
                           wire::TicketReply* aReply) override;

private:
  AgentCore& mCore;
  RunCounter& mRuns;
  const BackendAccess mBackend;
};

} // namespace medlarkeel
