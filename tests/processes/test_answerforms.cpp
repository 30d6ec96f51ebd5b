#include "../platform/streamplan.h"
#include "fleet.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <future>
#include <random>
#include <thread>

namespace medlarkeel {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kCallers = 6;

constexpr PlannedFraming kFramings[] = { PlannedFraming::Chunks,
                                         PlannedFraming::Length,
                                         PlannedFraming::Close };

constexpr StreamFlaw kFlaws[] = { StreamFlaw::None,
                                  StreamFlaw::None,
                                  StreamFlaw::HalfEvent,
                                  StreamFlaw::Reset };

/** An answer as its caller sees it. */
struct FormAnswer
{
  int mStatus = 0;
  std::string mBody;
  /** It ended as a complete one does. */
  bool mIsComplete = false;
};

/** An entry before one model server and one plain server of planned answers. */
class PlannedFleet
{
public:
  PlannedFleet()
    : mModel(mFleet.AddStreamServer(true))
    , mService(mFleet.AddStreamServer(false))
    , mEntry(mFleet.AddEntry())
  {
    mFleet.RequireReady();
    for (const bool isModel : { false, true }) {
      BOOST_REQUIRE(WaitUntil(std::chrono::seconds(10), [&]() {
        return Ask(StreamPlan{}, isModel).mIsComplete;
      }));
    }
  }

  BackendPair& Model() { return mModel; }
  BackendPair& Service() { return mService; }
  void Restart(BackendPair& aPair) { mFleet.RestartBackend(aPair); }

  /** Asks for the answer of a plan.
   *
   * @param aPadding Bytes that the request has behind the plan. */
  FormAnswer Ask(const StreamPlan& aPlan,
                 bool aIsModel,
                 std::size_t aPadding = 0) const
  {
    const std::string path = "/plan/" + aPlan.Path();
    HttpCall call;
    if (aIsModel) {
      call = mFleet.Chat(path, 5);
      call.mBody.insert(call.mBody.rfind('}'),
                        ",\"user\":\"" + std::string(aPadding, 'x') + '"');
    } else {
      call.mBody = std::string(aPadding, 'x');
    }
    call.mUrl = LocalUrl(
      mEntry.mPort, aIsModel ? "/v1/chat/completions" : "/s/bookings" + path);
    FormAnswer answer;
    const auto end = StreamHttp(
      call,
      [&](int aStatus, const HttpHeaders&) { answer.mStatus = aStatus; },
      [&](std::string_view aBytes) {
        answer.mBody.append(aBytes);
        return true;
      });
    answer.mIsComplete =
      end && end.value() != TransferEnd::Close && answer.mStatus == kOk;
    answer.mBody = WithoutKeepAlive(answer.mBody);
    return answer;
  }

private:
  static std::string WithoutKeepAlive(std::string aBody)
  {
    const std::string comment = ": keep-alive\n\n";
    for (std::size_t i = aBody.find(comment); i != std::string::npos;
         i = aBody.find(comment, i)) {
      aBody.erase(i, comment.size());
    }
    return aBody;
  }

  Fleet mFleet;
  BackendPair& mModel;
  BackendPair& mService;
  EntryProcess& mEntry;
};

/** @return Whether half an event of the plan can be told from other bytes. */
bool
IsJudged(const StreamPlan& aPlan, bool aIsModel)
{
  return aIsModel || StatesStream(aPlan.mType);
}

/** Calls aCheck with each form of an answer. */
template<typename Check>
void
ForEachForm(const Check& aCheck)
{
  int number = 0;
  for (const PlannedFraming framing : kFramings) {
    for (int type = 0; type < kPlannedTypes; ++type) {
      for (int lineEnd = 0; lineEnd < kPlannedLineEnds; ++lineEnd) {
        for (const bool isModel : { false, true }) {
          StreamPlan plan;
          plan.mFraming = framing;
          plan.mType = static_cast<PlannedType>(type);
          plan.mLineEnd = static_cast<PlannedLineEnd>(lineEnd);
          plan.mIsOldServer = framing != PlannedFraming::Chunks && isModel;
          plan.mPause = std::chrono::milliseconds(1);
          plan.mKey = "f" + std::to_string(++number);
          aCheck(plan, isModel);
        }
      }
    }
  }
}

StreamPlan
DrawPlan(std::mt19937& aGenerator, const std::string& aKey)
{
  const auto between = [&](int aLow, int aHigh) {
    return std::uniform_int_distribution<int>(aLow, aHigh)(aGenerator);
  };
  StreamPlan plan;
  plan.mFraming = kFramings[between(0, 2)];
  plan.mType = static_cast<PlannedType>(between(0, kPlannedTypes - 1));
  plan.mLineEnd = static_cast<PlannedLineEnd>(between(0, kPlannedLineEnds - 1));
  plan.mFlaw = kFlaws[between(0, 3)];
  plan.mEvents = between(1, 12);
  plan.mPause = std::chrono::milliseconds(between(1, 30));
  plan.mKey = aKey;
  return plan;
}

} // namespace

BOOST_AUTO_TEST_SUITE(answerforms)

// Half an event passes for a complete answer of the daemon.
BOOST_AUTO_TEST_CASE(HalfAnEventOfNoFormIsComplete)
{
  const PlannedFleet fleet;
  ForEachForm([&](StreamPlan aPlan, bool aIsModel) {
    const FormAnswer sound = fleet.Ask(aPlan, aIsModel);
    BOOST_TEST(sound.mIsComplete, aPlan.Path() << ", " << sound.mStatus);
    BOOST_TEST(sound.mBody == aPlan.Body(), aPlan.Path());
    aPlan.mFlaw = StreamFlaw::HalfEvent;
    if (IsJudged(aPlan, aIsModel)) {
      BOOST_TEST(!fleet.Ask(aPlan, aIsModel).mIsComplete, aPlan.Path());
    }
  });
}

// An answer of an agent's server that breaks off while its request is written,
// or whose status is none of HTTP, reaches the caller as an answer.
BOOST_AUTO_TEST_CASE(EarlyOrInvalidAnswersAreNeverComplete)
{
  // The agent sends the upload while the answer arrives; the limit is 1 MiB.
  constexpr std::size_t kUpload = 1'000'000;
  const PlannedFleet fleet;
  ForEachForm([&](StreamPlan aPlan, bool aIsModel) {
    for (const StreamFlaw flaw :
         { StreamFlaw::EarlyReset, StreamFlaw::InvalidStatus }) {
      aPlan.mFlaw = flaw;
      const FormAnswer answer = fleet.Ask(aPlan, aIsModel, kUpload);
      BOOST_TEST(!answer.mIsComplete, aPlan.Path());
      BOOST_TEST((answer.mStatus >= 100 && answer.mStatus <= 599),
                 aPlan.Path() << ", status " << answer.mStatus);
    }
  });
}

// The next process at a server's address passes for the one that ended.
BOOST_AUTO_TEST_CASE(RestartedServerLeavesNoAnswerComplete)
{
  PlannedFleet fleet;
  for (const bool isModel : { false, true }) {
    StreamPlan plan;
    plan.mFraming = PlannedFraming::Close;
    plan.mEvents = 15;
    plan.mPause = std::chrono::milliseconds(30);
    auto asked = std::async(std::launch::async,
                            [&]() { return fleet.Ask(plan, isModel); });
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    BackendPair& pair = isModel ? fleet.Model() : fleet.Service();
    pair.mAgent->Signal(SIGSTOP);
    pair.mBackend->Kill();
    fleet.Restart(pair);
    pair.mAgent->Signal(SIGCONT);
    const FormAnswer answer = asked.get();
    BOOST_TEST(!(answer.mIsComplete && answer.mBody != plan.Body()),
               answer.mBody);
  }
}

// An answer that broke off passes for a complete one as servers end.
BOOST_AUTO_TEST_CASE(EndedServersLeaveNoShortAnswerComplete)
{
  const char* seconds = std::getenv("SOAK_SECONDS");
  const char* seed = std::getenv("SOAK_SEED");
  const std::chrono::seconds time(seconds == nullptr ? 8 : std::atoi(seconds));
  const unsigned first = seed == nullptr ? 1U : std::strtoul(seed, nullptr, 10);
  PlannedFleet fleet;
  std::atomic<bool> isOver{ false };
  std::atomic<int> whole{ 0 };
  std::atomic<int> broken{ 0 };
  std::vector<std::string> violations(kCallers);
  std::vector<std::thread> callers;
  for (unsigned i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i]() {
      std::mt19937 generator(first * kCallers + i);
      for (int n = 0; !isOver && violations[i].empty(); ++n) {
        const StreamPlan plan = DrawPlan(
          generator, "c" + std::to_string(i) + "n" + std::to_string(n));
        const bool isModel = (n + i) % 2 == 0;
        const FormAnswer answer = fleet.Ask(plan, isModel);
        const bool isShort = answer.mBody != plan.Body();
        (answer.mIsComplete ? whole : broken) += 1;
        if (answer.mIsComplete && isShort && IsJudged(plan, isModel)) {
          violations[i] = plan.Path() + ": " + answer.mBody;
        }
      }
    });
  }
  std::mt19937 generator(first);
  for (const auto end = Clock::now() + time; Clock::now() < end;) {
    const int pause = std::uniform_int_distribution<int>(100, 900)(generator);
    std::this_thread::sleep_for(std::chrono::milliseconds(pause));
    BackendPair& pair = generator() % 2 == 0 ? fleet.Model() : fleet.Service();
    pair.mBackend->Kill();
    fleet.Restart(pair);
  }
  isOver = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const std::string& violation : violations) {
    BOOST_TEST(violation == "");
  }
  BOOST_TEST(whole > 0);
  BOOST_TEST_MESSAGE(whole << " complete answers, " << broken << " others");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
