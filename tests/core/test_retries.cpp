#include "circuitbreaker.h"
#include "outlierejection.h"
#include "retryafter.h"
#include "retrybudget.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace medlarkeel {

namespace {

const Timestamp kStart{ Seconds(1000) };
const BreakerSettings kBreaker;

/** Callers that are all refused in one outage and obey Retry-After. */
struct Storm
{
  static constexpr int kCallers = 3000;
  /** Requests per second that are served after the outage. */
  static constexpr int kCapacity = 100;

  std::function<Milliseconds(Timestamp)> mPlan;
  std::function<void(Timestamp)> mServed = [](Timestamp) {};
  std::map<long, int> mArrivals;
  std::map<long, int> mServedIn;
  int mAttempts = 0;

  /** @return Most arrivals in one second after the outage's first. */
  int Run()
  {
    using Queue =
      std::priority_queue<Timestamp, std::vector<Timestamp>, std::greater<>>;
    Queue due;
    for (int caller = 0; caller < kCallers; ++caller) {
      due.push(kStart);
    }
    const Timestamp outageEnd = kStart + Seconds(3);
    while (!due.empty()) {
      const Timestamp now = due.top();
      due.pop();
      const long second = (now - kStart) / Seconds(1);
      ++mArrivals[second];
      ++mAttempts;
      if (now >= outageEnd && mServedIn[second] < kCapacity) {
        ++mServedIn[second];
        mServed(now);
      } else {
        due.push(now + std::chrono::ceil<Seconds>(mPlan(now)));
      }
    }
    int most = 0;
    for (const auto& [second, arrivals] : mArrivals) {
      most = second == 0 ? most : std::max(most, arrivals);
    }
    return most;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(retries)

BOOST_AUTO_TEST_CASE(ABreakerOpensAndLetsOneRequestTry)
{
  CircuitBreaker breaker(kBreaker, 1);
  for (int count = 0; count < kBreaker.mFailuresToOpen; ++count) {
    BOOST_TEST(breaker.Allows(kStart));
    breaker.RecordFailure(kStart);
  }
  BOOST_TEST(!breaker.Allows(kStart + kBreaker.mOpenTime - Microseconds(1)));
  const Timestamp later = kStart + kBreaker.mOpenTime * 2;
  BOOST_TEST(breaker.Allows(later));
  breaker.RecordSent(later);
  BOOST_TEST(!breaker.Allows(later));
  breaker.RecordFailure(later);
  BOOST_TEST(!breaker.Allows(later + kBreaker.mOpenTime * 3 / 2));
  const Timestamp again = later + kBreaker.mOpenTime * 3;
  breaker.RecordSent(again);
  breaker.RecordSuccess();
  BOOST_TEST((breaker.State() == BreakerState::Closed));
}

BOOST_AUTO_TEST_CASE(ATrialThatNeverEndsDoesNotBlockForEver)
{
  CircuitBreaker breaker(kBreaker, 1);
  for (int count = 0; count < kBreaker.mFailuresToOpen; ++count) {
    breaker.RecordFailure(kStart);
  }
  const Timestamp trial = kStart + kBreaker.mOpenTime * 2;
  breaker.RecordSent(trial);
  BOOST_TEST(!breaker.Allows(trial + kBreaker.mTrialTimeout / 2));
  BOOST_TEST(breaker.Allows(trial + kBreaker.mTrialTimeout));
}

BOOST_AUTO_TEST_CASE(BreakersOfManyEntriesDoNotTryTogether)
{
  constexpr int kEntries = 410;
  constexpr auto kSlot = Milliseconds(50);
  const auto mostInSlot = [&](bool aOwnSeeds) {
    std::map<long, int> slots;
    for (int entry = 0; entry < kEntries; ++entry) {
      CircuitBreaker breaker(kBreaker, aOwnSeeds ? 1000 + entry : 1);
      for (int count = 0; count < kBreaker.mFailuresToOpen; ++count) {
        breaker.RecordFailure(kStart);
      }
      Timestamp at = kStart;
      while (!breaker.Allows(at)) {
        at += kSlot;
      }
      ++slots[(at - kStart) / kSlot];
    }
    int most = 0;
    for (const auto& [slot, count] : slots) {
      most = std::max(most, count);
    }
    return most;
  };
  BOOST_TEST(mostInSlot(false) == kEntries);
  BOOST_TEST(mostInSlot(true) <= kEntries / 4);
}

BOOST_AUTO_TEST_CASE(OneFarFromItsPeersIsEjectedButNotMostOfThem)
{
  std::vector<PeerHealth> peers(6);
  for (PeerHealth& peer : peers) {
    peer.mLatency = 200'000.0;
  }
  peers[2].mLatency = 2'000'000.0;
  const auto one = EjectOutliers(peers, OutlierSettings{});
  BOOST_TEST(!one.mPanic);
  for (std::size_t index = 0; index < peers.size(); ++index) {
    BOOST_TEST(one.mEjected[index] == (index == 2));
  }
  for (std::size_t index = 0; index < 4; ++index) {
    peers[index].mBreakerOpen = true;
  }
  const auto most = EjectOutliers(peers, OutlierSettings{});
  BOOST_TEST(most.mPanic);
  BOOST_TEST(std::count(most.mEjected.begin(), most.mEjected.end(), true) == 0);
}

RC_BOOST_PROP(RetriesNeverPassTheirShareOfLiveTraffic,
              (const std::vector<bool>& aIsRetry))
{
  RetryBudgetSettings settings;
  settings.mShare = 0.2;
  settings.mReserve = 3.0;
  RetryBudget budget(settings);
  double firsts = 0.0;
  double retries = 0.0;
  for (const bool isRetry : aIsRetry) {
    if (isRetry) {
      retries += budget.TryTakeRetry() ? 1.0 : 0.0;
    } else {
      budget.RecordFirstAttempt();
      firsts += 1.0;
    }
    RC_ASSERT(retries <= settings.mShare * firsts + settings.mReserve + 1e-6);
  }
}

BOOST_AUTO_TEST_CASE(TotalFailureCostsAShareWithABudgetAndAMultipleWithout)
{
  constexpr int kRequests = 1000;
  constexpr int kTries = 4;
  const RetryBudgetSettings settings;
  RetryBudget budget(settings);
  int bounded = 0;
  int naive = 0;
  for (int request = 0; request < kRequests; ++request) {
    budget.RecordFirstAttempt();
    bounded += 1;
    naive += kTries;
    for (int retry = 1; retry < kTries && budget.TryTakeRetry(); ++retry) {
      ++bounded;
    }
  }
  const double limit = (1.0 + settings.mShare) * kRequests + settings.mReserve;
  BOOST_TEST(bounded <= limit);
  BOOST_TEST(naive > limit);
}

BOOST_AUTO_TEST_CASE(CallersRefusedTogetherDoNotComeBackTogether)
{
  Storm fixed;
  fixed.mPlan = [](Timestamp) { return Milliseconds(5000); };
  BOOST_TEST(fixed.Run() > 10 * Storm::kCapacity);

  RetryAfterPlanner planner(RetryAfterSettings{}, 20261204);
  for (int index = 0; index < 60 * Storm::kCapacity; ++index) {
    planner.RecordServed(kStart - Seconds(60) +
                         index * Microseconds(1'000'000 / Storm::kCapacity));
  }
  Storm planned;
  planned.mPlan = [&](Timestamp aNow) { return planner.Plan(aNow); };
  planned.mServed = [&](Timestamp aNow) { planner.RecordServed(aNow); };
  BOOST_TEST(planned.Run() <= 2 * Storm::kCapacity);
  BOOST_TEST(planned.mAttempts <= 3 * Storm::kCallers);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
