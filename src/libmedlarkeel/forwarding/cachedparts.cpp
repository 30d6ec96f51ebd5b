#include "cachedparts.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** When more parts are recorded for a server, all of its records are
 * dropped. */
constexpr std::size_t kMaximumParts = 4096;

/** Bounds of an estimated lifetime. The lower one keeps a full server from
 * losing all its parts at once. The upper one is for servers that hardly read
 * anything, whose parts other entries may evict unnoticed. */
constexpr double kShortestLifetimeSeconds = 2.0;
constexpr double kLongestLifetimeSeconds = 60.0;

Microseconds
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Microseconds>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace

double
PartLifetime::ProbabilityAt(Microseconds aAge) const
{
  if (aAge < mCertain) {
    return 1.0;
  }
  if (aAge >= mMaximum) {
    return 0.0;
  }
  return static_cast<double>((mMaximum - aAge).count()) /
         static_cast<double>((mMaximum - mCertain).count());
}

PartLifetime
EvictionLifetime(const EngineMemoryUse& aUse)
{
  const double freeTokens =
    std::max(0.0, aUse.mMemoryTokens - aUse.mRunningTokens);
  const double seconds =
    aUse.mPrefillTokensPerSecond > 0.0
      ? std::clamp(freeTokens / aUse.mPrefillTokensPerSecond,
                   kShortestLifetimeSeconds,
                   kLongestLifetimeSeconds)
      : kLongestLifetimeSeconds;
  return { FromSeconds(0.5 * seconds), FromSeconds(1.5 * seconds) };
}

Timestamp
CachedParts::RecordUse(std::uint64_t aPart, Timestamp aNow)
{
  Timestamp& lastUse = mParts[static_cast<std::uint32_t>(aPart)].mLastUse;
  const Timestamp previous = lastUse;
  lastUse = aNow;
  return previous;
}

void
CachedParts::RecordReportedUse(std::uint64_t aPart, Timestamp aNow)
{
  mParts[static_cast<std::uint32_t>(aPart)] = { aNow, aNow };
}

bool
CachedParts::TakeDueReport(std::uint64_t aPart,
                           Microseconds aInterval,
                           Timestamp aNow)
{
  Timestamp& lastReport = mParts[static_cast<std::uint32_t>(aPart)].mLastReport;
  if (aNow - lastReport < aInterval) {
    return false;
  }
  lastReport = aNow;
  return true;
}

void
CachedParts::LimitSize()
{
  if (mParts.size() > kMaximumParts) {
    mParts.clear();
  }
}

double
CachedParts::CachedTokens(const PromptDescription& aPrompt,
                          const PartLifetime& aLifetime,
                          Timestamp aNow) const
{
  const std::size_t sharedParts =
    aPrompt.mParts.empty() ? 0 : aPrompt.mParts.size() - 1;
  double cached = 0.0;
  double shared = 0.0;
  for (std::size_t i = 0; i < sharedParts; ++i) {
    shared += aPrompt.mParts[i].mTokens;
    const auto found =
      mParts.find(static_cast<std::uint32_t>(aPrompt.mParts[i].mId));
    if (found != mParts.end()) {
      // Caches are by prefix: a cached part implies all parts before it.
      const double probability =
        aLifetime.ProbabilityAt(aNow - found->second.mLastUse);
      cached = std::max(cached, probability * shared);
    }
  }
  return cached;
}

} // namespace medlarkeel
