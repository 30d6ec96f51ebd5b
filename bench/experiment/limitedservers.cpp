#include "limitedservers.h"

#include "limitedserverfleet.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace medlarkeel {

namespace {

constexpr std::array<std::pair<const char*, LimitPolicy>, 4> kPolicies{
  { { "permits", LimitPolicy::Permits },
    { "ignored", LimitPolicy::Ignored },
    { "whole-limit-each", LimitPolicy::WholeLimitPerEntry },
    { "equal-shares", LimitPolicy::EqualShares } }
};

void
PlayPolicy(const char* aName,
           LimitPolicy aPolicy,
           std::size_t aEntries,
           const LimitedServerComparison& aComparison)
{
  constexpr double kLimitFromMs = 4000.0;
  constexpr double kDurationMs = 64'000.0;
  LimitedServerPlan plan;
  plan.mEntries = aEntries;
  plan.mRequestsPerSecond = aComparison.mRequestsPerSecond;
  plan.mSkew = aComparison.mSkew;
  plan.mLossShare = aComparison.mLossShare;
  plan.mDurationMs = kDurationMs;
  plan.mLimits = { { kLimitFromMs, RequestRate{ aComparison.mLimit } } };
  double use = 0.0;
  double excess = 0.0;
  double messages = 0.0;
  for (int seed = 1; seed <= aComparison.mSeeds; ++seed) {
    const LimitedServerOutcome outcome =
      LimitedServerFleet(plan, aPolicy, static_cast<std::uint64_t>(seed))
        .Play();
    use += outcome.Use() / aComparison.mSeeds;
    excess = std::max(excess, outcome.mHighestExcess);
    messages += static_cast<double>(outcome.mPermitMessages) /
                (kDurationMs - kLimitFromMs) * 1000.0 / aComparison.mSeeds;
  }
  std::printf(
    "%-18s %8zu %8.3f %16.3f %14.1f\n", aName, aEntries, use, excess, messages);
}

} // namespace

void
CompareLimitedServers(const LimitedServerComparison& aComparison)
{
  std::printf("%-18s %8s %8s %16s %14s\n",
              "policy",
              "entries",
              "use",
              "highest excess",
              "messages/s");
  for (const std::size_t entries : aComparison.mEntries) {
    for (const auto& [name, policy] : kPolicies) {
      PlayPolicy(name, policy, entries, aComparison);
    }
  }
}

} // namespace medlarkeel
