#pragma once

#include "agentservice.h"
#include "runmailbox.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace medlarkeel {

/** One entry's stream from its reservation to the last frame. */
class AgentSession
{
public:
  using Stream = grpc::ServerReaderWriter<wire::AgentFrame, wire::EntryFrame>;

  AgentSession(const AgentEnvironment& aEnvironment,
               grpc::ServerContext& aContext,
               Stream& aStream);

  /** Serves the stream to its end. */
  grpc::Status Run();

private:
  bool ReadReserve();
  std::optional<ClaimCall> CallOf() const;
  /** @return Whether the call is still to be served. */
  bool AskOwner(const ClaimCall& aCall);
  void Reserve();
  std::optional<RunGranted> AwaitGrant();
  std::optional<wire::Commit> ReadCommit(const RunGranted& aGrant);
  void Execute(const RunGranted& aGrant, const wire::Commit& aCommit);
  CommittedWork WorkOf(const RunGranted& aGrant,
                       const wire::Commit& aCommit) const;
  BackendRun::OutcomeRecorder RecorderFor(
    const std::optional<ClaimCall>& aCall) const;
  /** @return Whether the relayed answer came to its end. */
  bool Relay();

  std::optional<RunMessage> NextMessage();
  bool Send(const RunMessage& aMessage);
  bool SendRefusal(const Refusal& aRefusal);
  bool SendChunk(const std::string& aBytes);
  bool Write(wire::AgentFrame& aFrame);

  const AgentEnvironment& mEnvironment;
  AgentCore& mCore;
  grpc::ServerContext& mContext;
  Stream& mStream;
  wire::Reserve mReserve;
  std::shared_ptr<RunMailbox> mMailbox;
  std::shared_ptr<PreparedConnection> mConnection;
  ReservationId mReservation;
  std::uint64_t mOffset = 0;
};

} // namespace medlarkeel
