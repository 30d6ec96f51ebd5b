#include "../support/callercrowd.h"
#include "../support/processusage.h"
#include "fleet.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

namespace {

constexpr std::size_t kMegabyte = 1U << 20U;
constexpr std::size_t kTokens = 3;

/** Memory of the machine for which a daemon without a setting is made. */
constexpr std::size_t kMachineMemory = 512 * kMegabyte;

/** Memory that may be left after a load, above that before it: a tenth of the
 * machine's. */
constexpr std::size_t kMostLeft = kMachineMemory / 10;

constexpr std::size_t kBodyLimit = kMegabyte;

/** Bodies of this number of callers are larger than the machine's memory. */
constexpr std::size_t kCallers = 700;

constexpr std::size_t kLargePiece = 262'144;
constexpr std::size_t kSmallPiece = 4096;
constexpr std::size_t kTinyChunk = 64;

constexpr auto kSettleTime = std::chrono::seconds(15);
constexpr auto kReturnTime = std::chrono::seconds(10);

/** An entry before one engine. */
struct CrowdedDaemon
{
  CrowdedDaemon()
  {
    mFleet.AddEngine();
    mEntry = &mFleet.AddEntry();
    mFleet.RequireReady();
    BOOST_REQUIRE(WaitUntil(std::chrono::seconds(10),
                            [&]() { return IsAnswered("before"); }));
  }

  bool IsAnswered(const std::string& aMarker) const
  {
    return IsWhole(ReadStream(mFleet.Chat(aMarker, kTokens)), aMarker, kTokens);
  }

  ProcessUsage Usage() const
  {
    return UsageOf(mEntry->mProcess->Pid(), "127.0.0.1", mEntry->mPort);
  }

  std::string Head() const
  {
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: localhost\r\n"
           "Content-Type: application/json\r\nAuthorization: " +
           mFleet.Key().Authorization() + "\r\n";
  }

  /** Lets a crowd send and checks the daemon's memory, and that an ordinary
   * request is answered beside the crowd's open connections. */
  void CheckCrowd(const CrowdRequest& aRequest) const
  {
    const std::size_t before = Usage().Memory();
    UsageMonitor monitor(mEntry->mProcess->Pid(), "127.0.0.1", mEntry->mPort);
    {
      const CallerCrowd crowd("127.0.0.1", mEntry->mPort, kCallers, aRequest);
      BOOST_TEST(crowd.Connected() == kCallers);
      WaitUntil(kSettleTime, [&]() { return crowd.IsSettled(); });
      BOOST_TEST(mEntry->mProcess->IsRunning());
      BOOST_TEST(IsAnswered("beside"));
      BOOST_TEST_MESSAGE("ended by the entry: " << crowd.Ended());
    }
    const bool hasReturned = WaitUntil(
      kReturnTime, [&]() { return Usage().Memory() <= before + kMostLeft; });
    monitor.Stop();
    const std::size_t after = Usage().Memory();
    BOOST_TEST_MESSAGE("memory before, at most, after: "
                       << before / kMegabyte << ", "
                       << monitor.MostMemory() / kMegabyte << ", "
                       << after / kMegabyte << " MB");
    BOOST_TEST(monitor.MostMemory() / kMegabyte <= kMachineMemory / kMegabyte);
    BOOST_TEST(hasReturned, after / kMegabyte << " MB are left after the load");
    BOOST_TEST(mEntry->mProcess->IsRunning());
    BOOST_TEST(IsAnswered("after"));
  }

  Fleet mFleet;
  EntryProcess* mEntry = nullptr;
};

} // namespace

// Each case is a form of load that ended a process for its memory. The crowd
// and the bounds are those of the machine and stay as they are.
BOOST_AUTO_TEST_SUITE(callercrowds)

BOOST_FIXTURE_TEST_CASE(WholeBodiesThatLackTheirLastByte, CrowdedDaemon)
{
  CheckCrowd(AnnouncedBody(Head(), kBodyLimit, kBodyLimit - 1, kLargePiece));
}

BOOST_FIXTURE_TEST_CASE(BodiesInPiecesThatLackTheirLastByte, CrowdedDaemon)
{
  CheckCrowd(AnnouncedBody(Head(), kBodyLimit, kBodyLimit - 1, kSmallPiece));
}

BOOST_FIXTURE_TEST_CASE(BodiesInLargeChunksThatLackTheirEnd, CrowdedDaemon)
{
  CheckCrowd(ChunkedBody(Head(), kBodyLimit - 1, kLargePiece / 4));
}

BOOST_FIXTURE_TEST_CASE(BodiesInTinyChunksThatLackTheirEnd, CrowdedDaemon)
{
  CheckCrowd(ChunkedBody(Head(), kBodyLimit - 1, kTinyChunk));
}

BOOST_FIXTURE_TEST_CASE(AnnouncedBodiesOverTheLimit, CrowdedDaemon)
{
  CheckCrowd(
    AnnouncedBody(Head(), 16 * kBodyLimit, 2 * kBodyLimit, kLargePiece));
}

BOOST_FIXTURE_TEST_CASE(UnannouncedBodiesOverTheLimit, CrowdedDaemon)
{
  CheckCrowd(ChunkedBody(Head(), 2 * kBodyLimit, kLargePiece / 4));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
