#pragma once

#include "agentchannels.h"
#include "agentcore.h"
#include "backendrun.h"
#include "medlarkeel.grpc.pb.h"
#include "nodecounters.h"
#include "settings.h"

#include <grpcpp/support/sync_stream.h>

#include <string>

namespace medlarkeel {

/** The backend server of an agent as its streams call it. */
struct BackendAccess
{
  Endpoint mEndpoint;
  PoolKind mKind = PoolKind::Model;
};

/** What the streams of an agent work with; outlives every stream. */
struct AgentEnvironment
{
  AgentCore& mCore;
  RunThreads& mRuns;
  NodeCounters& mCounters;
  AgentChannels& mChannels;
  DecisionLog& mLog;
  BackendAccess mBackend;
};

/** Serves the entries' streams: one reservation and at most one run each. */
class AgentService : public wire::Agent::Service
{
public:
  explicit AgentService(AgentEnvironment aEnvironment);

  grpc::Status Serve(
    grpc::ServerContext* aContext,
    grpc::ServerReaderWriter<wire::AgentFrame, wire::EntryFrame>* aStream)
    override;

  grpc::Status IssueTicket(grpc::ServerContext* aContext,
                           const wire::TicketRequest* aRequest,
                           wire::TicketReply* aReply) override;

  grpc::Status Vouch(grpc::ServerContext* aContext,
                     const wire::VouchRequest* aRequest,
                     wire::VouchReply* aReply) override;

private:
  const AgentEnvironment mEnvironment;
};

} // namespace medlarkeel
