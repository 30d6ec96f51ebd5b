#include "verdict.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <vector>

namespace medlarkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr std::size_t kLongAnswer = 900;    // tokens
constexpr std::size_t kShownOfAnswer = 300; // bytes

/** Two services in two zones, one of which runs a confirmation. */
struct Confirmation
{
  explicit Confirmation(Fleet& aFleet)
    : mFleet(aFleet)
    , mFirst(aFleet.AddService({ "--latency_ms=1000" }, "xela-a"))
    , mSecond(aFleet.AddService({ "--latency_ms=1000" }, "xela-b"))
    , mEntry(aFleet.AddEntry())
    , mOtherEntry(aFleet.AddEntry())
  {
    aFleet.RequireReady();
    aFleet.RequireConfirmations();
    mCall = aFleet.Confirm("plaza", NewIdempotencyKey());
    mVerdict = Begin(mCall);
    BOOST_REQUIRE(WaitUntil(seconds(10), [this] { return AllRuns() == 1; }));
  }

  int AllRuns() const
  {
    return medlarkeel::AllRuns({ &mFirst, &mSecond }, "plaza");
  }

  BackendPair& Owner() { return Runs(mFirst, "plaza") == 1 ? mFirst : mSecond; }

  /** Repeats the call through the other entry and keeps what it is told. */
  void RepeatFor(milliseconds aTime)
  {
    const auto end = steady_clock::now() + aTime;
    while (steady_clock::now() < end) {
      mTold.push_back(Send(Fleet::At(mOtherEntry, mCall)));
      std::this_thread::sleep_for(milliseconds(100));
    }
  }

  /** Checks everything that any caller was told against the record. */
  void Check()
  {
    mTold.push_back(mVerdict.get());
    BOOST_TEST(AllRuns() == 1);
    for (const Verdict& verdict : mTold) {
      BOOST_TEST_CONTEXT(verdict.mStatus << " " << verdict.mBody)
      {
        CheckTruth(verdict, AllRuns());
      }
    }
  }

  Fleet& mFleet;
  BackendPair& mFirst;
  BackendPair& mSecond;
  const EntryProcess& mEntry;
  const EntryProcess& mOtherEntry;
  HttpCall mCall;
  std::future<Verdict> mVerdict;
  std::vector<Verdict> mTold;
};

void
CheckIsWholeOrAnError(const StreamedAnswer& aAnswer,
                      const std::string& aMarker,
                      std::size_t aTokens)
{
  BOOST_TEST((!aAnswer.mCleanEnd || aAnswer.mStatus >= 400 ||
              IsWhole(aAnswer, aMarker, aTokens)));
}

void
RequireExitCode(ChildProcess& aProcess, seconds aLimit, int aCode)
{
  const auto status = aProcess.WaitForEnd(aLimit);
  BOOST_REQUIRE(status.has_value());
  BOOST_TEST(WIFEXITED(*status));
  BOOST_TEST(WEXITSTATUS(*status) == aCode);
}

} // namespace

BOOST_AUTO_TEST_SUITE(twofaults)

BOOST_AUTO_TEST_CASE(OwnerFrozenDuringTheRunWithItsZoneTakenOut)
{
  Fleet fleet;
  Confirmation confirmation(fleet);
  BackendPair& owner = confirmation.Owner();
  owner.mAgent->Signal(SIGSTOP);
  confirmation.RepeatFor(seconds(1));
  const bool isFirst = &owner == &confirmation.mFirst;
  fleet.Document()["zones"][isFirst ? 0 : 1]["state"] = "out";
  fleet.Publish();
  confirmation.RepeatFor(seconds(4));
  owner.mAgent->Signal(SIGCONT);
  confirmation.RepeatFor(seconds(2));
  confirmation.Check();
}

BOOST_AUTO_TEST_CASE(OwnerCutOffDuringTheRunAndTakenForDead)
{
  Links links;
  Fleet fleet(&links);
  Confirmation confirmation(fleet);
  BackendPair& owner = confirmation.Owner();
  links.Isolate(owner.mId);
  confirmation.RepeatFor(seconds(1));
  fleet.Unlist(owner.mId);
  // Longer than the takeover: another agent owns the key by now.
  confirmation.RepeatFor(seconds(5));
  BOOST_TEST(WaitUntil(seconds(10), [&] {
    return Send(fleet.Confirm("new", NewIdempotencyKey())).mStatus == 200;
  }));
  links.Heal();
  confirmation.RepeatFor(seconds(2));
  confirmation.Check();
}

BOOST_AUTO_TEST_CASE(AgentShutsDownWhileAnotherIsKilled)
{
  constexpr std::size_t kStreams = 18;
  constexpr std::size_t kSlots = 4;
  Fleet fleet;
  fleet.SetConcurrency("proclamation", kSlots, kSlots);
  fleet.Publish();
  const std::vector<std::string> options{ "--slots=4", "--token_gap_ms=20" };
  BackendPair& leaving = fleet.AddEngine(options);
  BackendPair& killed = fleet.AddEngine(options);
  fleet.AddEngine(options);
  fleet.AddEntry();
  fleet.RequireReady();
  std::vector<std::future<StreamedAnswer>> answers;
  for (std::size_t number = 0; number < kStreams; ++number) {
    answers.push_back(
      BeginStream(fleet.Chat("m" + std::to_string(number), 60)));
  }
  BOOST_TEST(WaitForStatistic(leaving, "running", 2));
  // Callers have seen a part of what runs there.
  BOOST_TEST(WaitForStatistic(killed, "tokens", 40));
  leaving.mAgent->Signal(SIGTERM);
  killed.mAgent->Kill();
  std::size_t whole = 0;
  std::ostringstream lost;
  for (std::size_t number = 0; number < kStreams; ++number) {
    const std::string marker = "m" + std::to_string(number);
    const auto answer = answers[number].get();
    CheckIsWholeOrAnError(answer, marker, 60);
    if (IsWhole(answer, marker, 60)) {
      ++whole;
    } else {
      lost << marker << ": status " << answer.mStatus << ", "
           << answer.mBody.size() << " bytes, ends with "
           << answer.mBody.substr(
                answer.mBody.size() -
                std::min<std::size_t>(answer.mBody.size(), kShownOfAnswer))
           << '\n';
    }
  }
  // Only what ran at the killed agent may be lost.
  BOOST_TEST_INFO(lost.str());
  BOOST_TEST(whole >= kStreams - kSlots);
  if (whole < kStreams - kSlots) {
    fleet.PrintLogs();
  }
  BOOST_TEST(Statistic(leaving, "cancelled") == 0);
  RequireExitCode(*leaving.mAgent, seconds(25), 0);
}

BOOST_AUTO_TEST_CASE(EntryShutsDownWhileAnotherIsKilled)
{
  Fleet fleet;
  fleet.AddEngine({ "--token_gap_ms=20" });
  EntryProcess& leaving = fleet.AddEntry();
  EntryProcess& killed = fleet.AddEntry();
  fleet.RequireReady();
  std::vector<std::future<StreamedAnswer>> kept;
  std::vector<std::future<StreamedAnswer>> lost;
  for (int number = 0; number < 4; ++number) {
    const auto call = fleet.Chat("m" + std::to_string(number), 80);
    kept.push_back(BeginStream(Fleet::At(leaving, call)));
    lost.push_back(BeginStream(Fleet::At(killed, call)));
  }
  std::this_thread::sleep_for(milliseconds(500));
  leaving.mProcess->Signal(SIGTERM);
  killed.mProcess->Kill();
  for (std::size_t number = 0; number < kept.size(); ++number) {
    const std::string marker = "m" + std::to_string(number);
    BOOST_TEST(IsWhole(kept[number].get(), marker, 80));
    BOOST_TEST(!lost[number].get().mCleanEnd);
  }
  RequireExitCode(*leaving.mProcess, seconds(25), 0);
}

BOOST_AUTO_TEST_CASE(ShutdownBoundEndsWhatRemainsAsAnError)
{
  Fleet fleet;
  fleet.SetShutdownBound(milliseconds(1500));
  BackendPair& engine = fleet.AddEngine({ "--token_gap_ms=20" });
  BackendPair& service = fleet.AddService({ "--latency_ms=8000" });
  EntryProcess& entry = fleet.AddEntry();
  EntryProcess& leaving = fleet.AddEntry();
  fleet.RequireReady();
  auto throughEntry =
    BeginStream(Fleet::At(leaving, fleet.Chat("a", kLongAnswer)));
  BOOST_TEST(WaitForStatistic(engine, "running", 1));
  leaving.mProcess->Signal(SIGTERM);
  RequireExitCode(*leaving.mProcess, seconds(6), 1);
  const auto cut = throughEntry.get();
  BOOST_TEST(!cut.mCleanEnd);
  BOOST_TEST(!cut.mDone);
  std::vector<std::future<StreamedAnswer>> throughAgent(8);
  for (auto& answer : throughAgent) {
    answer = BeginStream(Fleet::At(entry, fleet.Chat("b", kLongAnswer)));
  }
  auto confirmed = Begin(fleet.Confirm("plaza", ""));
  BOOST_TEST(WaitForRun(service, "plaza"));
  BOOST_TEST(WaitForStatistic(engine, "running", 8));
  engine.mAgent->Signal(SIGTERM);
  service.mAgent->Signal(SIGTERM);
  RequireExitCode(*engine.mAgent, seconds(6), 1);
  RequireExitCode(*service.mAgent, seconds(6), 1);
  for (auto& answer : throughAgent) {
    const auto ended = answer.get();
    CheckIsWholeOrAnError(ended, "b", kLongAnswer);
    BOOST_TEST((ended.mStatus != 200 || ended.mErrorEvent));
  }
  const auto verdict = confirmed.get();
  BOOST_TEST(verdict.mExecuted == "unknown", verdict.mBody);
}

BOOST_AUTO_TEST_CASE(CallersThatAskAgainAfterAnOutageAreAllServed)
{
  constexpr int kCallers = 60;
  constexpr double kRetryShare = 0.2;
  constexpr double kRetryReserve = 10;
  Fleet fleet;
  BackendPair& first = fleet.AddEngine();
  BackendPair& second = fleet.AddEngine();
  fleet.AddEntry();
  fleet.RequireReady();
  first.mBackend->Kill();
  second.mBackend->Kill();
  std::atomic<int> calls{ 0 };
  std::atomic<int> served{ 0 };
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int number = 0; number < kCallers; ++number) {
    callers.emplace_back([&, number] {
      const std::string marker = "m" + std::to_string(number);
      const auto end = steady_clock::now() + seconds(40);
      while (steady_clock::now() < end) {
        ++calls;
        const auto answer = ReadStream(fleet.Chat(marker, 1));
        if (IsWhole(answer, marker, 1)) {
          ++served;
          return;
        }
        // All at once, as callers do that don't heed Retry-After.
        std::this_thread::sleep_for(seconds(1));
      }
    });
  }
  std::this_thread::sleep_for(seconds(4));
  fleet.RestartBackend(first);
  fleet.RestartBackend(second);
  for (std::thread& caller : callers) {
    caller.join();
  }
  const int attempts = CountLogged(*first.mAgent, "reservation-granted") +
                       CountLogged(*second.mAgent, "reservation-granted");
  BOOST_TEST_MESSAGE(attempts << " attempts of " << calls << " calls");
  BOOST_TEST(served == kCallers);
  BOOST_TEST(attempts <= (1 + kRetryShare) * calls + kRetryReserve);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
