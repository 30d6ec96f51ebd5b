#pragma once

#include "../libmedlarkeel/settings.h"
#include "messageparser.h"
#include "wireprotocol.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarkeel {

/** Which process of a backend server is looked for. */
struct CheckedProcess
{
  InstanceId mId;
  Endpoint mEndpoint;
  /** Wall clock time of its start, if it is known. */
  std::optional<Milliseconds> mStartedAt;
  /** The server tells its state at WireProtocol::mStatusPath. */
  bool mHasStatus = false;
};

/** @return The request for the state of a process; empty if it states none. */
std::string
StatusRequestText(const WireProtocol& aProtocol,
                  const CheckedProcess& aProcess);

/**
 * Finds out whether a process of a backend server still runs, by a connection
 * of its own. The system closes the connections of a process that was killed in
 * order, so that an answer without a length or chunks seems complete; it
 * refuses new ones.
 */
class ProcessCheck : public std::enable_shared_from_this<ProcessCheck>
{
public:
  /** Gets false if the process has ended or can't be reached. */
  using Handler = std::function<void(bool aIsRunning)>;

  ProcessCheck(boost::asio::io_context& aContext,
               const WireProtocol& aProtocol,
               CheckedProcess aProcess,
               Handler aHandler);

  /** Calls the handler once, within two seconds. */
  void Start();

private:
  using Error = boost::system::error_code;

  void Connect();
  void Ask();
  void Read();
  void TakeBytes(const Error& aError, std::size_t aSize);
  /** Connects again after a try that showed nothing.
   *
   * @param aIsRunning The result if this was the last try. */
  void TryAgain(bool aIsRunning);
  /** @return Whether the answer is that of the process. */
  bool IsAnswerOfProcess() const;
  /** Waits, unless the timer is set anew meanwhile, and calls the method. */
  void WaitFor(Milliseconds aTime, void (ProcessCheck::*aMethod)());
  void HandleConnectTimeout();
  void HandleSilence();
  void Finish(bool aIsRunning);

  const WireProtocol& mProtocol;
  CheckedProcess mProcess;
  Handler mHandler;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::string mRequest;
  std::array<char, 4096> mBuffer{};
  std::string mInput;
  std::unique_ptr<AnswerParser> mParser;
  int mTries = 0;
};

} // namespace medlarkeel
