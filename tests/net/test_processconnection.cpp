#include "processconnection.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace medlarkeel {

namespace {

/** A descriptor that is closed at the end of its scope. */
class Socket
{
public:
  explicit Socket(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
    BOOST_REQUIRE(mDescriptor >= 0);
  }
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int Descriptor() const { return mDescriptor; }

  void Close()
  {
    if (mDescriptor >= 0) {
      close(mDescriptor);
    }
    mDescriptor = -1;
  }

  /** Closes it as a server does that has too many connections. */
  void Reset()
  {
    const linger atOnce{ 1, 0 };
    setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
    Close();
  }

private:
  int mDescriptor;
};

Socket
NewSocket()
{
  return Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

/** A server that has accepted the connection of an answer. */
class AnsweringServer
{
public:
  AnsweringServer()
    : mListening(NewSocket())
    , mCaller(NewSocket())
    , mAnswer(AcceptFirst())
  {
  }

  /** @return The caller's end of the answer's connection. */
  int Caller() const { return mCaller.Descriptor(); }
  Socket& Answer() { return mAnswer; }
  Socket Accept() const
  {
    return Socket(accept(mListening.Descriptor(), nullptr, nullptr));
  }
  void StopListening() { mListening.Close(); }
  std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(mPort) + "/x";
  }

private:
  int AcceptFirst()
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* place = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof address;
    const int listening = mListening.Descriptor();
    BOOST_REQUIRE(bind(listening, place, size) == 0);
    BOOST_REQUIRE(listen(listening, 4) == 0);
    BOOST_REQUIRE(getsockname(listening, place, &size) == 0);
    mPort = ntohs(address.sin_port);
    BOOST_REQUIRE(connect(mCaller.Descriptor(), place, size) == 0);
    return accept(listening, nullptr, nullptr);
  }

  std::uint16_t mPort = 0;
  Socket mListening;
  Socket mCaller;
  Socket mAnswer;
};

/** Longer than the connections of a process that ends take to be closed. */
void
Settle()
{
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
}

} // namespace

BOOST_AUTO_TEST_SUITE(processconnection)

// A sound answer breaks at its end though the process goes on.
BOOST_AUTO_TEST_CASE(EndOfTheAnswerAloneIsNotTheEndOfTheProcess)
{
  for (const bool isListening : { true, false }) {
    AnsweringServer server;
    ProcessConnection process(server.Url());
    process.Begin(server.Caller());
    const Socket observing = server.Accept();
    if (!isListening) {
      server.StopListening();
    }
    process.Observe();
    server.Answer().Close();
    process.Observe();
    BOOST_TEST(process.IsRunning(), "listening: " << isListening);
  }
}

// The next process at the address passes for the one that answered.
BOOST_AUTO_TEST_CASE(ConnectionsThatEndTogetherAreTheEndOfTheProcess)
{
  for (const bool isObserved : { false, true }) {
    AnsweringServer server;
    ProcessConnection process(server.Url());
    process.Begin(server.Caller());
    Socket observing = server.Accept();
    observing.Close();
    server.Answer().Close();
    if (isObserved) {
      process.Observe();
    }
    BOOST_TEST(!process.IsRunning(), "observed: " << isObserved);
  }
}

// A sound answer breaks since the server closes connections that are idle.
BOOST_AUTO_TEST_CASE(IdleConnectionThatIsClosedIsMadeAgain)
{
  AnsweringServer server;
  ProcessConnection process(server.Url());
  process.Begin(server.Caller());
  Socket idle = server.Accept();
  idle.Close();
  Settle();
  process.Observe();
  const Socket next = server.Accept();
  server.Answer().Close();
  BOOST_TEST(process.IsRunning());
}

// A sound answer breaks that ends as its server, which is full, resets the
// connection beside it.
BOOST_AUTO_TEST_CASE(ResetOfAFullServerIsNotTheEndOfTheProcess)
{
  for (const bool isObserved : { false, true }) {
    AnsweringServer server;
    ProcessConnection process(server.Url());
    process.Begin(server.Caller());
    Socket refused = server.Accept();
    refused.Reset();
    server.Answer().Close();
    if (isObserved) {
      process.Observe();
    }
    BOOST_TEST(process.IsRunning(), "observed: " << isObserved);
  }
}

// An answer that broke off passes for a complete one where the process ended
// before it could be observed.
BOOST_AUTO_TEST_CASE(RefusedConnectionIsTheEndOfTheProcess)
{
  AnsweringServer server;
  ProcessConnection process(server.Url());
  server.Answer().Close();
  server.StopListening();
  process.Begin(server.Caller());
  BOOST_TEST(!process.IsRunning());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
