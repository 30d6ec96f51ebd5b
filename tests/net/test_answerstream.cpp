#include "answerstream.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace medlarkeel {

namespace {

/** Answers one request with bytes that needn't be an answer. */
class RawServer
{
public:
  /** Gets the descriptor of the connection. */
  using Script = std::function<void(int aPeer)>;

  /** @param aEnds No connection is accepted after the first one, as when the
   * process ends. */
  explicit RawServer(Script aScript, bool aEnds = false)
    : mListening(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* place = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof address;
    BOOST_REQUIRE(bind(mListening, place, size) == 0);
    BOOST_REQUIRE(listen(mListening, 1) == 0);
    BOOST_REQUIRE(getsockname(mListening, place, &size) == 0);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this, script = std::move(aScript), aEnds] {
      const int peer = accept(mListening, nullptr, nullptr);
      if (aEnds) {
        shutdown(mListening, SHUT_RDWR);
      }
      ReadRequest(peer);
      script(peer);
      close(peer);
    });
  }
  ~RawServer()
  {
    mThread.join();
    close(mListening);
  }

  HttpCall Call() const
  {
    HttpCall call;
    call.mMethod = "POST";
    call.mBody = "{}";
    call.mUrl = "http://127.0.0.1:" + std::to_string(mPort) + "/x";
    return call;
  }

private:
  static void ReadRequest(int aPeer)
  {
    std::string request;
    char buffer[4096];
    while (request.find("\r\n\r\n{}") == std::string::npos) {
      const ssize_t size = recv(aPeer, buffer, sizeof buffer, 0);
      if (size <= 0) {
        return;
      }
      request.append(buffer, static_cast<std::size_t>(size));
    }
  }

  int mListening;
  std::uint16_t mPort = 0;
  std::thread mThread;
};

/** @return Whether all bytes were written. */
bool
Write(int aPeer, const std::string& aBytes)
{
  std::size_t written = 0;
  while (written < aBytes.size()) {
    const ssize_t size = send(
      aPeer, aBytes.data() + written, aBytes.size() - written, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(size);
  }
  return true;
}

RawServer::Script
Writing(const std::string& aBytes)
{
  return [aBytes](int aPeer) { Write(aPeer, aBytes); };
}

RawServer::Script
WithoutEnd(const std::string& aBeginning, const std::string& aBytes)
{
  return [=](int aPeer) {
    bool isOpen = Write(aPeer, aBeginning);
    while (isOpen) {
      isOpen = Write(aPeer, aBytes);
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
Receive(const RawServer::Script& aScript,
        const AnswerLimits& aLimits = {},
        bool aServerEnds = false,
        const std::string& aUpload = "{}")
{
  RawServer server(aScript, aServerEnds);
  HttpCall call = server.Call();
  call.mBody = aUpload;
  Received received;
  received.mEnd = StreamAnswer(
    call,
    aLimits,
    [&](int aStatus, const HttpHeaders&) { received.mStatus = aStatus; },
    [&](std::string_view aBytes) {
      received.mBody.append(aBytes);
      return true;
    });
  return received;
}

void
SetReset(int aPeer)
{
  const linger discarding{ 1, 0 };
  setsockopt(aPeer, SOL_SOCKET, SO_LINGER, &discarding, sizeof discarding);
}

/** Writes an answer while the request still arrives, and ends its connection.
 *
 * @param aIsReset By a reset, else in order. */
RawServer::Script
WritingEarly(const std::string& aBytes,
             bool aIsReset,
             std::chrono::milliseconds aPause)
{
  return [=](int aPeer) {
    Write(aPeer, aBytes);
    std::this_thread::sleep_for(aPause);
    if (aIsReset) {
      SetReset(aPeer);
      return;
    }
    shutdown(aPeer, SHUT_WR);
    char buffer[65'536];
    while (recv(aPeer, buffer, sizeof buffer, 0) > 0) {
    }
  };
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

// The end of a server between two events passes for the end of its answer.
BOOST_AUTO_TEST_CASE(AnswerWithoutLengthOfAnEndedServerIsBroken)
{
  for (const std::string& type : { std::string(kStreamType), std::string() }) {
    const auto answers = InEachFraming(type, kTwoEvents);
    const Received cut = Receive(Writing(answers.front()), {}, true);
    BOOST_CHECK(cut.Fault() == AnswerFault::ServerEnded);
    for (std::size_t i = 1; i < answers.size(); ++i) {
      BOOST_TEST(Receive(Writing(answers[i]), {}, true).mEnd.has_value());
    }
  }
}

// Half an event passes for a complete answer if its type is missing, another
// one, or one of two.
BOOST_AUTO_TEST_CASE(HalfAnEventOfAnyTypeIsBroken)
{
  AnswerLimits limits;
  limits.mIsStreamExpected = true;
  for (const char* const type :
       { "",
         "text/plain",
         "application/json",
         "text/event-stream",
         "application/json\r\nContent-Type: text/event-stream" }) {
    for (const std::string& answer : InEachFraming(type, kOneEventAndAHalf)) {
      const Received received = Receive(Writing(answer), limits);
      BOOST_CHECK(received.Fault() == AnswerFault::EndInsideEvent);
    }
    for (const std::string& answer : InEachFraming(type, kTwoEvents)) {
      const Received received = Receive(Writing(answer), limits);
      BOOST_TEST(received.mEnd.has_value());
      BOOST_TEST(received.mBody == kTwoEvents);
    }
  }
  for (const char* const type : { "", "text/plain", "application/json" }) {
    for (const char* const body : { "{\"a\":1}", "plain text" }) {
      for (const std::string& answer : InEachFraming(type, body)) {
        const Received received = Receive(Writing(answer), limits);
        BOOST_TEST(received.mEnd.has_value());
        BOOST_TEST(received.mBody == body);
      }
    }
  }
}

// An answer with a transfer coding other than chunks passes for one that ended
// with its last chunk, and its server isn't checked.
BOOST_AUTO_TEST_CASE(OtherTransferCodingOfAnEndedServerIsBroken)
{
  const std::string answer = kHead + std::string(kStreamType) +
                             "\r\nTransfer-Encoding: identity\r\n\r\n" +
                             kTwoEvents;
  BOOST_TEST(Receive(Writing(answer)).mEnd.has_value());
  BOOST_CHECK(Receive(Writing(answer), {}, true).Fault() ==
              AnswerFault::ServerEnded);
}

// Events that come twice reach the caller.
BOOST_AUTO_TEST_CASE(StreamWhoseIdsGoBackIsBroken)
{
  AnswerLimits limits;
  limits.mIsStreamExpected = true;
  for (const std::string& answer :
       InEachFraming(kStreamType,
                     "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
                     "id: 1\ndata: a\n\n")) {
    const Received received = Receive(Writing(answer), limits);
    BOOST_CHECK(received.Fault() == AnswerFault::EventOutOfOrder);
    BOOST_TEST(received.mBody == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
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
  const Received reset = Receive([&](int aPeer) {
    Write(aPeer, head + "\r\ndata: a\n\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    SetReset(aPeer);
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

// A reset while the request is written passes for the end of the answer, or a
// sound answer that comes so early for a broken one.
BOOST_AUTO_TEST_CASE(EarlyAnswerIsCompleteOnlyAtItsEnd)
{
  // More than the buffers of a connection hold.
  const std::string upload = "{}" + std::string(8'000'000, ' ');
  for (const char* const type : { kStreamType, "application/json" }) {
    for (const int pause : { 0, 20 }) {
      for (const std::string& answer : InEachFraming(type, kTwoEvents)) {
        const std::chrono::milliseconds time(pause);
        const std::string part = answer.substr(0, answer.find("data: b"));
        const Received cut =
          Receive(WritingEarly(part, true, time), {}, false, upload);
        BOOST_TEST(!cut.mEnd.has_value(), answer);
        const Received sound =
          Receive(WritingEarly(answer, false, time), {}, false, upload);
        BOOST_TEST(sound.mEnd.has_value(), answer);
        BOOST_TEST(sound.mBody == kTwoEvents);
      }
    }
  }
}

// An answer whose status is none of HTTP reaches the caller.
BOOST_AUTO_TEST_CASE(AnswerOfAnInvalidStatusIsBroken)
{
  for (const char* const status : { "000",
                                    "0",
                                    "",
                                    "20",
                                    "099",
                                    "2000",
                                    "600",
                                    "999",
                                    "-20",
                                    "2x0",
                                    "0200" }) {
    for (std::string answer : InEachFraming(kStreamType, kTwoEvents)) {
      answer.replace(answer.find("200"), 3, status);
      const Received received = Receive(Writing(answer));
      BOOST_CHECK(received.Fault() == AnswerFault::InvalidHead);
      BOOST_TEST(!received.mEnd.has_value(), answer);
      BOOST_TEST(received.mStatus == 0, answer);
      BOOST_TEST(received.mBody == "", answer);
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
