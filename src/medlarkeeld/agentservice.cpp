#include "agentservice.h"

#include "agentsession.h"

#include <utility>

namespace medlarkeel {

AgentService::AgentService(AgentEnvironment aEnvironment)
  : mEnvironment(std::move(aEnvironment))
{
}

grpc::Status
AgentService::Serve(
  grpc::ServerContext* aContext,
  grpc::ServerReaderWriter<wire::AgentFrame, wire::EntryFrame>* aStream)
{
  AgentSession session(mEnvironment, *aContext, *aStream);
  return session.Run();
}

grpc::Status
AgentService::IssueTicket(grpc::ServerContext* aContext,
                          const wire::TicketRequest* aRequest,
                          wire::TicketReply* aReply)
{
  static_cast<void>(aContext);
  static_cast<void>(aRequest);
  if (const auto key = mEnvironment.mCore.IssueTicket()) {
    aReply->set_key(key->Text());
  }
  return grpc::Status::OK;
}

} // namespace medlarkeel
