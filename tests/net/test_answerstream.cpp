#include "answerstream.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <thread>

namespace medlarkeel {

namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

/** Answers one request with bytes that needn't be an answer. */
class RawServer
{
public:
  using Script = std::function<void(tcp::socket&)>;

  explicit RawServer(Script aScript)
    : mAcceptor(mContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , mThread([this, script = std::move(aScript)] { Serve(script); })
  {
  }
  ~RawServer() { mThread.join(); }

  HttpCall Call() const
  {
    HttpCall call;
    call.mMethod = "POST";
    call.mBody = "{}";
    call.mUrl =
      "http://127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port()) +
      "/x";
    return call;
  }

private:
  void Serve(const Script& aScript)
  {
    tcp::socket socket(mContext);
    Error error;
    mAcceptor.accept(socket, error);
    std::string request;
    while (!error && request.find("\r\n\r\n{}") == std::string::npos) {
      char buffer[4096];
      const std::size_t size =
        socket.read_some(boost::asio::buffer(buffer), error);
      request.append(buffer, size);
    }
    aScript(socket);
  }

  boost::asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::thread mThread;
};

void
Write(tcp::socket& aSocket, const std::string& aBytes)
{
  Error ignored;
  boost::asio::write(aSocket, boost::asio::buffer(aBytes), ignored);
}

RawServer::Script
Writing(const std::string& aBytes)
{
  return [aBytes](tcp::socket& aSocket) { Write(aSocket, aBytes); };
}

RawServer::Script
WithoutEnd(const std::string& aBeginning, const std::string& aBytes)
{
  return [=](tcp::socket& aSocket) {
    Write(aSocket, aBeginning);
    Error error;
    while (!error) {
      boost::asio::write(aSocket, boost::asio::buffer(aBytes), error);
    }
  };
}

const char* const kHead = "HTTP/1.1 200 OK\r\nContent-Type: ";
const char* const kStreamType = "text/event-stream";
const char* const kTwoEvents = "data: a\n\ndata: b\n\n";
const char* const kOneEventAndAHalf = "data: a\n\ndat";

/** @return The answer until the end of its connection, with a length, and in
 * one chunk. */
std::vector<std::string>
InEachFraming(const std::string& aType, const std::string& aBody)
{
  const std::string head = kHead + aType + "\r\n";
  char size[32];
  std::snprintf(size, sizeof size, "%zx", aBody.size());
  return { head + "\r\n" + aBody,
           head + "Content-Length: " + std::to_string(aBody.size()) +
             "\r\n\r\n" + aBody,
           head + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + aBody +
             "\r\n0\r\n\r\n" };
}

/** What a call brought. */
struct Received
{
  NetResult<void> mEnd = NetError{};
  std::string mBody;
  int mStatus = 0;

  std::optional<AnswerFault> Fault() const
  {
    return mEnd ? std::nullopt : mEnd.error().mFault;
  }
};

Received
Receive(const RawServer::Script& aScript, const AnswerLimits& aLimits = {})
{
  RawServer server(aScript);
  Received received;
  received.mEnd = StreamAnswer(
    server.Call(),
    aLimits,
    [&](int aStatus, const HttpHeaders&) { received.mStatus = aStatus; },
    [&](std::string_view aBytes) {
      received.mBody.append(aBytes);
      return true;
    });
  return received;
}

} // namespace

BOOST_AUTO_TEST_SUITE(answerstream)

// A complete stream without a length counts as broken.
BOOST_AUTO_TEST_CASE(SoundAnswerOfEachFramingIsComplete)
{
  for (const char* const type : { kStreamType, "application/json" }) {
    for (const std::string& answer : InEachFraming(type, kTwoEvents)) {
      const Received received = Receive(Writing(answer));
      BOOST_TEST(received.mEnd.has_value());
      BOOST_TEST(received.mBody == kTwoEvents);
    }
  }
}

// A server that ends inside an event passes for a complete stream (review/1).
BOOST_AUTO_TEST_CASE(StreamThatEndsInsideAnEventIsBroken)
{
  for (const std::string& answer :
       InEachFraming(kStreamType, kOneEventAndAHalf)) {
    const Received received = Receive(Writing(answer));
    BOOST_CHECK(received.Fault() == AnswerFault::EndInsideEvent);
    BOOST_TEST(received.mBody == "data: a\n\n");
  }
}

BOOST_AUTO_TEST_CASE(AnswerThatEndsBeforeItsFramingSaysIsBroken)
{
  const std::string head = kHead + std::string(kStreamType) + "\r\n";
  const Received shortened =
    Receive(Writing(head + "Content-Length: 99\r\n\r\ndata: a\n\n"));
  BOOST_CHECK(shortened.Fault() == AnswerFault::EndInBody);
  const Received lacksLastChunk = Receive(
    Writing(head + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n"));
  BOOST_CHECK(lacksLastChunk.Fault() == AnswerFault::EndInBody);
  const Received reset = Receive([&](tcp::socket& aSocket) {
    Write(aSocket, head + "\r\ndata: a\n\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    aSocket.set_option(boost::asio::socket_base::linger(true, 0));
    aSocket.close();
  });
  BOOST_CHECK(reset.Fault() == AnswerFault::Reset);
}

// A server that ends inside the head of its answer passes for a success with an
// empty or short body.
BOOST_AUTO_TEST_CASE(AnswerThatEndsInsideItsHeadIsBroken)
{
  for (const char* const framing :
       { "", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n" }) {
    const std::string head =
      kHead + std::string(kStreamType) + "\r\n" + framing;
    for (std::size_t size = 0; size <= head.size(); ++size) {
      const Received received = Receive(Writing(head.substr(0, size)));
      BOOST_TEST(!received.mEnd.has_value());
      BOOST_TEST(received.Fault().has_value());
      BOOST_TEST(received.mStatus == 0);
      BOOST_TEST(received.mBody.empty());
    }
  }
}

// A head, a body or an event without end is kept until memory runs out.
BOOST_AUTO_TEST_CASE(BytesWithoutEndAreGivenUp)
{
  const std::string field = "Field: " + std::string(8000, 'x') + "\r\n";
  BOOST_CHECK(Receive(WithoutEnd("HTTP/1.1 200 OK\r\n", field)).Fault() ==
              AnswerFault::HeadTooLarge);
  BOOST_CHECK(Receive(WithoutEnd("", "HTTP/1.1 103 Early\r\n\r\n")).Fault() ==
              AnswerFault::HeadTooLarge);
  const std::string bytes(16'000, 'x');
  BOOST_CHECK(Receive(WithoutEnd("HTTP/1.1 200 OK\r\n\r\n", bytes)).Fault() ==
              AnswerFault::BodyTooLarge);
  const std::string stream = kHead + std::string(kStreamType) + "\r\n\r\n";
  BOOST_CHECK(Receive(WithoutEnd(stream, bytes)).Fault() ==
              AnswerFault::EventTooLarge);
  AnswerLimits limits;
  limits.mStreamBytes = 100'000;
  BOOST_CHECK(Receive(WithoutEnd(stream, kTwoEvents), limits).Fault() ==
              AnswerFault::BodyTooLarge);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
