#include "serverprocess.h"
#include "streamcaller.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <future>

namespace medlarkeel {

namespace {

constexpr PlannedFraming kFramings[] = { PlannedFraming::Chunks,
                                         PlannedFraming::Length,
                                         PlannedFraming::Close };

/** Time from a request to the disruption; some events have come then. */
constexpr Milliseconds kTimeToDisruption{ 150 };

/** Time after which an entry that is alone uses the whole retry budget. */
constexpr Milliseconds kLearnTime{ 3000 };

/** One entry and servers that are processes. */
struct EndingServers : LoopbackPlatform
{
  EndingServers()
  {
    for (const char* id : { "model-1", "model-2" }) {
      mServers.push_back(
        std::make_unique<ServerProcess>(Store(), id, Folder()));
    }
    mEntry = &StartEntry();
    BOOST_REQUIRE_MESSAGE(WaitReady(*mEntry), mEntry->mProcess->Log());
  }

  /** Asks for a stream and disrupts it amid its events. */
  template<typename Disrupt>
  StreamResult AskAmid(PlannedFraming aFraming,
                       bool aIsOldVersion,
                       const Disrupt& aDisrupt)
  {
    StreamCall call;
    call.mIsOldVersion = aIsOldVersion;
    call.mPlan.mFraming = aFraming;
    call.mPlan.mEvents = 15;
    call.mPlan.mPause = Milliseconds(30);
    call.mPlan.mKey = "k" + std::to_string(++mStreams);
    auto stream = std::async(std::launch::async, [&]() {
      return StreamCaller("c" + std::to_string(mStreams)).Ask(*mEntry, call);
    });
    std::this_thread::sleep_for(kTimeToDisruption);
    aDisrupt();
    return stream.get();
  }

  std::vector<std::unique_ptr<ServerProcess>> mServers;
  EntryProcess* mEntry = nullptr;
  int mStreams = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(serverends)

// The end of a server between two events passes for the end of its streams.
BOOST_FIXTURE_TEST_CASE(KilledServerLeavesNoStreamComplete, EndingServers)
{
  for (const PlannedFraming framing : kFramings) {
    const StreamResult result = AskAmid(framing, false, [this]() {
      mServers[0]->Kill();
      mServers[1]->Kill();
    });
    BOOST_TEST(result.mViolation == "");
    BOOST_TEST(result.mEvents > 0);
    BOOST_TEST(!result.mIsComplete);
    mServers[0]->Restart();
    mServers[1]->Restart();
  }
}

// The next process at a server's address passes for the one that ended.
BOOST_FIXTURE_TEST_CASE(RestartedServerLeavesNoStreamComplete, EndingServers)
{
  for (const PlannedFraming framing : kFramings) {
    const StreamResult result = AskAmid(framing, false, [this]() {
      mEntry->mProcess->Signal(SIGSTOP);
      mServers[0]->Restart();
      mServers[1]->Restart();
      mEntry->mProcess->Signal(SIGCONT);
    });
    BOOST_TEST(result.mViolation == "");
    BOOST_TEST(result.mEvents > 0);
    BOOST_TEST(!result.mIsComplete);
  }
}

// The next process of a server that tells no start passes for the one that
// ended.
BOOST_FIXTURE_TEST_CASE(RestartedPlainServerLeavesNoAnswerComplete,
                        EndingServers)
{
  ServerProcess desk(Store(), "desk-1", Folder(), "desk");
  for (const bool isOpaque : { false, true }) {
    StreamCall call;
    call.mRoute = "/once/";
    call.mPlan.mFraming = PlannedFraming::Close;
    call.mPlan.mIsOpaque = isOpaque;
    call.mPlan.mType = isOpaque ? PlannedType::Other : PlannedType::EventStream;
    call.mPlan.mPause = Milliseconds(isOpaque ? 400 : 30);
    call.mPlan.mEvents = 15;
    StreamCaller caller("plain");
    BOOST_TEST(WaitUntil(std::chrono::seconds(5), [&]() {
      return caller.Ask(*mEntry, call).mIsComplete;
    }));
    auto answer = std::async(std::launch::async,
                             [&]() { return caller.Ask(*mEntry, call); });
    std::this_thread::sleep_for(kTimeToDisruption);
    mEntry->mProcess->Signal(SIGSTOP);
    desk.Restart();
    mEntry->mProcess->Signal(SIGCONT);
    const StreamResult result = answer.get();
    BOOST_TEST(result.mViolation == "");
    BOOST_TEST(!result.mIsComplete);
  }
}

// A sound stream of a new process counts as broken until the directory tells
// its start.
BOOST_FIXTURE_TEST_CASE(SoundStreamsOfARestartedServerAreWhole, EndingServers)
{
  Store().SetTrouble(StoreTrouble::Silent);
  mServers[0]->Restart();
  mServers[1]->Restart();
  StreamCall call;
  call.mPlan.mFraming = PlannedFraming::Close;
  for (int i = 0; i < 4; ++i) {
    StreamCaller caller("sound" + std::to_string(i));
    const StreamResult result = caller.Ask(*mEntry, call);
    BOOST_TEST(result.mStatus == 200);
    BOOST_TEST(result.mEvents == call.mPlan.mEvents);
    BOOST_TEST(result.mIsComplete);
  }
}

// The end of an entry passes for the end of a stream of a caller without
// chunks.
BOOST_FIXTURE_TEST_CASE(KilledEntryLeavesNoStreamComplete, EndingServers)
{
  for (const PlannedFraming framing : kFramings) {
    for (const bool isOldVersion : { false, true }) {
      const StreamResult result =
        AskAmid(framing, isOldVersion, [this]() { mEntry->mProcess->Kill(); });
      BOOST_TEST(result.mViolation == "");
      BOOST_TEST(result.mEvents > 0);
      BOOST_TEST(!result.mIsComplete);
      Restart(*mEntry);
      BOOST_REQUIRE(WaitReady(*mEntry));
    }
  }
}

// A stream that can be resumed goes on in some framings only.
BOOST_FIXTURE_TEST_CASE(BrokenStreamOfEachFramingGoesOn, EndingServers)
{
  constexpr int kStreams = 8; // All together within the retry budget.
  std::this_thread::sleep_for(kLearnTime);
  for (const PlannedFraming framing : kFramings) {
    for (int i = 0; i < kStreams; ++i) {
      StreamCall call;
      call.mPlan.mFraming = framing;
      call.mPlan.mFlaw = i % 2 == 0 ? StreamFlaw::HalfEvent : StreamFlaw::Reset;
      call.mPlan.mPause = Milliseconds(2);
      call.mPlan.mKey = "k" + std::to_string(++mStreams);
      call.mIsResumable = true;
      StreamCaller caller("c" + std::to_string(mStreams));
      const StreamResult result = caller.Ask(*mEntry, call);
      BOOST_TEST(result.mViolation == "");
      BOOST_TEST(result.mIsComplete, call.mPlan.Path());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
