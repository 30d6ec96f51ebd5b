#include "limitedserverfleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

namespace medlarkeel {

namespace {

/** Excess that the rule allows in 4 s, besides 5 requests. */
constexpr double kAllowedExcess = 1.5;

/** Share of a limit that is to be used while there are enough requests. */
constexpr double kWantedUse = 0.75;

LimitedServerPlan
PlanFor(std::size_t aEntries, double aLimit)
{
  LimitedServerPlan plan;
  plan.mEntries = aEntries;
  plan.mSkew = 1.0;
  plan.mRequestsPerSecond = std::max(10.0, 4.0 * aLimit);
  plan.mLimits = { { 3000.0, RequestRate{ aLimit } } };
  return plan;
}

LimitedServerOutcome
Play(const LimitedServerPlan& aPlan,
     LimitPolicy aPolicy = LimitPolicy::Permits,
     std::uint64_t aSeed = 1)
{
  return LimitedServerFleet(aPlan, aPolicy, aSeed).Play();
}

void
CheckKeepsAndUses(const LimitedServerPlan& aPlan)
{
  const LimitedServerOutcome outcome = Play(aPlan);
  BOOST_TEST(outcome.mHighestExcess <= kAllowedExcess);
  BOOST_TEST(outcome.Use() >= kWantedUse);
}

} // namespace

BOOST_AUTO_TEST_SUITE(limitedserverfleet)

BOOST_AUTO_TEST_CASE(LimitHoldsAndIsUsedWithAnyNumberOfEntries)
{
  for (const std::size_t entries : { 1U, 2U, 3U, 12U, 31U, 60U, 103U }) {
    BOOST_TEST_CONTEXT(entries)
    {
      CheckKeepsAndUses(PlanFor(entries, 1.0));
    }
  }
}

BOOST_AUTO_TEST_CASE(LimitHoldsAndIsUsedAtAnyRate)
{
  for (const double rate : { 0.25, 0.5, 2.0, 10.0, 40.0 }) {
    BOOST_TEST_CONTEXT(rate)
    {
      CheckKeepsAndUses(PlanFor(12, rate));
    }
  }
}

BOOST_AUTO_TEST_CASE(OtherPoliciesExceedTheLimitOrLeaveItIdle)
{
  const LimitedServerPlan plan = PlanFor(31, 1.0);
  BOOST_TEST(Play(plan, LimitPolicy::Ignored).mHighestExcess > kAllowedExcess);
  BOOST_TEST(Play(plan, LimitPolicy::WholeLimitPerEntry).mHighestExcess >
             kAllowedExcess);
  BOOST_TEST(Play(plan, LimitPolicy::EqualShares).Use() < kWantedUse);
}

BOOST_AUTO_TEST_CASE(ChangedLimitAppliesAndEndIsNoticed)
{
  LimitedServerPlan plan = PlanFor(12, 4.0);
  plan.mRequestsPerSecond = 20.0;
  plan.mLimits.push_back({ 13'000.0, RequestRate{ 1.0 } });
  plan.mLimits.push_back({ 20'000.0, std::nullopt });
  const LimitedServerOutcome limited = Play(plan);
  BOOST_TEST(limited.mHighestExcess <= kAllowedExcess);
  // All 20 requests per second of the last 5 s reach the server again.
  plan.mLimits.back().mRate = RequestRate{ 1.0 };
  const std::size_t elsewhere = Play(plan).mSentElsewhere;
  BOOST_TEST(limited.mSentElsewhere + 80U < elsewhere);
}

BOOST_AUTO_TEST_CASE(LimitHoldsWhileEntriesFail)
{
  for (const EntryFaultKind kind : { EntryFaultKind::Restart,
                                     EntryFaultKind::Freeze,
                                     EntryFaultKind::Cut,
                                     EntryFaultKind::Join }) {
    // Each entry fails in turn, so the issuer is among them.
    for (std::size_t entry = 0; entry < 5; ++entry) {
      LimitedServerPlan plan = PlanFor(5, 2.0);
      plan.mFaults = { { kind, entry, 10'000.0, 5000.0 } };
      const LimitedServerOutcome outcome = Play(plan);
      BOOST_TEST_CONTEXT(static_cast<int>(kind) << " at entry " << entry)
      {
        BOOST_TEST(outcome.mHighestExcessOfInformed <= kAllowedExcess);
        BOOST_TEST(outcome.Use() >= kWantedUse);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(LimitHoldsInRandomFleets)
{
  const bool isKept =
    rc::check("requests of informed entries stay within the limit", []() {
      LimitedServerPlan plan;
      plan.mEntries = *rc::gen::inRange<std::size_t>(1, 16);
      plan.mZones = *rc::gen::inRange<std::size_t>(1, 6);
      plan.mSkew = *rc::gen::inRange(0, 20) / 10.0;
      plan.mMaximumDelayMs = *rc::gen::inRange(1, 40);
      plan.mLossShare = *rc::gen::inRange(0, 30) / 100.0;
      const double limit = *rc::gen::inRange(1, 200) / 10.0;
      plan.mRequestsPerSecond = limit * *rc::gen::inRange(2, 10);
      plan.mDurationMs = 20'000.0;
      plan.mLimits = { { 2000.0, RequestRate{ limit } } };
      const int faults = *rc::gen::inRange(0, 4);
      for (int i = 0; i < faults; ++i) {
        EntryFault fault;
        fault.mKind = *rc::gen::element(
          EntryFaultKind::Restart, EntryFaultKind::Freeze, EntryFaultKind::Cut);
        fault.mEntry = *rc::gen::inRange<std::size_t>(0, plan.mEntries);
        fault.mFromMs = *rc::gen::inRange(1000, 15'000);
        fault.mForMs = *rc::gen::inRange(100, 5000);
        plan.mFaults.push_back(fault);
      }
      const LimitedServerOutcome outcome =
        Play(plan, LimitPolicy::Permits, *rc::gen::inRange(1, 1'000'000));
      RC_ASSERT(outcome.mHighestExcessOfInformed <= kAllowedExcess);
    });
  BOOST_TEST(isKept);
}

// Above 40 entries, limits and addresses reach other zones by aggregators only.
BOOST_AUTO_TEST_CASE(LimitHoldsInLargeFleetsWhileEntriesFail)
{
  constexpr std::size_t kEntries = 60;
  LimitedServerPlan plan = PlanFor(kEntries, 2.0);
  plan.mLossShare = 0.05;
  plan.mMaximumDelayMs = 10.0;
  std::mt19937 random(1);
  std::uniform_real_distribution<double> beginMs(8000.0, 16'000.0);
  std::uniform_real_distribution<double> lengthMs(500.0, 5000.0);
  for (const EntryFaultKind kind : { EntryFaultKind::Restart,
                                     EntryFaultKind::Freeze,
                                     EntryFaultKind::Cut }) {
    // A third of the entries fail for up to five seconds, some together.
    plan.mFaults.clear();
    for (std::size_t entry = 0; entry < kEntries; entry += 3) {
      plan.mFaults.push_back(
        { kind, entry, beginMs(random), lengthMs(random) });
    }
    BOOST_TEST_CONTEXT(static_cast<int>(kind))
    {
      const LimitedServerOutcome outcome = Play(plan);
      BOOST_TEST(outcome.mHighestExcessOfInformed <= kAllowedExcess);
      BOOST_TEST(outcome.Use() >= kWantedUse);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
