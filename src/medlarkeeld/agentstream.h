#pragma once

#include "medlarkeel.grpc.pb.h"
#include "streamwatchdog.h"
#include "types.h"

#include <grpcpp/client_context.h>

#include <memory>
#include <optional>

namespace medlarkeel {

/** One attempt at one agent: a stream from reservation to last frame. */
class AgentStream
{
public:
  /**
   * Opens the stream and sends the reservation.
   *
   * @param aChannel Channel to the agent.
   * @param aReserve What is asked for.
   * @param aWatchdog Cancels the stream when the agent falls silent.
   */
  AgentStream(const std::shared_ptr<grpc::Channel>& aChannel,
              const wire::Reserve& aReserve,
              StreamWatchdog& aWatchdog);

  /** Cancels the stream if it has not ended. */
  ~AgentStream();

  AgentStream(const AgentStream&) = delete;
  AgentStream& operator=(const AgentStream&) = delete;

  /** @return The next frame, or nothing when the stream has ended. */
  std::optional<wire::AgentFrame> Read();

  /**
   * Sends the commit.
   *
   * @return Whether it was handed to the transport; when false it may still
   *         have been sent.
   */
  bool Commit(const wire::Commit& aCommit);

private:
  grpc::ClientContext mContext;
  std::unique_ptr<wire::Agent::Stub> mStub;
  StreamWatchdog& mWatchdog;
  std::unique_ptr<grpc::ClientReaderWriter<wire::EntryFrame, wire::AgentFrame>>
    mStream;
  StreamWatchdog::Token mToken = 0;
  bool mEnded = false;
};

} // namespace medlarkeel
