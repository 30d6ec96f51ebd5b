#include "peerchannel.h"

#include "../libmedlarkeelnet/bootclock.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace medlarkeel {

namespace {

using boost::asio::ip::udp;
using Error = boost::system::error_code;
using Json = nlohmann::json;

/** Whole numbers take fewer bytes. */
std::uint64_t
Rounded(double aTokens)
{
  return static_cast<std::uint64_t>(std::max(0.0, aTokens));
}

} // namespace

std::string
EncodePeerReport(const PeerReport& aReport)
{
  Json loads = Json::array();
  for (const auto& [server, load] : aReport.mLoads) {
    loads.push_back(server);
    loads.push_back(load.mRequests);
    loads.push_back(load.mUnreadTokens);
  }
  Json report{ { "a", aReport.mAddress },
               { "s", aReport.mSequence },
               { "l", std::move(loads) },
               { "q",
                 { Rounded(aReport.mDemand.mShortTokens),
                   Rounded(aReport.mDemand.mLongTokens) } },
               { "d", aReport.mDirectoryDigest },
               { "g", aReport.mDirectoryAge.count() } };
  if (!aReport.mSent.empty()) {
    Json sent = Json::array();
    for (const SentPart& part : aReport.mSent) {
      sent.push_back(part.mServer);
      sent.push_back(part.mPart);
    }
    report["p"] = std::move(sent);
  }
  if (!aReport.mLeaving.empty()) {
    report["v"] = aReport.mLeaving;
  }
  if (!aReport.mKnown.empty()) {
    report["k"] = aReport.mKnown;
  }
  std::string bytes;
  Json::to_cbor(report, bytes);
  return bytes;
}

std::optional<PeerReport>
DecodePeerReport(std::string_view aBytes)
{
  constexpr std::size_t kNumbersPerLoad = 3;
  try {
    const Json report = Json::from_cbor(aBytes);
    PeerReport decoded;
    decoded.mAddress = report.at("a").get<std::string>();
    decoded.mSequence = report.at("s").get<std::uint64_t>();
    const Json& loads = report.at("l");
    if (loads.size() % kNumbersPerLoad != 0 || !IsIpNumber(decoded.mAddress)) {
      return std::nullopt;
    }
    for (std::size_t i = 0; i < loads.size(); i += kNumbersPerLoad) {
      decoded.mLoads[loads[i].get<std::uint32_t>()] = {
        loads[i + 1].get<std::uint32_t>(), loads[i + 2].get<std::uint32_t>()
      };
    }
    decoded.mDemand.mShortTokens = report.at("q").at(0).get<double>();
    decoded.mDemand.mLongTokens = report.at("q").at(1).get<double>();
    decoded.mDirectoryDigest = report.at("d").get<std::uint64_t>();
    decoded.mDirectoryAge = Milliseconds(report.at("g").get<std::int64_t>());
    if (report.contains("p")) {
      const Json& sent = report.at("p");
      for (std::size_t i = 0; i + 1 < sent.size(); i += 2) {
        decoded.mSent.push_back(
          { sent[i].get<std::uint32_t>(), sent[i + 1].get<std::uint32_t>() });
      }
    }
    if (report.contains("v")) {
      decoded.mLeaving = report.at("v").get<std::vector<BootHash>>();
    }
    if (report.contains("k")) {
      decoded.mKnown = report.at("k").get<std::vector<std::string>>();
    }
    return decoded;
  } catch (const Json::exception&) {
    return std::nullopt; // Counted by the caller.
  }
}

PeerChannel::PeerChannel(boost::asio::io_context& aContext,
                         const Endpoint& aOwn,
                         PeerView& aView,
                         ForwardCounters& aCounters,
                         EventLog& aLog,
                         std::function<void(PeerReport&)> aFill,
                         std::function<void(const PeerReport&)> aTake)
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
        const auto report =
          DecodePeerReport(std::string_view(mBuffer.data(), aSize));
        // A report counts only when it comes from the address it names.
        const bool isSound =
          report && report->mAddress == mSender.address().to_string();
        if (!isSound) {
          mCounters.mPeerReportsUnreadable += 1;
          RecordLost("it can't be read", mSender.address().to_string());
        } else if (mView.Record(*report, BootNow())) {
          mTake(*report);
        }
      }
      Receive();
    });
}

void
PeerChannel::Send()
{
  const Timestamp now = BootNow();
  PeerReport report;
  report.mAddress = mAddress;
  report.mSequence = ++mSequence;
  mFill(report);
  const std::vector<std::string> targets = mView.Targets(now);
  if (mRounds++ % kRoundsBetweenNames == 0) {
    report.mKnown = targets;
  }
  const std::string bytes = EncodePeerReport(report);
  const std::uint16_t port = mSocket.local_endpoint().port();
  for (const std::string& target : targets) {
    Error error;
    mSocket.send_to(boost::asio::buffer(bytes),
                    udp::endpoint(boost::asio::ip::make_address(target), port),
                    0,
                    error);
    if (error) {
      mCounters.mPeerReportsNotSent += 1;
      RecordLost(error.message().c_str(), target);
    } else {
      mCounters.mPeerReportsSent += 1;
    }
  }
  mTimer.expires_after(mView.Interval(now));
  mTimer.async_wait([this](const Error& aError) {
    if (!aError) {
      Send();
    }
  });
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
