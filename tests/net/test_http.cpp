#include "httpclient.h"
#include "httpserver.h"
#include "preparedconnection.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace medlarkeel {

namespace {

/** Plays a list of pieces and counts its own destruction. */
class ScriptedSource : public BodySource
{
public:
  ScriptedSource(std::vector<Piece> aPieces, std::atomic<int>& aDestroyed)
    : mPieces(std::move(aPieces))
    , mDestroyed(aDestroyed)
  {
  }
  ~ScriptedSource() override { ++mDestroyed; }

  Piece Next() override
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    if (mNext == mPieces.size()) {
      return { PieceKind::Data, ": waiting\n\n" };
    }
    return mPieces[mNext++];
  }

private:
  std::vector<Piece> mPieces;
  std::atomic<int>& mDestroyed;
  std::size_t mNext = 0;
};

std::unique_ptr<HttpServer>
StartServer(HttpServer::Handler aHandler,
            std::size_t aBodyLimit = 1U << 20U,
            unsigned aIdleTimeout = 30)
{
  HttpServerOptions options;
  options.mBodyLimit = aBodyLimit;
  options.mIdleTimeout = aIdleTimeout;
  auto server = HttpServer::Start(options, std::move(aHandler));
  BOOST_REQUIRE(server.has_value());
  return std::move(server.value());
}

HttpCall
CallTo(std::uint16_t aPort, const std::string& aPath)
{
  HttpCall result;
  result.mUrl = "http://127.0.0.1:" + std::to_string(aPort) + aPath;
  return result;
}

HttpServer::Handler
StreamingHandler(std::vector<Piece> aPieces, std::atomic<int>& aDestroyed)
{
  return [pieces = std::move(aPieces), &aDestroyed](const HttpRequest&) {
    HttpResponse response;
    response.mStream = std::make_unique<ScriptedSource>(pieces, aDestroyed);
    return response;
  };
}

/** The pieces of a stream, and the text that they add up to. */
struct NumberedLines
{
  NumberedLines()
  {
    constexpr int kLines = 100;
    for (int number = 0; number < kLines; ++number) {
      mPieces.push_back({ PieceKind::Data, std::to_string(number) + "\n" });
      mText += mPieces.back().mData;
    }
    mPieces.push_back({ PieceKind::End, "" });
  }

  std::vector<Piece> mPieces;
  std::string mText;
};

#ifdef __SANITIZE_THREAD__
/** The sanitizer's address space on arm64 holds 480 threads, and each caller
 * has one at the server too. */
constexpr int kMaximumCallerThreads = 200;
#else
constexpr int kMaximumCallerThreads = 400;
#endif

std::size_t
AppendBody(char* aData, std::size_t, std::size_t aSize, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize);
  return aSize;
}

/** @return The bodies of a number of simultaneous calls from this thread. */
std::vector<std::string>
FetchAtOnce(const std::string& aUrl, std::size_t aCalls)
{
  constexpr int kMaximumWaitMs = 100;
  std::vector<std::string> bodies(aCalls);
  std::vector<CURL*> calls;
  CURLM* all = curl_multi_init();
  for (std::string& body : bodies) {
    CURL* call = calls.emplace_back(curl_easy_init());
    curl_easy_setopt(call, CURLOPT_URL, aUrl.c_str());
    curl_easy_setopt(call, CURLOPT_WRITEFUNCTION, AppendBody);
    curl_easy_setopt(call, CURLOPT_WRITEDATA, &body);
    curl_easy_setopt(call, CURLOPT_TIMEOUT, 60L);
    curl_multi_add_handle(all, call);
  }
  for (int running = 1; running > 0;) {
    curl_multi_perform(all, &running);
    curl_multi_poll(all, nullptr, 0, kMaximumWaitMs, nullptr);
  }
  for (CURL* call : calls) {
    curl_multi_remove_handle(all, call);
    curl_easy_cleanup(call);
  }
  curl_multi_cleanup(all);
  return bodies;
}

template<typename Condition>
bool
Eventually(Condition aCondition)
{
  for (int round = 0; round < 500 && !aCondition(); ++round) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return aCondition();
}

/** What a caller sees of an answer up to the end of its connection. */
struct ClosedAnswer
{
  std::string mText;
  /** The connection was closed in order, not reset. */
  bool mIsClosed = false;
};

/** Sends a request and reads up to the end of the connection. */
ClosedAnswer
FetchUntilClose(std::uint16_t aPort, const std::string& aRequest)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  BOOST_REQUIRE(connect(descriptor,
                        reinterpret_cast<sockaddr*>(&address),
                        sizeof address) == 0);
  send(descriptor, aRequest.data(), aRequest.size(), MSG_NOSIGNAL);
  ClosedAnswer answer;
  char buffer[4096];
  ssize_t size = 0;
  while ((size = recv(descriptor, buffer, sizeof buffer, 0)) > 0) {
    answer.mText.append(buffer, static_cast<std::size_t>(size));
  }
  answer.mIsClosed = size == 0;
  close(descriptor);
  return answer;
}

ClosedAnswer
FetchInOldVersion(std::uint16_t aPort)
{
  return FetchUntilClose(aPort, "GET / HTTP/1.0\r\nHost: a\r\n\r\n");
}

/** Accepts connections, reads each request and closes without a reply, except
 * that the first request of all is answered. */
class ForgetfulServer
{
public:
  ForgetfulServer()
    : mListening(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* place = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof address;
    BOOST_REQUIRE(bind(mListening, place, size) == 0);
    BOOST_REQUIRE(listen(mListening, 8) == 0);
    BOOST_REQUIRE(getsockname(mListening, place, &size) == 0);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { Serve(); });
  }
  ~ForgetfulServer()
  {
    shutdown(mListening, SHUT_RDWR);
    mThread.join();
    close(mListening);
  }

  std::uint16_t mPort = 0;
  std::atomic<int> mRequests{ 0 };
  std::atomic<int> mConnections{ 0 };
  std::atomic<bool> mHangsUp{ false };

private:
  void Serve()
  {
    for (int peer = 0; (peer = accept(mListening, nullptr, nullptr)) >= 0;) {
      if (mHangsUp) {
        close(peer);
        ++mConnections;
        continue;
      }
      ++mConnections;
      ServeConnection(peer);
      close(peer);
    }
  }

  void ServeConnection(int aPeer)
  {
    char buffer[4096];
    while (recv(aPeer, buffer, sizeof buffer, 0) > 0) {
      if (++mRequests > 1) {
        return;
      }
      const char* reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      send(aPeer, reply, std::strlen(reply), MSG_NOSIGNAL);
    }
  }

  int mListening;
  std::thread mThread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(http)

BOOST_AUTO_TEST_CASE(CarriesMethodPathQueryHeadersAndBody)
{
  const auto server = StartServer([](const HttpRequest& aRequest) {
    HttpResponse response;
    response.mStatus = 201;
    response.mHeaders["X-Seen"] = aRequest.mHeaders.at("x-own");
    response.mBody = aRequest.mMethod + " " + aRequest.mPath + " " +
                     aRequest.mQuery.at("after") + " " + aRequest.mTarget +
                     " " + aRequest.mBody;
    return response;
  });
  HttpCall call = CallTo(server->Port(), "/s/book%69ngs?after=7&x=a%20b");
  call.mMethod = "PUT";
  call.mHeaders["X-Own"] = "value";
  call.mBody = std::string("a\0b", 3);
  const auto reply = SendHttp(call);
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST(reply.value().mStatus == 201);
  BOOST_TEST(reply.value().mHeaders.at("x-seen") == "value");
  BOOST_TEST(reply.value().mBody ==
             "PUT /s/book%69ngs 7 /s/book%69ngs?after=7&x=a%20b " +
               std::string("a\0b", 3));
}

BOOST_AUTO_TEST_CASE(KeepsStatusOfEmptyResponse)
{
  const auto server = StartServer([](const HttpRequest& aRequest) {
    HttpResponse response;
    response.mStatus = std::stoi(aRequest.mPath.substr(1));
    return response;
  });
  for (const int status : { 200, 204, 304, 404, 503 }) {
    const auto reply =
      SendHttp(CallTo(server->Port(), "/" + std::to_string(status)));
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply.value().mStatus == status);
    BOOST_TEST(reply.value().mBody.empty());
  }
}

BOOST_AUTO_TEST_CASE(SlowHandlerAndStreamOutliveIdleTimeout)
{
  /** Waits before each of its two pieces. */
  class SlowSource : public BodySource
  {
  public:
    Piece Next() override
    {
      std::this_thread::sleep_for(std::chrono::milliseconds(1200));
      ++mPieces;
      return mPieces > 2 ? Piece{ PieceKind::End, "" }
                         : Piece{ PieceKind::Data, "x" };
    }

  private:
    int mPieces = 0;
  };
  const auto server = StartServer(
    [](const HttpRequest&) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1200));
      HttpResponse response;
      response.mStream = std::make_unique<SlowSource>();
      return response;
    },
    1000,
    1);
  const auto reply = SendHttp(CallTo(server->Port(), "/"));
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST(reply.value().mBody == "xx");
}

BOOST_AUTO_TEST_CASE(CallerThatStopsReadingIsDropped)
{
  std::atomic<int> destroyed{ 0 };
  std::vector<Piece> script(1000, { PieceKind::Data, std::string(65536, 'x') });
  const auto server =
    StartServer(StreamingHandler(std::move(script), destroyed), 1000, 1);
  const int peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(server->Port());
  BOOST_REQUIRE(
    connect(peer, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  BOOST_REQUIRE(send(peer, request.data(), request.size(), MSG_NOSIGNAL) > 0);
  BOOST_TEST(Eventually([&] { return server->RunningRequests() == 1; }));
  BOOST_TEST(Eventually([&] { return destroyed == 1; }));
  close(peer);
}

BOOST_AUTO_TEST_CASE(ThrowingHandlerAndStreamAreErrors)
{
  class ThrowingSource : public BodySource
  {
  public:
    Piece Next() override { throw std::runtime_error("source"); }
  };
  const auto server = StartServer([](const HttpRequest& aRequest) {
    if (aRequest.mPath == "/handler") {
      throw std::runtime_error("handler");
    }
    HttpResponse response;
    response.mStream = std::make_unique<ThrowingSource>();
    return response;
  });
  BOOST_TEST(SendHttp(CallTo(server->Port(), "/handler")).value().mStatus ==
             500);
  BOOST_TEST(!SendHttp(CallTo(server->Port(), "/stream")).has_value());
}

BOOST_AUTO_TEST_CASE(RefusesOversizedRequestsAndReplies)
{
  const auto server = StartServer(
    [](const HttpRequest& aRequest) {
      HttpResponse response;
      response.mBody = aRequest.mBody + aRequest.mBody;
      return response;
    },
    1000);
  HttpCall call = CallTo(server->Port(), "/");
  call.mMethod = "POST";
  call.mBody.assign(1000, 'x');
  BOOST_TEST(SendHttp(call).value().mStatus == 200);
  call.mReplyLimit = 1999;
  BOOST_TEST((SendHttp(call).error().mKind == NetErrorKind::BadReply));
  call.mBody.assign(1001, 'x');
  BOOST_TEST(SendHttp(call).value().mStatus == 413);
  call.mBody.clear();
  call.mHeaders["X-Long"] = std::string(40000, 'y');
  BOOST_TEST(SendHttp(call).value().mStatus == 431);
  call.mHeaders["X-Long"] = std::string(200000, 'y');
  BOOST_TEST(SendHttp(call).value().mStatus == 431);
}

BOOST_AUTO_TEST_CASE(FailedStreamNeverEndsCleanly)
{
  std::atomic<int> destroyed{ 0 };
  const std::vector<std::vector<Piece>> scripts{
    { { PieceKind::Failed, "" } },
    { { PieceKind::Data, "data: 1\n\n" }, { PieceKind::Failed, "" } }
  };
  for (const auto& script : scripts) {
    const auto server = StartServer(StreamingHandler(script, destroyed));
    const auto reply = SendHttp(CallTo(server->Port(), "/"));
    BOOST_REQUIRE(!reply.has_value());
    BOOST_TEST((reply.error().mKind == NetErrorKind::PeerClosed));
  }
  BOOST_TEST(Eventually([&] { return destroyed == 2; }));
}

// A caller without chunks takes a stream that broke off for a complete one.
BOOST_AUTO_TEST_CASE(FailedStreamIsNoSuccessForACallerWithoutChunks)
{
  std::atomic<int> destroyed{ 0 };
  const auto broken = StartServer(StreamingHandler(
    { { PieceKind::Data, "data: 1\n\n" }, { PieceKind::Failed, "" } },
    destroyed));
  const ClosedAnswer cut = FetchInOldVersion(broken->Port());
  const bool isSuccess = cut.mText.find(" 200 ") != std::string::npos;
  BOOST_TEST(!(isSuccess && cut.mIsClosed), cut.mText);
  const auto sound = StartServer(StreamingHandler(
    { { PieceKind::Data, "data: 1\n\n" }, { PieceKind::End, "" } }, destroyed));
  const ClosedAnswer whole = FetchInOldVersion(sound->Port());
  BOOST_TEST(whole.mText.find(" 200 ") != std::string::npos);
  BOOST_TEST(whole.mText.find("\r\n\r\ndata: 1\n\n") != std::string::npos);
  BOOST_TEST(whole.mIsClosed);
}

BOOST_AUTO_TEST_CASE(ReaderThatStopsEndsCallAndFreesSource)
{
  std::atomic<int> destroyed{ 0 };
  const auto server = StartServer(StreamingHandler({}, destroyed));
  int pieces = 0;
  const auto outcome = StreamHttp(
    CallTo(server->Port(), "/"),
    [](int, const HttpHeaders&) {},
    [&pieces](std::string_view) { return ++pieces < 3; });
  BOOST_REQUIRE(!outcome.has_value());
  BOOST_TEST((outcome.error().mKind == NetErrorKind::StoppedByReader));
  BOOST_TEST(pieces == 3);
  BOOST_TEST(Eventually([&] { return destroyed == 1; }));
  BOOST_TEST(Eventually([&] { return server->RunningRequests() == 0; }));
}

BOOST_AUTO_TEST_CASE(SilentCallEndsByStopOrIdleLimitAndHandlerLearns)
{
  std::atomic<int> noticed{ 0 };
  const auto server = StartServer([&noticed](const HttpRequest& aRequest) {
    const bool left = Eventually(aRequest.mCallerLeft);
    noticed += left ? 1 : 0;
    return HttpResponse();
  });
  HttpCall call = CallTo(server->Port(), "/");
  int asked = 0;
  call.mShouldStop = [&asked] { return ++asked > 3; };
  BOOST_TEST((SendHttp(call).error().mKind == NetErrorKind::StoppedByReader));
  call.mShouldStop = nullptr;
  call.mIdleTimeout = std::chrono::milliseconds(100);
  BOOST_TEST((SendHttp(call).error().mKind == NetErrorKind::TimedOut));
  BOOST_TEST(Eventually([&] { return noticed == 2; }));
}

BOOST_AUTO_TEST_CASE(CallbacksMayMakeCalls)
{
  const auto server = StartServer([](const HttpRequest& aRequest) {
    std::this_thread::sleep_for(
      std::chrono::milliseconds(aRequest.mPath == "/slow" ? 300 : 0));
    HttpResponse response;
    response.mBody = aRequest.mPath;
    return response;
  });
  HttpCall call = CallTo(server->Port(), "/slow");
  const HttpCall nested = CallTo(server->Port(), "/nested");
  int whole = 0;
  call.mShouldStop = [&] {
    whole += SendHttp(nested).has_value() ? 1 : 0;
    return whole == 0;
  };
  std::string body;
  const auto outcome = StreamHttp(
    call,
    [&](int, const HttpHeaders&) {
      whole += SendHttp(nested).has_value() ? 1000 : 0;
    },
    [&body](std::string_view aData) {
      body.append(aData);
      return true;
    });
  BOOST_TEST(outcome.has_value());
  BOOST_TEST(body == "/slow");
  BOOST_TEST(whole > 1000);
}

BOOST_AUTO_TEST_CASE(NeverSendsRequestTwiceUnlessReuseIsAllowed)
{
  ForgetfulServer server;
  HttpCall call = CallTo(server.mPort, "/pay");
  call.mMethod = "POST";
  call.mBody = "{}";
  BOOST_TEST(SendHttp(call).has_value());
  BOOST_TEST((SendHttp(call).error().mKind == NetErrorKind::PeerClosed));
  BOOST_TEST(server.mRequests == 2);
}

BOOST_AUTO_TEST_CASE(PreparedConnectionCarriesItsCallUnlessServerClosedIt)
{
  ForgetfulServer server;
  const Endpoint place{ "127.0.0.1", server.mPort };
  HttpCall call = CallTo(server.mPort, "/pay");
  call.mConnection = std::make_shared<PreparedConnection>(place);
  BOOST_REQUIRE(Eventually([&] { return server.mConnections == 1; }));
  BOOST_TEST(SendHttp(call).has_value());
  BOOST_TEST(server.mConnections == 1);
  server.mHangsUp = true;
  PreparedConnection closed(place);
  BOOST_REQUIRE(Eventually([&] { return server.mConnections == 2; }));
  BOOST_TEST(closed.Release() == -1);
}

BOOST_AUTO_TEST_CASE(ConnectFailedMeansThatNothingWasSent)
{
  // Not listening after bind: the port refuses connections.
  const int refusing = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* place = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof address;
  BOOST_REQUIRE(bind(refusing, place, size) == 0);
  BOOST_REQUIRE(getsockname(refusing, place, &size) == 0);
  const std::uint16_t port = ntohs(address.sin_port);
  BOOST_TEST(
    (SendHttp(CallTo(port, "/")).error().mKind == NetErrorKind::ConnectFailed));
  // Listening but never accepting: the request is sent and stays unread.
  BOOST_REQUIRE(listen(refusing, 8) == 0);
  HttpCall call = CallTo(port, "/");
  call.mTimeout = std::chrono::milliseconds(200);
  BOOST_TEST((SendHttp(call).error().mKind == NetErrorKind::TimedOut));
  close(refusing);
}

BOOST_AUTO_TEST_CASE(ClosedPortAndTakenPortAreErrors)
{
  HttpServerOptions options;
  const auto handler = [](const HttpRequest&) { return HttpResponse(); };
  auto server = StartServer(handler);
  options.mPort = server->Port();
  const auto second = HttpServer::Start(options, handler);
  BOOST_REQUIRE(!second.has_value());
  BOOST_TEST((second.error().mKind == NetErrorKind::BindFailed));
  server->StopAccepting();
  const auto reply = SendHttp(CallTo(options.mPort, "/"));
  BOOST_REQUIRE(!reply.has_value());
  BOOST_TEST((reply.error().mKind == NetErrorKind::ConnectFailed));
}

/** The server's thread may still wait for the socket that is closed. */
BOOST_AUTO_TEST_CASE(StoppedServerAcceptsConnections)
{
  constexpr int kThreads = 8;
  constexpr int kServersPerThread = 40;
  const auto handler = [](const HttpRequest&) { return HttpResponse(); };
  std::atomic<int> refused{ 0 };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int number = 0; number < kThreads; ++number) {
    threads.emplace_back([&, number] {
      // With an address of its own, no thread gets a port of another one.
      HttpServerOptions options;
      options.mAddress = "127.0.1." + std::to_string(number + 1);
      for (int i = 0; i < kServersPerThread; ++i) {
        const auto server = HttpServer::Start(options, handler);
        if (!server) {
          return;
        }
        server.value()->StopAccepting();
        HttpCall call;
        call.mUrl = "http://" + options.mAddress + ":" +
                    std::to_string(server.value()->Port()) + "/";
        const auto reply = SendHttp(call);
        const bool isRefused =
          !reply && reply.error().mKind == NetErrorKind::ConnectFailed;
        refused += isRefused ? 1 : 0;
      }
    });
  }
  std::for_each(
    threads.begin(), threads.end(), [](auto& aThread) { aThread.join(); });
  BOOST_TEST(refused == kThreads * kServersPerThread);
}

BOOST_AUTO_TEST_CASE(FourHundredStreamsEndWhole)
{
  constexpr int kStreams = 400;
  NumberedLines lines;
  std::atomic<int> destroyed{ 0 };
  const auto server =
    StartServer(StreamingHandler(std::move(lines.mPieces), destroyed));
  std::atomic<int> whole{ 0 };
  for (int begun = 0; begun < kStreams; begun += kMaximumCallerThreads) {
    std::vector<std::thread> callers;
    const int round = std::min(kStreams - begun, kMaximumCallerThreads);
    callers.reserve(static_cast<std::size_t>(round));
    for (int number = 0; number < round; ++number) {
      callers.emplace_back([&] {
        HttpCall call = CallTo(server->Port(), "/");
        call.mTimeout = std::chrono::seconds(60);
        call.mConnectTimeout = std::chrono::seconds(30);
        const auto reply = SendHttp(call);
        const bool isWhole =
          reply.has_value() && reply.value().mBody == lines.mText;
        whole += isWhole ? 1 : 0;
      });
    }
    std::for_each(
      callers.begin(), callers.end(), [](auto& aThread) { aThread.join(); });
  }
  BOOST_TEST(whole == kStreams);
  BOOST_TEST(Eventually([&] { return destroyed == kStreams; }));
}

BOOST_AUTO_TEST_CASE(FourHundredStreamsOfOneCallerEndWhole)
{
  constexpr std::size_t kStreams = 400;
  NumberedLines lines;
  std::atomic<int> destroyed{ 0 };
  const auto server =
    StartServer(StreamingHandler(std::move(lines.mPieces), destroyed));
  const std::vector<std::string> bodies =
    FetchAtOnce(CallTo(server->Port(), "/").mUrl, kStreams);
  BOOST_TEST(std::count(bodies.begin(), bodies.end(), lines.mText) ==
             static_cast<std::ptrdiff_t>(kStreams));
  BOOST_TEST(Eventually([&] { return destroyed == kStreams; }));
}

// The end of a process passes for the end of a stream whose caller asked for
// the end of the connection.
BOOST_AUTO_TEST_CASE(StreamOfACallerThatClosesHasChunks)
{
  std::atomic<int> destroyed{ 0 };
  const auto server = StartServer(StreamingHandler(
    { { PieceKind::Data, "data: a\n\n" }, { PieceKind::Failed, "" } },
    destroyed));
  const ClosedAnswer answer = FetchUntilClose(
    server->Port(), "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  BOOST_TEST(answer.mText.find("chunked") != std::string::npos, answer.mText);
  BOOST_TEST(answer.mText.find("\r\n0\r\n") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
