#include "httpserver.h"
#include "uploadmonitor.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace medlarkeel {

namespace {

constexpr std::size_t kBodyLimit = 100'000;
constexpr std::size_t kBound = 200'000;

/** Time in which the monitor checks its requests more than once. */
constexpr auto kPause = std::chrono::milliseconds(300);
constexpr auto kLongest = std::chrono::seconds(10);

CallerMemorySettings
Settings()
{
  CallerMemorySettings settings;
  settings.mBoundBytes = kBound;
  settings.mConnectionBytes = 1000;
  settings.mUnreadBytes = 1000;
  settings.mSmallBytes = 4096;
  // No test depends on the speed of the machine.
  settings.mStallTime = std::chrono::hours(1);
  return settings;
}

/** A request on a connection whose other side a test holds. */
class Upload
{
public:
  explicit Upload(UploadMonitor& aMonitor)
    : mMonitor(aMonitor)
  {
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, mPair.data()) == 0);
    mId = mMonitor.Begin(mPair[0]);
  }
  ~Upload()
  {
    mMonitor.End(mId);
    close(mPair[0]);
    close(mPair[1]);
  }
  Upload(const Upload&) = delete;
  Upload& operator=(const Upload&) = delete;

  bool Reserve(std::size_t aBytes) { return mMonitor.Reserve(mId, aBytes); }
  bool Start(std::size_t aBytes) { return mMonitor.Start(mId, aBytes); }
  void End() { mMonitor.End(mId); }

  bool IsCut() const
  {
    char byte = 0;
    return recv(mPair[1], &byte, 1, MSG_DONTWAIT) == 0;
  }

private:
  UploadMonitor& mMonitor;
  std::array<int, 2> mPair{};
  CallerId mId;
};

/** Two bodies, and a request that needs the memory of one of them. */
struct CrowdedMonitor
{
  ~CrowdedMonitor() { mMonitor.Stop(); }

  void Crowd(std::size_t aFirst, std::size_t aSecond)
  {
    BOOST_REQUIRE(mFirst.Reserve(aFirst));
    BOOST_REQUIRE(mSecond.Reserve(aSecond));
    mThirdEnds = std::async(std::launch::async, [this, aFirst, aSecond]() {
      return mThird.Reserve(kBound - aFirst - aSecond);
    });
  }

  UploadMonitor mMonitor{ Settings(), kBodyLimit, {} };
  Upload mFirst{ mMonitor };
  Upload mSecond{ mMonitor };
  Upload mThird{ mMonitor };
  std::future<bool> mThirdEnds;
};

} // namespace

BOOST_AUTO_TEST_SUITE(uploadmonitor)

// Guards against a request that is ended and counted at each further check.
BOOST_FIXTURE_TEST_CASE(EvictedUploadIsCountedOnceUntilItIsFreed,
                        CrowdedMonitor)
{
  Crowd(60'000, 90'000);
  // The memory of the ended request isn't free before its thread says so.
  BOOST_TEST((mThirdEnds.wait_for(kPause) == std::future_status::timeout));
  BOOST_TEST(mFirst.IsCut());
  BOOST_TEST(!mSecond.IsCut());
  BOOST_TEST(!mFirst.Reserve(70'000));
  mFirst.End();
  BOOST_TEST(mThirdEnds.get());
  BOOST_TEST(mMonitor.State().mCut == 1U);
}

// Guards against a request that was cut and still runs.
BOOST_FIXTURE_TEST_CASE(EvictedUploadDoesNotRun, CrowdedMonitor)
{
  Crowd(60'000, 90'000);
  mThirdEnds.wait_for(kPause);
  BOOST_REQUIRE(mFirst.IsCut());
  BOOST_TEST(!mFirst.Start(60'000));
  mFirst.End();
  BOOST_TEST(mThirdEnds.get());
  BOOST_TEST(mSecond.Start(90'000));
}

// Guards against bodies over the limit that outlive legal ones.
BOOST_FIXTURE_TEST_CASE(UploadOverTheLimitIsEvictedFirst, CrowdedMonitor)
{
  Crowd(40'000, kBodyLimit + 1);
  mThirdEnds.wait_for(kPause);
  BOOST_TEST(mSecond.IsCut());
  BOOST_TEST(!mFirst.IsCut());
  mSecond.End();
  BOOST_TEST(mThirdEnds.get());
}

// Guards against a server that takes in a body before it asks for its memory.
BOOST_AUTO_TEST_CASE(LargeBodyWaitsWhileMemoryIsShort)
{
  UploadMonitor monitor(Settings(), kBodyLimit, {});
  Upload running(monitor);
  Upload first(monitor);
  Upload second(monitor);
  BOOST_REQUIRE(running.Reserve(50'000));
  BOOST_REQUIRE(running.Start(80'000));
  BOOST_REQUIRE(first.Reserve(60'000));
  BOOST_REQUIRE(second.Reserve(5'000));
  auto waiting = std::async(std::launch::async,
                            [&second]() { return second.Reserve(9'000); });
  BOOST_TEST((waiting.wait_for(kPause) == std::future_status::timeout));
  first.End();
  BOOST_TEST(waiting.get());
  BOOST_TEST(!second.IsCut());
}

// Guards against a stop that waits for a blocked request.
BOOST_FIXTURE_TEST_CASE(StopEndsWaitingRequests, CrowdedMonitor)
{
  Crowd(60'000, 90'000);
  BOOST_TEST((mThirdEnds.wait_for(kPause) == std::future_status::timeout));
  mMonitor.Stop();
  BOOST_TEST(!mThirdEnds.get());
}

// Guards against a library that collects bodies without asking, as another
// version of it may do.
BOOST_AUTO_TEST_CASE(ServerCountsABodyWhileItArrives)
{
  constexpr std::size_t kSize = 500'000;
  HttpServerOptions options;
  options.mMemoryBound = 10'000'000;
  std::atomic<std::size_t> held{ 0 };
  std::atomic<const HttpServer*> used{ nullptr };
  const auto server = HttpServer::Start(options, [&](const HttpRequest& aCall) {
    held = used.load()->Uploads().mHeldBytes;
    HttpResponse response;
    response.mBody = aCall.mBody;
    return response;
  });
  BOOST_REQUIRE(server.has_value());
  used = server.value().get();
  const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(used.load()->Port());
  BOOST_REQUIRE(connect(caller,
                        reinterpret_cast<sockaddr*>(&address),
                        sizeof address) == 0);
  const std::string text =
    "POST /?a=b HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: "
    "text/plain\r\nContent-Length: " +
    std::to_string(kSize) + "\r\n\r\n" + std::string(kSize - 1, 'b');
  BOOST_REQUIRE(send(caller, text.data(), text.size(), MSG_NOSIGNAL) > 0);
  const auto bound = std::chrono::steady_clock::now() + kLongest;
  while (used.load()->Uploads().mHeldBytes < kSize &&
         std::chrono::steady_clock::now() < bound) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  BOOST_TEST(used.load()->Uploads().mHeldBytes >= kSize - 1);
  BOOST_REQUIRE(send(caller, "e", 1, MSG_NOSIGNAL) == 1);
  std::string answer;
  std::array<char, 65'536> buffer{};
  ssize_t size = 0;
  while ((size = recv(caller, buffer.data(), buffer.size(), 0)) > 0) {
    answer.append(buffer.data(), static_cast<std::size_t>(size));
  }
  close(caller);
  BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 200");
  BOOST_TEST((answer.substr(answer.find("\r\n\r\n") + 4) ==
              std::string(kSize - 1, 'b') + "e"));
  BOOST_TEST(held >= 2 * kSize);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
