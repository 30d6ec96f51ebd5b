#include "agentstream.h"

#include <grpcpp/channel.h>

namespace medlarkeel {

namespace {

/** Several keep-alive intervals of an agent. */
constexpr Milliseconds kSilenceBound{ 2000 };

} // namespace

AgentStream::AgentStream(const std::shared_ptr<grpc::Channel>& aChannel,
                         const wire::Reserve& aReserve,
                         StreamWatchdog& aWatchdog)
  : mStub(wire::Agent::NewStub(aChannel))
  , mWatchdog(aWatchdog)
{
  mToken = mWatchdog.Watch(&mContext, kSilenceBound);
  // Sends the call's metadata together with the reservation.
  mContext.set_initial_metadata_corked(true);
  mStream = mStub->Serve(&mContext);
  wire::EntryFrame frame;
  *frame.mutable_reserve() = aReserve;
  mStream->Write(frame);
}

AgentStream::~AgentStream()
{
  mWatchdog.Forget(mToken);
  if (!mEnded) {
    mContext.TryCancel();
    wire::AgentFrame frame;
    while (mStream->Read(&frame)) {
    }
  }
  mStream->Finish();
}

std::optional<wire::AgentFrame>
AgentStream::Read()
{
  wire::AgentFrame frame;
  if (mEnded || !mStream->Read(&frame)) {
    mEnded = true;
    return std::nullopt;
  }
  mWatchdog.RecordActivity(mToken);
  return frame;
}

bool
AgentStream::Commit(const wire::Commit& aCommit)
{
  wire::EntryFrame frame;
  *frame.mutable_commit() = aCommit;
  return mStream->Write(frame);
}

} // namespace medlarkeel
