#include "agentservice.h"

#include "agentsession.h"
#include "wireconversion.h"

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

grpc::Status
AgentService::Vouch(grpc::ServerContext* aContext,
                    const wire::VouchRequest* aRequest,
                    wire::VouchReply* aReply)
{
  static_cast<void>(aContext);
  ClaimCall call;
  call.mKey.mTeam = TeamName(aRequest->team());
  call.mKey.mKey = IdempotencyKey(aRequest->idempotency_key());
  call.mBody = BodyHash(aRequest->body_hash());
  const VouchDecision decision = mEnvironment.mCore.Vouch(call);
  if (decision.mVouched) {
    aReply->set_verdict(wire::VouchReply::VOUCHED);
  } else if (decision.mAnswer) {
    aReply->set_verdict(wire::VouchReply::ANSWERED);
    aReply->mutable_head()->set_status(
      static_cast<std::uint32_t>(decision.mAnswer->mStatus));
    aReply->mutable_head()->set_content_type(decision.mAnswer->mContentType);
    aReply->set_body(decision.mAnswer->mBody);
  } else {
    FillRefused(decision.mRefusal, *aReply->mutable_refusal());
  }
  return grpc::Status::OK;
}

} // namespace medlarkeel
