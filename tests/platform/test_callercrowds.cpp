#include "../support/callercrowd.h"
#include "../support/processusage.h"
#include "loopbackplatform.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <cstdlib>
#include <future>

namespace medlarkeel {

namespace {

constexpr int kOk = 200;
constexpr std::size_t kMegabyte = 1U << 20U;

/** Limits of the smallest machine of an entry. */
constexpr int kMachineMemoryMb = 160;
constexpr std::size_t kMachineMemory = kMachineMemoryMb * kMegabyte;

/** Memory that may be left after a load, above that before it: a tenth of the
 * machine's. */
constexpr std::size_t kMostLeft = kMachineMemory / 10;

constexpr std::size_t kBodyLimit = 4 * kMegabyte;

/** Bodies of this number of callers are larger than the machine's memory. */
constexpr std::size_t kCallers = 60;

/** Unread bytes of this number of connections are larger than the machine's
 * memory. */
constexpr std::size_t kManyCallers = 1500;

constexpr std::size_t kLargePiece = 262'144;
constexpr std::size_t kSmallPiece = 4096;
constexpr std::size_t kTinyChunk = 64;

/** Longer than a load takes, so that no unfinished body is refused for its time
 * on a slow machine. */
constexpr int kHeaderTimeoutMs = 30'000;

constexpr auto kSettleTime = std::chrono::seconds(15);
constexpr auto kReturnTime = std::chrono::seconds(10);

const char* const kHead =
  "POST /once/crowd HTTP/1.1\r\nHost: host\r\nX-Request-Id: crowd\r\n"
  "Authorization: Token secret\r\n";

/** An entry on the smallest machine, in front of one server. */
struct CrowdedEntry : LoopbackPlatform
{
  explicit CrowdedEntry(int aMostDescriptors = 4100)
  {
    // A sanitizer would otherwise keep what the process has freed.
    setenv("ASAN_OPTIONS",
           "quarantine_size_mb=1:allocator_release_to_os_interval_ms=100",
           1);
    SetMachine(kMachineMemoryMb, aMostDescriptors);
    Document()["limits"]["max-body-bytes"] = kBodyLimit;
    Document()["limits"]["header-timeout-ms"] = kHeaderTimeoutMs;
    PublishDocument();
    AddDesk("desk-1");
    mEntry = &StartEntry();
    BOOST_REQUIRE_MESSAGE(WaitReady(*mEntry), mEntry->mProcess->Log());
    RequireAnswer("before");
  }

  void RequireAnswer(const std::string& aId) const
  {
    BOOST_TEST(mEntry->mProcess->IsRunning());
    const SeenAnswer answer =
      Call(*mEntry, aId, "/once/a", "", "an ordinary request");
    BOOST_TEST(answer.Status() == kOk);
    BOOST_TEST(answer.mIsWhole);
  }

  ProcessUsage Usage() const
  {
    return UsageOf(mEntry->mProcess->Pid(), mEntry->mAddress, mEntry->mCallers);
  }

  /** Lets a crowd send and checks the entry's memory, and that an ordinary
   * request is answered beside the crowd's open connections.
   *
   * @param aFillTime Time in which answers to the crowd fill buffers. */
  void CheckCrowd(const CrowdRequest& aRequest,
                  std::size_t aCallers = kCallers,
                  std::chrono::seconds aFillTime = {}) const
  {
    const std::size_t before = Usage().Memory();
    UsageMonitor monitor(
      mEntry->mProcess->Pid(), mEntry->mAddress, mEntry->mCallers);
    {
      const CallerCrowd crowd(
        mEntry->mAddress, mEntry->mCallers, aCallers, aRequest);
      BOOST_TEST(crowd.Connected() == aCallers);
      WaitUntil(kSettleTime, [&]() { return crowd.IsSettled(); });
      std::this_thread::sleep_for(aFillTime);
      RequireAnswer("beside");
      BOOST_TEST_MESSAGE("ended by the entry: " << crowd.Ended());
    }
    const auto isSmall = [&]() {
      return Usage().Memory() <= before + kMostLeft;
    };
    const bool hasReturned = WaitUntil(kReturnTime, isSmall);
    monitor.Stop();
    const std::size_t after = Usage().Memory();
    BOOST_TEST_MESSAGE("memory before, at most, after: "
                       << before / kMegabyte << ", "
                       << monitor.MostMemory() / kMegabyte << ", "
                       << after / kMegabyte << " MB");
    BOOST_TEST(monitor.MostMemory() / kMegabyte <= kMachineMemory / kMegabyte);
    BOOST_TEST(hasReturned, after / kMegabyte << " MB are left after the load");
    RequireAnswer("after");
  }

  EntryProcess* mEntry = nullptr;
};

/** An entry whose machine has few descriptors, 200 of them for files. */
struct EntryWithFewDescriptors : CrowdedEntry
{
  EntryWithFewDescriptors()
    : CrowdedEntry(kMostDescriptors)
  {
  }

  static constexpr int kMostDescriptors = 400;
};

} // namespace

// Each case is a form of load that ended a process for its memory. The crowd
// and the bounds are those of the machine and stay as they are.
BOOST_AUTO_TEST_SUITE(callercrowds)

BOOST_FIXTURE_TEST_CASE(WholeBodiesThatLackTheirLastByte, CrowdedEntry)
{
  CheckCrowd(AnnouncedBody(kHead, kBodyLimit, kBodyLimit - 1, kLargePiece));
}

BOOST_FIXTURE_TEST_CASE(BodiesInPiecesThatLackTheirLastByte, CrowdedEntry)
{
  CheckCrowd(AnnouncedBody(kHead, kBodyLimit, kBodyLimit - 1, kSmallPiece));
}

BOOST_FIXTURE_TEST_CASE(BodiesInLargeChunksThatLackTheirEnd, CrowdedEntry)
{
  CheckCrowd(ChunkedBody(kHead, kBodyLimit - 1, kLargePiece));
}

BOOST_FIXTURE_TEST_CASE(BodiesInTinyChunksThatLackTheirEnd, CrowdedEntry)
{
  CheckCrowd(ChunkedBody(kHead, kBodyLimit - 1, kTinyChunk));
}

BOOST_FIXTURE_TEST_CASE(AnnouncedBodiesOverTheLimit, CrowdedEntry)
{
  CheckCrowd(
    AnnouncedBody(kHead, 16 * kBodyLimit, 2 * kBodyLimit, kLargePiece));
}

BOOST_FIXTURE_TEST_CASE(UnannouncedBodiesOverTheLimit, CrowdedEntry)
{
  CheckCrowd(ChunkedBody(kHead, 2 * kBodyLimit, kLargePiece / 4));
}

BOOST_FIXTURE_TEST_CASE(ManyBodiesInLargeChunksThatLackTheirEnd, CrowdedEntry)
{
  CheckCrowd(ChunkedBody(kHead, kBodyLimit - 1, kLargePiece), kManyCallers);
}

BOOST_FIXTURE_TEST_CASE(ManyBodiesInTinyChunksThatLackTheirEnd, CrowdedEntry)
{
  CheckCrowd(ChunkedBody(kHead, kBodyLimit / 8, kTinyChunk), kManyCallers);
}

// Connections that a stopped process hasn't accepted hold memory as well.
BOOST_FIXTURE_TEST_CASE(ManyBodiesThatWaitToBeAccepted, CrowdedEntry)
{
  constexpr auto kStopTime = std::chrono::seconds(2);
  mEntry->mProcess->Signal(SIGSTOP);
  const auto resumption = std::async(std::launch::async, [&]() {
    std::this_thread::sleep_for(kStopTime);
    mEntry->mProcess->Signal(SIGCONT);
  });
  CheckCrowd(ChunkedBody(kHead, kBodyLimit / 8, kTinyChunk), kManyCallers);
}

BOOST_FIXTURE_TEST_CASE(UnfinishedHeads, CrowdedEntry)
{
  constexpr std::size_t kHeads = 800;
  CrowdRequest request;
  request.mFirst = std::string(kHead) + "X-Long: ";
  request.mPiece = std::string(kSmallPiece, 'h');
  request.mPieces = 3;
  CheckCrowd(request, kHeads);
}

// Callers that open streams and don't read them. All streams begin to flow at
// the same time, as connections that aren't read are given up after 1.5 s.
BOOST_FIXTURE_TEST_CASE(StreamsThatAreNotRead, CrowdedEntry)
{
  constexpr std::size_t kStreams = 600;
  constexpr int kStreamTimeoutMs = 60'000;
  constexpr auto kFillTime = std::chrono::seconds(4);
  FakeServerSettings server;
  server.mId = "flood-1";
  server.mService = "flood";
  server.mSlots = kStreams;
  server.mWork = Milliseconds(3000);
  server.mEvents = 200;
  server.mEventPause = Milliseconds(0);
  server.mEventPadding = kLargePiece / 4;
  AddServer(server);
  Document()["services"].push_back({ { "name", "flood" } });
  Document()["routes"][2]["service"] = "flood";
  Document()["routes"][2]["timeout-ms"] = kStreamTimeoutMs;
  PublishDocument();
  BOOST_TEST(WaitUntil(kSettleTime, [&]() {
    return Call(*mEntry, "first", "/stream/a").Status() == kOk;
  }));
  CrowdRequest request;
  request.mFirst = "POST /stream/crowd HTTP/1.1\r\nHost: host\r\n"
                   "X-Request-Id: crowd\r\nAuthorization: Token secret\r\n"
                   "Content-Length: 0\r\n\r\n";
  request.mHasSmallBuffers = true;
  CheckCrowd(request, kStreams, kFillTime);
}

// One address must neither use up the descriptors of the machine nor keep
// callers of other addresses out.
BOOST_FIXTURE_TEST_CASE(ConnectionsOfOneAddress, EntryWithFewDescriptors)
{
  constexpr std::size_t kConnections = 600;
  const CallerCrowd crowd(
    mEntry->mAddress, mEntry->mCallers, kConnections, {}, "127.9.9.9");
  BOOST_TEST(crowd.Connected() > std::size_t(kMostDescriptors));
  UsageMonitor monitor(
    mEntry->mProcess->Pid(), mEntry->mAddress, mEntry->mCallers);
  RequireAnswer("beside");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  monitor.Stop();
  BOOST_TEST_MESSAGE("descriptors at most: " << monitor.MostDescriptors());
  BOOST_TEST(monitor.MostDescriptors() <= std::size_t(kMostDescriptors));
}

// Unfinished connections must not keep ordinary callers of their address out.
BOOST_FIXTURE_TEST_CASE(OrdinaryCallerOfTheCrowdsAddress,
                        EntryWithFewDescriptors)
{
  constexpr std::size_t kConnections = 600;
  CrowdRequest unfinishedHead;
  unfinishedHead.mFirst = std::string(kHead) + "X-Long: ";
  const CallerCrowd silent(
    mEntry->mAddress, mEntry->mCallers, kConnections / 2, {}, "127.0.0.1");
  const CallerCrowd sending(mEntry->mAddress,
                            mEntry->mCallers,
                            kConnections / 2,
                            unfinishedHead,
                            "127.0.0.1");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  for (const char* id : { "r-1", "r-2", "r-3" }) {
    RequireAnswer(id);
  }
}

// Stalled bodies that fill the bound must lose their memory to a request that
// makes progress, however large it is.
BOOST_FIXTURE_TEST_CASE(LargestBodyIsServedBesideStalledBodies, CrowdedEntry)
{
  const CallerCrowd crowd(
    mEntry->mAddress,
    mEntry->mCallers,
    kCallers,
    AnnouncedBody(kHead, kBodyLimit, kBodyLimit - 1, kLargePiece));
  BOOST_TEST(crowd.Connected() == kCallers);
  WaitUntil(kSettleTime, [&]() { return crowd.IsSettled(); });
  const std::string body(kBodyLimit, 'b');
  for (const char* id : { "r-1", "r-2", "r-3" }) {
    BOOST_TEST(Call(*mEntry, id, "/once/a", "", body).Status() == kOk);
  }
  BOOST_TEST(mEntry->mProcess->IsRunning());
}

// Bodies of the largest size are served one after the other.
BOOST_FIXTURE_TEST_CASE(LargestBodyIsServed, CrowdedEntry)
{
  const std::string body(kBodyLimit, 'b');
  for (const char* id : { "r-1", "r-2", "r-3" }) {
    BOOST_TEST(Call(*mEntry, id, "/once/a", "", body).Status() == kOk);
    const auto arrivals = Arrivals(id);
    BOOST_REQUIRE(arrivals.size() == 1U);
    BOOST_TEST((arrivals[0].mBody == body));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
