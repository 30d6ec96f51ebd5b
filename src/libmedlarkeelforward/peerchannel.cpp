#include "peerchannel.h"

#include "../libmedlarkeelnet/bootclock.h"

namespace medlarkeel {

namespace {

using boost::asio::ip::udp;
using Error = boost::system::error_code;

} // namespace

PeerChannel::PeerChannel(
  boost::asio::io_context& aContext,
  const Endpoint& aOwn,
  PeerView& aView,
  ForwardCounters& aCounters,
  EventLog& aLog,
  std::function<void(PeerReport&)> aFill,
  std::function<void(const PeerReport&)> aTake,
  std::function<void(const DirectoryDelta&)> aTakeDelta,
  std::function<void(const std::string&, const PermitMessage&)>
    aHandlePermitMessage)
  : mSocket(
      aContext,
      udp::endpoint(boost::asio::ip::make_address(aOwn.mAddress), aOwn.mPort))
  , mTimer(aContext)
  , mAddress(aOwn.mAddress)
  , mView(aView)
  , mCounters(aCounters)
  , mLog(aLog)
  , mFill(std::move(aFill))
  , mTake(std::move(aTake))
  , mTakeDelta(std::move(aTakeDelta))
  , mHandlePermitMessage(std::move(aHandlePermitMessage))
  , mSequence(NewIncarnation().mValue)
{
  mSocket.non_blocking(true);
}

void
PeerChannel::Start()
{
  Receive();
  Send();
}

void
PeerChannel::Receive()
{
  mSocket.async_receive_from(
    boost::asio::buffer(mBuffer),
    mSender,
    [this](const Error& aError, std::size_t aSize) {
      if (aError == boost::asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        HandleDatagram(std::string_view(mBuffer.data(), aSize),
                       mSender.address().to_string());
      }
      Receive();
    });
}

void
PeerChannel::HandleDatagram(std::string_view aBytes, const std::string& aSender)
{
  if (IsPermitMessage(aBytes)) {
    if (const auto message = DecodePermitMessage(aBytes)) {
      mHandlePermitMessage(aSender, *message);
    } else {
      RecordUnreadable(aSender);
    }
    return;
  }
  if (IsDirectoryDelta(aBytes)) {
    if (const auto delta = DecodeDirectoryDelta(aBytes)) {
      mTakeDelta(*delta);
    } else {
      RecordUnreadable(aSender);
    }
    return;
  }
  const auto report = DecodePeerReport(aBytes);
  // A report counts only when it comes from the address it names.
  if (!report || report->mAddress != aSender) {
    RecordUnreadable(aSender);
  } else if (mView.Record(*report, BootNow())) {
    mTake(*report);
  }
}

void
PeerChannel::RecordUnreadable(const std::string& aSender)
{
  mCounters.mPeerReportsUnreadable += 1;
  RecordLost("it can't be read", aSender);
}

void
PeerChannel::Send()
{
  const Timestamp now = BootNow();
  PeerReport report;
  report.mAddress = mAddress;
  report.mSequence = ++mSequence;
  mFill(report);
  for (const AddressedReport& addressed : mView.Reports(report, now)) {
    SendTo(addressed.mTargets, EncodePeerReport(addressed.mReport));
  }
  mSentAt = now;
  SendAfter(mView.Interval(now));
}

void
PeerChannel::SendAfter(Milliseconds aDelay)
{
  mTimer.expires_after(aDelay);
  mTimer.async_wait([this](const Error& aError) {
    if (!aError) {
      Send();
    }
  });
}

void
PeerChannel::SendDeltas(const std::vector<DirectoryDelta>& aDeltas)
{
  const std::vector<std::string> targets = mView.DeltaTargets(BootNow());
  for (const DirectoryDelta& delta : aDeltas) {
    SendTo(targets, EncodeDirectoryDelta(delta));
  }
}

void
PeerChannel::SendTo(const std::vector<std::string>& aTargets,
                    const std::string& aBytes)
{
  const std::uint16_t port = mSocket.local_endpoint().port();
  for (const std::string& target : aTargets) {
    Error error;
    const auto address = boost::asio::ip::make_address(target, error);
    if (!error) {
      mSocket.send_to(
        boost::asio::buffer(aBytes), udp::endpoint(address, port), 0, error);
    }
    if (error) {
      mCounters.mPeerReportsNotSent += 1;
      RecordLost(error.message().c_str(), target);
    } else {
      mCounters.mPeerReportsSent += 1;
      mCounters.mPeerBytesSent += aBytes.size();
    }
  }
}

void
PeerChannel::SendSoon()
{
  /** Bounds the reports that are sent besides the regular ones. */
  constexpr Milliseconds kLeastPause{ 100 };
  const auto passed =
    std::chrono::duration_cast<Milliseconds>(BootNow() - mSentAt);
  if (passed >= kLeastPause) {
    Send();
  } else {
    SendAfter(kLeastPause - passed);
  }
}

void
PeerChannel::RecordLost(const char* aCause, const std::string& aPeer)
{
  /** Bounds the lines of a peer that is cut off for long. */
  constexpr Milliseconds kLogPause{ 1000 };
  const Timestamp now = BootNow();
  if (mLossLoggedAt && now - *mLossLoggedAt < kLogPause) {
    return;
  }
  mLossLoggedAt = now;
  mLog.Write(Event::PeerReportLost, { { "peer", aPeer }, { "cause", aCause } });
}

} // namespace medlarkeel
