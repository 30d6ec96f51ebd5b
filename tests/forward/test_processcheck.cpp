#include "framedanswer.h"

#include "processcheck.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

using boost::asio::ip::tcp;

constexpr Milliseconds kStart{ 1000 };

std::optional<Milliseconds>
ReadNumber(std::string_view aBody)
{
  return aBody.empty()
           ? std::nullopt
           : std::optional<Milliseconds>(std::stoi(std::string(aBody)));
}

/** @return Whether the process at an address counts as running. */
bool
Check(const Endpoint& aEndpoint, const char* aStatusPath = "/status")
{
  WireProtocol protocol;
  protocol.mExpectedBackend = "Expected";
  protocol.mStatusPath = aStatusPath;
  protocol.mReadStartTime = ReadNumber;
  CheckedProcess process;
  process.mId = InstanceId("server-0");
  process.mEndpoint = aEndpoint;
  process.mStartedAt = kStart;
  process.mHasStatus = true;
  boost::asio::io_context context;
  std::optional<bool> isRunning;
  std::make_shared<ProcessCheck>(
    context,
    protocol,
    process,
    [&](bool aIsRunning) { isRunning = aIsRunning; })
    ->Start();
  context.run();
  BOOST_REQUIRE(isRunning.has_value());
  return *isRunning;
}

/** @return Whether a server that answers so counts as the running process. */
bool
CheckAnswer(int aStatus, const std::string& aBody)
{
  const FakeBackend server([&](tcp::socket& aSocket, const std::string& aText) {
    WriteBytes(aSocket, AnswerTo(aText, aStatus, aBody));
  });
  return Check(server.Address());
}

/** A server whose process ends, as far as its connections show, when it has
 * written an answer without a length. */
class EndingServer
{
public:
  explicit EndingServer(std::string aContentType)
    : mContentType(std::move(aContentType))
    , mAcceptor(mContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , mAddress{ "127.0.0.1", mAcceptor.local_endpoint().port() }
    , mThread([this]() { Serve(); })
  {
  }
  ~EndingServer() { mThread.join(); }
  EndingServer(const EndingServer&) = delete;
  EndingServer& operator=(const EndingServer&) = delete;

  const Endpoint& Address() const { return mAddress; }

private:
  void Serve()
  {
    tcp::socket socket(mContext);
    mAcceptor.accept(socket);
    mAcceptor.close();
    std::array<char, 4096> buffer{};
    socket.read_some(boost::asio::buffer(buffer));
    WriteBytes(socket,
               FramedAnswer("Request: r-1\r\n",
                            Framing::Close,
                            "id: 1\ndata: a\n\n",
                            "Content-Type: " + mContentType + "\r\n"));
  }

  std::string mContentType;
  boost::asio::io_context mContext;
  tcp::acceptor mAcceptor;
  Endpoint mAddress;
  std::thread mThread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(processcheck)

// The next process at an address passes for the one that ended.
BOOST_AUTO_TEST_CASE(OnlyTheSameProcessCountsAsRunning)
{
  BOOST_TEST(CheckAnswer(200, "1000"));
  BOOST_TEST(!CheckAnswer(200, "1001"));
  BOOST_TEST(!CheckAnswer(421, ""));
}

// A sound answer counts as broken since its server tells nothing of itself.
BOOST_AUTO_TEST_CASE(ServerThatTellsNoStartCountsAsRunning)
{
  BOOST_TEST(CheckAnswer(200, ""));
  BOOST_TEST(CheckAnswer(404, ""));
  const FakeBackend silent([](tcp::socket&, const std::string&) {});
  BOOST_TEST(Check(silent.Address()));
  BOOST_TEST(Check(silent.Address(), ""));
}

BOOST_AUTO_TEST_CASE(ServerThatRefusesConnectionsHasEnded)
{
  BOOST_TEST(!Check({ "127.0.0.1", FreePort() }));
  BOOST_TEST(!Check({ "127.0.0.1", FreePort() }, ""));
}

// A server that has too many connections counts as one that ended.
BOOST_AUTO_TEST_CASE(ServerThatResetsConnectionsIsRunning)
{
  const FakeBackend full([](tcp::socket& aSocket, const std::string&) {
    aSocket.shutdown(tcp::socket::shutdown_both);
  });
  BOOST_TEST(Check(full.Address()));
}

// An answer without a length that its server's end cut short is a success.
BOOST_AUTO_TEST_CASE(AnswerWithoutLengthOfAnEndedServerIsBroken)
{
  {
    const EndingServer server("text/event-stream");
    ForwardFixture fixture;
    fixture.AddListed(server.Address());
    fixture.Start();
    const SeenAnswer answer = fixture.Call("/stream/x");
    BOOST_TEST(answer.Status() == 200);
    BOOST_TEST(!answer.mIsWhole);
    BOOST_TEST(BrokenAnswers(fixture, AnswerFault::ServerEnded) == 1U);
  }
  const EndingServer server("text/plain");
  ForwardFixture fixture;
  fixture.AddListed(server.Address());
  fixture.Start();
  BOOST_TEST(fixture.Call("/once/x").Status() == 502);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
