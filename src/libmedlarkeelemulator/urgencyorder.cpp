#include "urgencyorder.h"

#include <algorithm>
#include <set>

namespace medlarkeel {

namespace {

constexpr double kWindowMs = 5000.0;
constexpr double kWindowStepMs = 250.0;
constexpr std::size_t kMinimumUnserved = 10;
/** At most one request in this number may be left unserved. */
constexpr std::size_t kAskedPerUnserved = 12;
constexpr std::uint64_t kSizeFactor = 2;

/** Counts a window for one class and the requests of it that are at least as
 * urgent as aPriority. */
OrderViolation
CountWindow(const FleetOutcome& aOutcome,
            double aFromMs,
            std::size_t aClass,
            const RequestPriority& aPriority)
{
  const auto isInWindow = [aFromMs](double aAtMs) {
    return aFromMs <= aAtMs && aAtMs < aFromMs + kWindowMs;
  };
  OrderViolation counts;
  counts.mFromMs = aFromMs;
  counts.mClass = aClass;
  for (const RequestOutcome& request : aOutcome.mRequests) {
    const bool isAsked = isInWindow(request.mArrivedMs) && !request.mIsExcused;
    if (isAsked && request.mClass == aClass) {
      counts.mAsked += 1;
      if (!request.mIsServed && !(aPriority < request.mPriority)) {
        counts.mUnserved += 1;
        counts.mUnservedTokens += request.mPromptTokens;
      }
    }
    if (isInWindow(request.mBegunMs) && aPriority < request.mPriority) {
      counts.mLessUrgentTokens += request.mPromptTokens;
    }
  }
  return counts;
}

bool
IsViolation(const OrderViolation& aCounts)
{
  return aCounts.mUnserved >= kMinimumUnserved &&
         aCounts.mUnserved * kAskedPerUnserved > aCounts.mAsked &&
         aCounts.mLessUrgentTokens > kSizeFactor * aCounts.mUnservedTokens;
}

} // namespace

std::optional<OrderViolation>
FindOrderViolation(const FleetOutcome& aOutcome)
{
  std::set<std::pair<std::size_t, RequestPriority>> groups;
  double endMs = 0.0;
  for (const RequestOutcome& request : aOutcome.mRequests) {
    groups.emplace(request.mClass, request.mPriority);
    endMs = std::max(endMs, request.mArrivedMs);
  }
  for (double fromMs = 0.0; fromMs < endMs; fromMs += kWindowStepMs) {
    for (const auto& [loadClass, priority] : groups) {
      const OrderViolation counts =
        CountWindow(aOutcome, fromMs, loadClass, priority);
      if (IsViolation(counts)) {
        return counts;
      }
    }
  }
  return std::nullopt;
}

} // namespace medlarkeel
