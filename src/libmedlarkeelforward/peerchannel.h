#pragma once

#include "../libmedlarkeel/forwarding/peerview.h"
#include "../libmedlarkeel/settings.h"
#include "../libmedlarkeelnet/eventlog.h"
#include "forwardcounters.h"
#include "peerreportcodec.h"
#include "permitcodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>

namespace medlarkeel {

/**
 * Exchanges reports with the other entries by datagrams: a lost one is
 * replaced by the next.
 */
class PeerChannel
{
public:
  /**
   * @param aOwn Where reports arrive; the port is the same at all entries.
   * @param aFill Adds what this entry does to a report.
   * @param aTake Gets each new report.
   * @param aTakeDelta Gets each delta that wasn't part of a report.
   * @param aHandlePermitMessage Gets each permit message with its sender's IP
   * address.
   */
  PeerChannel(boost::asio::io_context& aContext,
              const Endpoint& aOwn,
              PeerView& aView,
              ForwardCounters& aCounters,
              EventLog& aLog,
              std::function<void(PeerReport&)> aFill,
              std::function<void(const PeerReport&)> aTake,
              std::function<void(const DirectoryDelta&)> aTakeDelta,
              std::function<void(const std::string&, const PermitMessage&)>
                aHandlePermitMessage);

  void Start();

  /** Sends a report for news that the others wait for: now, or a short time
   * after the last one. */
  void SendSoon();

  /** Sends deltas that are too large for a report to the entries that rely on
   * this one. */
  void SendDeltas(const std::vector<DirectoryDelta>& aDeltas);

  /** Sends bytes to the entries with these IP addresses. */
  void SendTo(const std::vector<std::string>& aTargets,
              const std::string& aBytes);

private:
  void Receive();
  void Send();
  void SendAfter(Milliseconds aDelay);
  void HandleDatagram(std::string_view aBytes, const std::string& aSender);
  void RecordUnreadable(const std::string& aSender);
  /** Logs the first lost report within a while. */
  void RecordLost(const char* aCause, const std::string& aPeer);

  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mSender;
  boost::asio::steady_timer mTimer;
  std::array<char, 16384> mBuffer{};
  std::string mAddress;
  PeerView& mView;
  ForwardCounters& mCounters;
  EventLog& mLog;
  std::function<void(PeerReport&)> mFill;
  std::function<void(const PeerReport&)> mTake;
  std::function<void(const DirectoryDelta&)> mTakeDelta;
  std::function<void(const std::string&, const PermitMessage&)>
    mHandlePermitMessage;
  std::uint64_t mSequence;
  Timestamp mSentAt;
  /** When the last loss was logged. */
  std::optional<Timestamp> mLossLoggedAt;
};

} // namespace medlarkeel
