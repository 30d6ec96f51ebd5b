#include "framedanswer.h"

#include "answertext.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <vector>

namespace medlarkeel {

namespace {

using Socket = boost::asio::ip::tcp::socket;

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kInternalError = 500;

const char* const kJson = "{\"a\":1}";
const char* const kStreamRoutes[] = { "/stream/x", "/resume/x" };
const char* const kPlainRoutes[] = { "/once/x", "/again/x" };

/** Content-Type fields that name an event stream. */
const char* const kStreamTypes[] = {
  "Content-Type: text/event-stream\r\n",
  "content-type:Text/Event-Stream;charset=utf-8\r\n",
  "Content-Type: application/json\r\nContent-Type: text/event-stream\r\n",
  "Content-Type: text/event-stream\r\nContent-Type: application/json\r\n",
  "Content-Type: application/json, text/event-stream\r\n"
};

/** Content-Type fields that name none. */
const char* const kOtherTypes[] = { "",
                                    "Content-Type:\r\n",
                                    "Content-Type: text/plain\r\n",
                                    "Content-Type: application/json\r\n" };

/** An answer of a backend server, and who asks for it. */
struct AnswerCase
{
  std::string mPath;
  std::string mTypes;
  Framing mFraming = Framing::Close;
  std::string mBody;
  int mStatus = kOk;
  const char* mVersion = "HTTP/1.1";
  bool mIsOldCaller = false;

  std::string Text(const std::string& aRequest) const
  {
    const std::string whole = FramedAnswer(aRequest, mFraming, mBody, mTypes);
    const std::string known = "HTTP/1.1 200 OK";
    return mVersion + (" " + std::to_string(mStatus)) + " Answer" +
           whole.substr(known.size());
  }

  /** @return Whether the caller takes the server's answer for complete. */
  bool IsComplete(const SeenAnswer& aAnswer) const
  {
    return medlarkeel::IsComplete(aAnswer, mIsOldCaller) &&
           aAnswer.Status() == mStatus;
  }

  std::string Description() const
  {
    return mPath + " " + mVersion + " " + std::to_string(mStatus) + " " +
           mTypes + " framing " + std::to_string(static_cast<int>(mFraming)) +
           (mIsOldCaller ? " old caller: " : ": ") + mBody;
  }
};

/** An entry before a server that gives the answer of a case. */
class AnsweringServer : public ForwardFixture
{
public:
  AnsweringServer()
  {
    AddBackend([this](Socket& aSocket, const std::string& aRequest) {
      const AnswerCase answer = mCase; // The next one may begin meanwhile.
      mRequests += 1;
      WriteBytes(aSocket, answer.Text(aRequest));
      if (answer.mFraming == Framing::Close) {
        ShutDown(aSocket);
      }
    });
    Start();
  }

  SeenAnswer Ask(const AnswerCase& aCase)
  {
    mCase = aCase;
    if (!aCase.mIsOldCaller) {
      return Call(aCase.mPath);
    }
    Caller caller(Port());
    caller.Send(OldRequestText(aCase.mPath));
    return caller.Read();
  }

  /** @return Requests that have reached the server. */
  int Requests() const { return mRequests; }

private:
  AnswerCase mCase;
  std::atomic<int> mRequests{ 0 };
};

/** Servers whose answers break are used less, so each case has a new one. */
void
CheckBroken(const AnswerCase& aCase)
{
  AnsweringServer server;
  BOOST_TEST(!aCase.IsComplete(server.Ask(aCase)), aCase.Description());
  BOOST_TEST(server.Requests() > 0, aCase.Description());
}

void
CheckWhole(const AnswerCase& aCase)
{
  static std::unique_ptr<AnsweringServer> sServer;
  if (!sServer || aCase.mStatus >= kInternalError) {
    sServer = std::make_unique<AnsweringServer>();
  }
  const SeenAnswer answer = sServer->Ask(aCase);
  BOOST_TEST(aCase.IsComplete(answer), aCase.Description());
  BOOST_TEST(answer.mBody == aCase.mBody, aCase.Description());
}

template<typename Paths, typename Types, typename Check>
void
ForEach(const Paths& aPaths,
        const Types& aTypes,
        const std::string& aBody,
        const Check& aCheck)
{
  for (const char* const path : aPaths) {
    for (const char* const types : aTypes) {
      for (const Framing framing : kFramings) {
        aCheck({ path, types, framing, aBody });
      }
    }
  }
}

/** @return The text with other line ends. */
std::string
WithLineEnds(std::string aText, const std::string& aLineEnd)
{
  for (std::size_t i = aText.find('\n'); i != std::string::npos;
       i = aText.find('\n', i + aLineEnd.size())) {
    aText.replace(i, 1, aLineEnd);
  }
  return aText;
}

} // namespace

BOOST_AUTO_TEST_SUITE(answerforms)

// Half an event of a stream passes for a complete answer where the route isn't
// one of streams, or where there are several types.
BOOST_AUTO_TEST_CASE(HalfAnEventOfAStatedStreamIsNeverComplete)
{
  ForEach(kPlainRoutes, kStreamTypes, kOneEventAndAHalf, CheckBroken);
  ForEach(kStreamRoutes, kStreamTypes, kOneEventAndAHalf, CheckBroken);
  ForEach(kPlainRoutes, kStreamTypes, "dat", CheckBroken);
  ForEach(kStreamRoutes, kStreamTypes, "dat", CheckBroken);
}

// Half an event passes for a complete answer on the route of a stream if the
// type is missing, empty or another one.
BOOST_AUTO_TEST_CASE(HalfAnEventOnTheRouteOfAStreamIsNeverComplete)
{
  ForEach(kStreamRoutes, kOtherTypes, kOneEventAndAHalf, CheckBroken);
  ForEach(kStreamRoutes, kOtherTypes, "id: 1\nda", CheckBroken);
  ForEach(kStreamRoutes, kOtherTypes, "da", CheckBroken);
  ForEach(kStreamRoutes, kOtherTypes, "version: 3\nda", CheckBroken);
}

// Half an event passes for a complete answer if it isn't a 200 of HTTP/1.1.
BOOST_AUTO_TEST_CASE(HalfAnEventOfAnyStatusAndVersionIsNeverComplete)
{
  for (const int status : { kCreated, kNotFound, kInternalError }) {
    for (const char* const version : { "HTTP/1.0", "HTTP/1.1" }) {
      for (const bool isOldCaller : { false, true }) {
        for (const Framing framing : kFramings) {
          for (const char* const path : { "/once/x", "/resume/x" }) {
            CheckBroken({ path,
                          kStreamTypes[0],
                          framing,
                          kOneEventAndAHalf,
                          status,
                          version,
                          isOldCaller });
          }
        }
      }
    }
  }
}

// A sound stream breaks since its route or type says that it is none.
BOOST_AUTO_TEST_CASE(SoundStreamOfEachFormIsWhole)
{
  ForEach(kPlainRoutes, kStreamTypes, kTwoEvents, CheckWhole);
  ForEach(kStreamRoutes, kStreamTypes, kTwoEvents, CheckWhole);
  ForEach(kPlainRoutes, kOtherTypes, kTwoEvents, CheckWhole);
  ForEach(kStreamRoutes, kOtherTypes, kTwoEvents, CheckWhole);
}

// A sound answer without events breaks since it is taken for a stream.
BOOST_AUTO_TEST_CASE(SoundAnswerWithoutEventsIsWhole)
{
  for (const char* const body : { kJson, "plain text", "data that isn't" }) {
    ForEach(kPlainRoutes, kOtherTypes, body, CheckWhole);
    ForEach(kStreamRoutes, kOtherTypes, body, CheckWhole);
  }
  ForEach(kPlainRoutes, kOtherTypes, kOneEventAndAHalf, CheckWhole);
  for (const int status : { kNotFound, kInternalError }) {
    for (const char* const types : { kStreamTypes[0], kOtherTypes[3] }) {
      for (const Framing framing : kFramings) {
        for (const char* const body : { kJson, "", "not found" }) {
          CheckWhole({ "/once/x", types, framing, body, status });
          CheckWhole({ "/stream/x", types, framing, body, status, "HTTP/1.0" });
        }
      }
    }
  }
}

// A stream in which events begin again passes for a broken one on a route whose
// ids have no order.
BOOST_AUTO_TEST_CASE(IdsOfAStreamOnAnotherRouteHaveNoOrder)
{
  ForEach(kPlainRoutes,
          kStreamTypes,
          std::string(kTwoEvents) + kTwoEvents,
          CheckWhole);
}

// A stream that ends inside the last line end of its last event passes for a
// complete one.
BOOST_AUTO_TEST_CASE(StreamThatEndsInsideALineEndIsNotComplete)
{
  const std::string body = WithLineEnds(kTwoEvents, "\r\n");
  for (const Framing framing : kFramings) {
    for (const char* const path : { "/once/x", "/stream/x", "/resume/x" }) {
      AnswerCase answer{ path, kStreamTypes[0], framing, body };
      CheckWhole(answer);
      answer.mBody.pop_back();
      CheckBroken(answer);
      answer.mBody = WithLineEnds(kTwoEvents, "\r");
      CheckWhole(answer);
    }
  }
}

// An answer that has no body gets the last chunk of a stream as its body.
BOOST_AUTO_TEST_CASE(AnswerWithoutABodyOnTheRouteOfAStreamHasNone)
{
  for (const std::string method : { "HEAD", "POST" }) {
    ForwardFixture fixture;
    fixture.AddBackend([&](Socket& aSocket, const std::string& aRequest) {
      const int status = method == "HEAD" ? kOk : kNoContent;
      WriteBytes(aSocket,
                 "HTTP/1.1 " + std::to_string(status) + " Answer\r\nRequest: " +
                   FieldOf(aRequest, "Request") + "\r\n" + kStreamTypes[0] +
                   (method == "HEAD" ? "Transfer-Encoding: chunked\r\n" : "") +
                   "\r\n");
    });
    fixture.Start();
    Caller caller(fixture.Port());
    for (int i = 0; i < 2; ++i) {
      std::string request = ForwardFixture::RequestText("/stream/x");
      request.replace(0, 4, method);
      caller.Send(request);
      const std::string head = caller.ReadHead();
      BOOST_TEST(head.substr(0, 9) == "HTTP/1.1 ", method << ": " << head);
      BOOST_TEST(FieldOf(head, "Transfer-Encoding") == "", method);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
