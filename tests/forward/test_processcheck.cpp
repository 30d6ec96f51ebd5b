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

/** @return Whether the process at an address counts as running.
 *
 * @param aStatusPath Path of its state; empty if it tells none.
 * @param aDelay Time after its start in which the check isn't carried on, as
 * when its own process is suspended. */
bool
Check(const Endpoint& aEndpoint,
      const char* aStatusPath = "/status",
      Milliseconds aDelay = Milliseconds(0))
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
  std::this_thread::sleep_for(aDelay);
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
  explicit EndingServer(std::string aContentType,
                        std::string aStatus = "200 OK")
    : mContentType(std::move(aContentType))
    , mStatus(std::move(aStatus))
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
    std::string answer = FramedAnswer("Request: r-1\r\n",
                                      Framing::Close,
                                      "id: 1\ndata: a\n\n",
                                      "Content-Type: " + mContentType + "\r\n");
    answer.replace(answer.find("200 OK"), 6, mStatus);
    WriteBytes(socket, answer);
  }

  std::string mContentType;
  std::string mStatus;
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
  BOOST_TEST(Check(silent.Address(), ""));
}

// A process that has replaced another one and doesn't answer yet passes for it.
BOOST_AUTO_TEST_CASE(SilentServerWhoseStartIsKnownCountsAsEnded)
{
  const FakeBackend silent([](tcp::socket&, const std::string&) {});
  BOOST_TEST(!Check(silent.Address()));
}

// A sound answer counts as broken since its server is busy or suspended for a
// while.
BOOST_AUTO_TEST_CASE(ServerThatIsSilentForAWhileCountsAsRunning)
{
  constexpr Milliseconds kSilence{ 900 };
  const auto begin = std::chrono::steady_clock::now();
  const FakeBackend slow([&](tcp::socket& aSocket, const std::string& aText) {
    std::this_thread::sleep_until(begin + kSilence);
    WriteBytes(aSocket, AnswerTo(aText, 200, "1000"));
  });
  BOOST_TEST(Check(slow.Address()));
}

// A time-out that passed while the entry was suspended decides.
BOOST_AUTO_TEST_CASE(CheckThatWasSuspendedWaitsForItsAnswer)
{
  constexpr Milliseconds kSuspension{ 400 };
  const FakeBackend server([&](tcp::socket& aSocket, const std::string& aText) {
    WriteBytes(aSocket, AnswerTo(aText, 200, "1000"));
  });
  BOOST_TEST(Check(server.Address(), "/status", kSuspension));
  const FakeBackend other([&](tcp::socket& aSocket, const std::string& aText) {
    WriteBytes(aSocket, AnswerTo(aText, 200, "1001"));
  });
  BOOST_TEST(!Check(other.Address(), "/status", kSuspension));
}

BOOST_AUTO_TEST_CASE(ServerThatRefusesConnectionsHasEnded)
{
  BOOST_TEST(!Check({ "127.0.0.1", FreePort() }));
  BOOST_TEST(!Check({ "127.0.0.1", FreePort() }, ""));
}

// A server that has too many connections counts as one that ended.
BOOST_AUTO_TEST_CASE(ServerThatResetsConnectionsIsRunning)
{
  const FakeBackend full(
    [](tcp::socket& aSocket, const std::string&) { ShutDown(aSocket); });
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

// A failure without a length that its server's end cut short is passed on.
BOOST_AUTO_TEST_CASE(FailureWithoutLengthOfAnEndedServerIsNotPassedOn)
{
  const EndingServer server("text/plain", "500 Error");
  ForwardFixture fixture;
  fixture.AddListed(server.Address());
  fixture.Start();
  const SeenAnswer answer = fixture.Call("/once/x");
  BOOST_TEST(answer.Status() == 502);
  BOOST_TEST(answer.Field("Proof").empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
