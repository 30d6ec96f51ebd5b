#pragma once

#include "../libmedlarkeel/forwarding/serverpermits.h"
#include "forwardcounters.h"
#include "permitcodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace medlarkeel {

/** Exchanges permit messages with the other entries; see ServerPermits. */
class PermitClient
{
public:
  using Handler = std::function<void(const PermitResult& aResult)>;
  /** Sends bytes to the entry with an IP address. */
  using Sender =
    std::function<void(const std::string& aTarget, const std::string& aBytes)>;

  /** @param aOwn IP address of this entry. */
  PermitClient(boost::asio::io_context& aContext,
               const std::string& aOwn,
               PeerView& aPeers,
               ServerLimits& aLimits,
               ForwardCounters& aCounters,
               Sender aSender);

  /**
   * Requests a permit for one request to a limited server.
   *
   * @param aHandler Gets the result, at once if this entry is the issuer, and
   * otherwise within the reply timeout.
   */
  void Request(ProcessHash aProcess, Handler aHandler);

  /** Handles a message from another entry. */
  void HandleMessage(const std::string& aSender, const PermitMessage& aMessage);

  /** Records that a report of another entry was received. */
  void RecordReport(const std::string& aAddress);

private:
  struct Waiting
  {
    Handler mHandler;
    std::unique_ptr<boost::asio::steady_timer> mTimer;
  };

  void Finish(std::uint64_t aId, const PermitResult& aResult);
  void Count(const PermitResult& aResult);

  boost::asio::io_context& mContext;
  ForwardCounters& mCounters;
  Sender mSender;
  ServerPermits mPermits;
  Milliseconds mReplyTimeout;
  std::unordered_map<std::uint64_t, Waiting> mWaiting;
};

} // namespace medlarkeel
