#include "../../../src/libmedlarkeelforward/answertext.h"
#include "../../support/loopback.h"
#include "../streamplan.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <gflags/gflags.h>

#include <atomic>
#include <csignal>
#include <thread>

DEFINE_string(id, "", "id of the server");
DEFINE_int32(port, 0, "port on the loopback address");
DEFINE_int64(born, 0, "wall clock time of the start in milliseconds");

namespace medlarkeel {

namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

/** A planned stop goes on listening for this time. */
constexpr std::chrono::milliseconds kDrainTime{ 2500 };
/** The longest time that a planned stop waits for streams. */
constexpr std::chrono::milliseconds kStreamTime{ 3000 };
/** Pause inside an event that is written in two parts. */
constexpr std::chrono::milliseconds kPauseInEvent{ 2 };

std::atomic<int> sStreams{ 0 };

/** One request on a connection of its own thread. */
class Run
{
public:
  Run(tcp::socket& aSocket, std::string aHead, const StreamPlan& aPlan)
    : mSocket(aSocket)
    , mHead(std::move(aHead))
    , mPlan(aPlan)
    , mFirst(1 +
             static_cast<int>(
               ParseWholeNumber(FieldOf(mHead, "Last-Event-Id")).value_or(0)))
  {
  }

  void Serve()
  {
    if (mPlan.mIsOpaque) {
      ServeOpaque();
      return;
    }
    const StreamFlaw flaw = FlawOfRun();
    if (flaw == StreamFlaw::BeginsAnew) {
      mFirst = 1;
    }
    mLast = LastEvent(flaw);
    if (flaw == StreamFlaw::HalfEvent) {
      mRest = mPlan.HalfEvent(mLast + 1);
    } else if (flaw == StreamFlaw::Comment) {
      mRest = mPlan.Comment();
    }
    const bool isBrokenOff =
      flaw == StreamFlaw::Reset || flaw == StreamFlaw::EarlyReset ||
      flaw == StreamFlaw::Empty || flaw == StreamFlaw::Comment;
    WriteBytes(mSocket,
               HeadText(SizeUpTo(isBrokenOff ? mPlan.mEvents : mLast)));
    for (int i = mFirst; i <= mLast; ++i) {
      WriteEvent(i);
    }
    Write(mRest);
    if (!isBrokenOff && mPlan.mFraming == PlannedFraming::Chunks) {
      WriteBytes(mSocket, std::string(kLastChunk));
    }
    if (isBrokenOff) {
      BreakOff(flaw == StreamFlaw::Reset || flaw == StreamFlaw::EarlyReset);
    }
  }

private:
  void BreakOff(bool aIsReset)
  {
    Error ignored;
    mSocket.set_option(boost::asio::socket_base::linger(aIsReset, 0), ignored);
    mSocket.close(ignored);
  }

  /** Sends the body in two parts, the second one only without a flaw. */
  void ServeOpaque()
  {
    const std::string body = mPlan.OpaqueBody();
    WriteBytes(mSocket, HeadText(body.size()));
    Write(body.substr(0, body.size() / 2));
    std::this_thread::sleep_for(mPlan.mPause);
    if (mPlan.mFlaw != StreamFlaw::None) {
      BreakOff(true);
      return;
    }
    Write(body.substr(body.size() / 2));
    if (mPlan.mFraming == PlannedFraming::Chunks) {
      WriteBytes(mSocket, std::string(kLastChunk));
    }
  }

  /** @return The flaw of the plan, if it concerns a run of this kind. */
  StreamFlaw FlawOfRun() const
  {
    const bool isOfFirstRun = mPlan.mFlaw == StreamFlaw::HalfEvent ||
                              mPlan.mFlaw == StreamFlaw::Reset ||
                              mPlan.mFlaw == StreamFlaw::EarlyReset ||
                              mPlan.mFlaw == StreamFlaw::InvalidStatus;
    return isOfFirstRun == (mFirst == 1) ? mPlan.mFlaw : StreamFlaw::None;
  }

  int LastEvent(StreamFlaw aFlaw) const
  {
    switch (aFlaw) {
      case StreamFlaw::HalfEvent:
      case StreamFlaw::Reset:
      case StreamFlaw::EarlyReset:
        return mPlan.mEvents / 2;
      case StreamFlaw::Empty:
      case StreamFlaw::Comment:
        return mFirst - 1;
      case StreamFlaw::None:
      case StreamFlaw::BeginsAnew:
      case StreamFlaw::InvalidStatus:
        break;
    }
    return mPlan.mEvents;
  }

  /** @return Size of the body up to an event and the rest behind it. */
  std::size_t SizeUpTo(int aLast) const
  {
    std::size_t size = mRest.size();
    for (int i = mFirst; i <= aLast; ++i) {
      size += mPlan.EventWithComment(i).size();
    }
    return size;
  }

  /** @param aLength What a stated length says. */
  std::string HeadText(std::size_t aLength) const
  {
    std::string framing = "Connection: close\r\n";
    if (mPlan.mFraming == PlannedFraming::Chunks) {
      framing = "Transfer-Encoding: chunked\r\n";
    } else if (mPlan.mFraming == PlannedFraming::Length) {
      framing = "Content-Length: " + std::to_string(aLength) + "\r\n";
    }
    const std::string id = FieldOf(mHead, "X-Request-Id");
    const bool isInvalid = FlawOfRun() == StreamFlaw::InvalidStatus;
    return std::string(mPlan.mIsOldServer ? "HTTP/1.0" : "HTTP/1.1") +
           (isInvalid ? " 999" : " 200") + " OK\r\nX-Request-Id: " + id +
           "\r\nX-Response-Stamp: " + FLAGS_id + "." + id +
           "\r\nKeep-Alive: timeout=5\r\n" + mPlan.TypeFields() + framing +
           "\r\n";
  }

  void Write(const std::string& aBytes)
  {
    if (!aBytes.empty()) {
      const bool isChunked = mPlan.mFraming == PlannedFraming::Chunks;
      WriteBytes(mSocket, isChunked ? Chunk(aBytes) : aBytes);
    }
  }

  /** Each second event is written in two parts. */
  void WriteEvent(int aNumber)
  {
    const std::string text = mPlan.EventWithComment(aNumber);
    const std::size_t half = aNumber % 2 == 0 ? text.size() / 2 : text.size();
    Write(text.substr(0, half));
    if (half < text.size()) {
      std::this_thread::sleep_for(kPauseInEvent);
      Write(text.substr(half));
    }
    std::this_thread::sleep_for(mPlan.mPause);
  }

  tcp::socket& mSocket;
  std::string mHead;
  StreamPlan mPlan;
  int mFirst = 1;
  int mLast = 0;
  std::string mRest;
};

std::string
OwnAnswerText(int aStatus, const std::string& aFields, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Answer\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** @return The path of the plan: that of a chat call stands in its body. */
std::string
PlanPath(const std::string& aPath, const std::string& aBody)
{
  const std::size_t begin = aBody.find("/plan/");
  return begin == std::string::npos
           ? aPath
           : aBody.substr(begin, aBody.find('"', begin) - begin);
}

std::string
PathOf(const std::string& aHead)
{
  const std::size_t begin = aHead.find(' ') + 1;
  return aHead.substr(begin, aHead.find(' ', begin) - begin);
}

/** @return Whether the answer begins before the body has arrived.
 *
 * @param aBody What has arrived of it. */
bool
BeginsEarly(const std::string& aHead, const std::string& aBody)
{
  const auto plan = ParseStreamPlan(PlanPath(PathOf(aHead), aBody));
  return plan && plan->mFlaw == StreamFlaw::EarlyReset;
}

/** @return Whether the connection goes on. */
bool
ServeRequest(tcp::socket& aSocket,
             const std::string& aHead,
             const std::string& aBody)
{
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  constexpr int kMisdirected = 421;
  const std::string path = PathOf(aHead);
  const std::string id = FieldOf(aHead, "X-Request-Id");
  const std::string fields =
    "X-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\n";
  const std::string expected = FieldOf(aHead, "X-Expect-Instance");
  if (!expected.empty() && expected != FLAGS_id) {
    WriteBytes(aSocket, OwnAnswerText(kMisdirected, fields, ""));
    return true;
  }
  if (path == "/report") {
    WriteBytes(aSocket,
               OwnAnswerText(kOk,
                             "Content-Type: application/json\r\n",
                             "{\"stage\":\"both\",\"born\":" +
                               std::to_string(FLAGS_born) + "}"));
    return true;
  }
  if (path == "/stats") {
    WriteBytes(aSocket, OwnAnswerText(kOk, "", "{}"));
    return true;
  }
  const auto plan = ParseStreamPlan(PlanPath(path, aBody));
  if (!plan) {
    WriteBytes(aSocket, OwnAnswerText(kNotFound, fields, ""));
    return true;
  }
  sStreams += 1;
  Run(aSocket, aHead, *plan).Serve();
  sStreams -= 1;
  return aSocket.is_open() && plan->mFraming != PlannedFraming::Close &&
         !plan->mIsOldServer;
}

void
ServeConnection(tcp::socket aSocket)
{
  std::string input;
  bool goesOn = true;
  while (goesOn) {
    Error error;
    const std::size_t size = boost::asio::read_until(
      aSocket, boost::asio::dynamic_buffer(input), "\r\n\r\n", error);
    if (error) {
      return;
    }
    const std::string head = input.substr(0, size);
    input.erase(0, size);
    const auto length = static_cast<std::size_t>(
      ParseWholeNumber(FieldOf(head, "Content-Length")).value_or(0));
    while (input.size() < length && !error && !BeginsEarly(head, input)) {
      boost::asio::read(aSocket,
                        boost::asio::dynamic_buffer(input),
                        boost::asio::transfer_at_least(1),
                        error);
    }
    const std::string body = input.substr(0, length);
    input.erase(0, length);
    goesOn = !error && ServeRequest(aSocket, head, body);
  }
}

/** Waits for the request to stop, then for the streams. */
void
StopOnSignal(const sigset_t& aSignals, tcp::acceptor& aAcceptor)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
  std::this_thread::sleep_for(kDrainTime);
  const auto end = std::chrono::steady_clock::now() + kStreamTime;
  while (sStreams > 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  Error ignored;
  aAcceptor.close(ignored);
  std::_Exit(0);
}

void
Serve()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  boost::asio::io_context context;
  tcp::acceptor acceptor(context,
                         { boost::asio::ip::make_address("127.0.0.1"),
                           static_cast<std::uint16_t>(FLAGS_port) });
  std::thread([&]() { StopOnSignal(signals, acceptor); }).detach();
  while (true) {
    Error error;
    tcp::socket socket(context);
    acceptor.accept(socket, error);
    if (!error) {
      socket.set_option(tcp::no_delay(true), error);
      std::thread(ServeConnection, std::move(socket)).detach();
    }
  }
}

} // namespace

} // namespace medlarkeel

int
main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  medlarkeel::Serve();
  return 0;
}
