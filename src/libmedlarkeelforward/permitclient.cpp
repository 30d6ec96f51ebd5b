#include "permitclient.h"

#include "../libmedlarkeelnet/bootclock.h"

#include <utility>

namespace medlarkeel {

namespace {

using Error = boost::system::error_code;

} // namespace

PermitClient::PermitClient(boost::asio::io_context& aContext,
                           const std::string& aOwn,
                           PeerView& aPeers,
                           ServerLimits& aLimits,
                           ForwardCounters& aCounters,
                           Sender aSender)
  : mContext(aContext)
  , mCounters(aCounters)
  , mSender(std::move(aSender))
  , mPermits(ServerPermitSettings(), aOwn, aPeers, aLimits)
  , mReplyTimeout(ServerPermitSettings().mReplyTimeout)
{
}

void
PermitClient::Request(ProcessHash aProcess, Handler aHandler)
{
  const PermitAttempt attempt = mPermits.Request(aProcess, BootNow());
  if (attempt.mResult) {
    Count(*attempt.mResult);
    aHandler(*attempt.mResult);
    return;
  }
  const std::uint64_t id = attempt.mRequest.mId;
  auto timer =
    std::make_unique<boost::asio::steady_timer>(mContext, mReplyTimeout);
  timer->async_wait([this, id](const Error& aError) {
    if (aError) {
      return;
    }
    if (const auto result = mPermits.HandleTimeout(id, BootNow())) {
      Finish(id, *result);
    }
  });
  mWaiting[id] = { std::move(aHandler), std::move(timer) };
  mSender(attempt.mIssuer, EncodePermitMessage(attempt.mRequest));
}

void
PermitClient::HandleMessage(const std::string& aSender,
                            const PermitMessage& aMessage)
{
  const Timestamp now = BootNow();
  if (const auto* request = std::get_if<PermitRequest>(&aMessage)) {
    const PermitReply reply = mPermits.Answer(aSender, *request, now);
    mCounters.mPermitsIssued +=
      reply.mOutcome == PermitOutcome::Granted ? 1 : 0;
    mSender(aSender, EncodePermitMessage(reply));
    return;
  }
  const PermitReply& reply = std::get<PermitReply>(aMessage);
  if (const auto result = mPermits.HandleReply(aSender, reply, now)) {
    Finish(reply.mId, *result);
  }
}

void
PermitClient::RecordReport(const std::string& aAddress)
{
  mPermits.RecordReport(aAddress, BootNow());
}

void
PermitClient::Finish(std::uint64_t aId, const PermitResult& aResult)
{
  const auto found = mWaiting.find(aId);
  const Handler handler = std::move(found->second.mHandler);
  mWaiting.erase(found);
  Count(aResult);
  handler(aResult);
}

void
PermitClient::Count(const PermitResult& aResult)
{
  switch (aResult.mOutcome) {
    case PermitOutcome::Granted:
      mCounters.mPermitsGranted += 1;
      return;
    case PermitOutcome::Denied:
    case PermitOutcome::Declined:
      mCounters.mPermitsDenied += 1;
      return;
    case PermitOutcome::TimedOut:
      mCounters.mPermitsTimedOut += 1;
      return;
  }
}

} // namespace medlarkeel
