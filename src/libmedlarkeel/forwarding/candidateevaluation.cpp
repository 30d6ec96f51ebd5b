#include "candidateevaluation.h"

#include "../rendezvous.h"

#include <algorithm>
#include <utility>

namespace medlarkeel {

namespace {

using Servers = std::vector<const EvaluatedServer*>;

/** @return The aCount servers with the highest rendezvous scores for a key, in
 * descending order. */
Servers
PreferredServers(const Servers& aServers,
                 std::uint64_t aKey,
                 std::size_t aCount)
{
  std::vector<std::pair<std::uint64_t, const EvaluatedServer*>> order;
  order.reserve(aServers.size());
  for (const EvaluatedServer* server : aServers) {
    const std::string& id = server->mServer.mListed->mEntry.mId.Text();
    order.emplace_back(RendezvousScore(aKey, HashText(id)), server);
  }
  const auto count =
    static_cast<std::ptrdiff_t>(std::min(aCount, order.size()));
  std::partial_sort(order.begin(),
                    order.begin() + count,
                    order.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first > aRight.first;
                    });
  Servers first;
  for (std::ptrdiff_t i = 0; i < count; ++i) {
    first.push_back(order[static_cast<std::size_t>(i)].second);
  }
  return first;
}

Servers
UsableServers(const CandidateEvaluation& aEvaluation)
{
  Servers usable;
  for (const EvaluatedServer& server : aEvaluation.mServers) {
    if (server.mServer.mIsUsable) {
      usable.push_back(&server);
    }
  }
  return usable;
}

double
MeanBacklog(const Servers& aServers)
{
  double tokens = 0.0;
  for (const EvaluatedServer* server : aServers) {
    tokens += server->mServer.mQueuedTokens;
  }
  return aServers.empty() ? 0.0 : tokens / static_cast<double>(aServers.size());
}

/** @return Mean load of the servers that are neither avoided nor cold. */
MeanLoad
MeanLoadOf(const Servers& aServers)
{
  MeanLoad load;
  std::size_t running = 0;
  for (const EvaluatedServer* evaluated : aServers) {
    const CandidateServer& server = evaluated->mServer;
    if (server.mIsAvoided || server.mIsCold) {
      continue;
    }
    load.mServers += 1;
    load.mPrefillTokens += server.mQueuedTokens;
    if (server.mListed->mEntry.mSlots > 0) {
      load.mSlots += server.mListed->mEntry.mSlots;
      running += server.mRunningRequests;
    }
  }
  if (load.mServers > 0) {
    load.mPrefillTokens /= static_cast<double>(load.mServers);
  }
  if (load.mSlots > 0) {
    load.mSlotShare =
      static_cast<double>(running) / static_cast<double>(load.mSlots);
  }
  return load;
}

/** Avoided servers can be chosen if there are no others. */
void
AllowAvoidedIfAlone(std::vector<CandidateServer>& aServers)
{
  const bool hasHealthy = std::any_of(
    aServers.begin(), aServers.end(), [](const CandidateServer& aServer) {
      return !aServer.mExclusion;
    });
  for (CandidateServer& server : aServers) {
    if (!hasHealthy && server.mExclusion == ServerExclusion::Avoided) {
      server.mExclusion.reset();
    }
  }
}

/** @return The candidates that are kept for prompts of the request's size. */
Servers
SizeGroup(const CandidateEvaluation& aEvaluation)
{
  Servers sizeGroup;
  for (const EvaluatedServer* server : aEvaluation.Candidates()) {
    if (server->mServer.mIsReservedForShort == aEvaluation.mIsShortPrompt) {
      sizeGroup.push_back(server);
    }
  }
  return sizeGroup;
}

/** @return Index of the first server with the lowest cost among those that can
 * be chosen; nothing if there are none. */
std::optional<std::size_t>
LowestCost(const std::vector<EvaluatedServer>& aServers)
{
  std::optional<std::size_t> lowest;
  double lowestCost = 0.0;
  for (std::size_t i = 0; i < aServers.size(); ++i) {
    const double cost = aServers[i].mCost.Sum();
    if (!aServers[i].mServer.mExclusion && (!lowest || cost < lowestCost)) {
      lowest = i;
      lowestCost = cost;
    }
  }
  return lowest;
}

} // namespace

std::vector<const EvaluatedServer*>
CandidateEvaluation::Candidates() const
{
  Servers candidates;
  for (const EvaluatedServer& server : mServers) {
    if (!server.mServer.mExclusion) {
      candidates.push_back(&server);
    }
  }
  return candidates;
}

CandidateEvaluator::CandidateEvaluator(const CandidateSettings& aSettings,
                                       ZoneName aZone)
  : mSettings(aSettings)
  , mZone(std::move(aZone))
  , mFixedWeightCost(MakeServerCost(ServerCostKind::FixedWeights, aSettings))
  , mExpectedDelayCost(MakeServerCost(ServerCostKind::ExpectedDelay, aSettings))
{
}

CandidateEvaluation
CandidateEvaluator::Begin(std::vector<CandidateServer> aServers) const
{
  AllowAvoidedIfAlone(aServers);
  CandidateEvaluation evaluation;
  evaluation.mServers.reserve(aServers.size());
  for (const CandidateServer& server : aServers) {
    EvaluatedServer& evaluated = evaluation.mServers.emplace_back();
    evaluated.mServer = server;
    ServerEstimate& estimate = evaluated.mEstimate;
    estimate.mQueuedTokens = server.mQueuedTokens;
    estimate.mRunningRequests = server.mRunningRequests;
    estimate.mSlots = server.mListed->mEntry.mSlots;
    estimate.mIsCold = server.mIsCold;
    estimate.mIsOtherZone = server.mListed->mEntry.mZone != mZone;
    estimate.mIsReservedForShort = server.mIsReservedForShort;
    evaluation.mCandidates += server.mExclusion ? 0 : 1;
  }
  return evaluation;
}

CandidateEvaluation
CandidateEvaluator::EvaluateForPrompt(std::vector<CandidateServer> aServers,
                                      const PromptPlacement& aRequest) const
{
  CandidateEvaluation evaluation = Begin(std::move(aServers));
  evaluation.mCostKind = aRequest.mPool.mCost;
  evaluation.mIsShortPrompt =
    aRequest.mPrompt.mPromptTokens < mSettings.mShortPromptLimit;
  const Servers usable = UsableServers(evaluation);
  evaluation.mMeanBacklog = MeanBacklog(usable);
  evaluation.mPoolLoad = MeanLoadOf(usable);
  const Servers sizeGroup = SizeGroup(evaluation);
  evaluation.mSizeGroupLoad =
    MeanLoadOf(sizeGroup.empty() ? evaluation.Candidates() : sizeGroup);
  const std::uint64_t key = aRequest.mPrompt.AffinityKey();
  const Servers preferred = PreferredServers(
    sizeGroup, key, key == 0 ? 0 : mSettings.mPreferredServers);
  const ServerCost& cost = CostOf(aRequest.mPool.mCost);
  const PlacementContext context{ evaluation.mIsShortPrompt,
                                  evaluation.mMeanBacklog };
  for (EvaluatedServer& server : evaluation.mServers) {
    const auto position =
      std::find(preferred.begin(), preferred.end(), &server);
    server.mEstimate.mIsPreferred =
      preferred.empty() || position != preferred.end();
    const PartLifetime lifetime = cost.LifetimeOfParts(
      MemoryUse(server.mServer.mRunningRequests, aRequest, usable.size()));
    server.mEstimate.mPrefillTokens =
      PrefillTokens(server.mServer,
                    aRequest,
                    !preferred.empty() && position == preferred.begin(),
                    lifetime);
    server.mCost = cost.TermsOf(server.mEstimate, context);
  }
  evaluation.mChosen = LowestCost(evaluation.mServers);
  return evaluation;
}

CandidateEvaluation
CandidateEvaluator::EvaluateWithoutPrompt(
  std::vector<CandidateServer> aServers) const
{
  /** Cost of a server outside this entry's zone, in requests. */
  constexpr double kOtherZonePenalty = 0.5;
  CandidateEvaluation evaluation = Begin(std::move(aServers));
  for (EvaluatedServer& server : evaluation.mServers) {
    server.mCost.mRunning =
      static_cast<double>(server.mEstimate.mRunningRequests);
    server.mCost.mOtherZone =
      server.mEstimate.mIsOtherZone ? kOtherZonePenalty : 0.0;
  }
  return evaluation;
}

std::uint32_t
CandidateEvaluator::PrefillTokens(const CandidateServer& aServer,
                                  const PromptPlacement& aRequest,
                                  bool aIsMostPreferred,
                                  const PartLifetime& aLifetime) const
{
  const PromptDescription& prompt = aRequest.mPrompt;
  double cached =
    aServer.mCachedParts == nullptr
      ? 0.0
      : aServer.mCachedParts->CachedTokens(prompt, aLifetime, aRequest.mNow);
  if (aIsMostPreferred) {
    cached =
      std::max(cached, prompt.SharedTokens() * mSettings.mAssumedCachedShare);
  }
  const double prefillTokens = std::max(0.0, prompt.mPromptTokens - cached);
  return static_cast<std::uint32_t>(prefillTokens);
}

EngineMemoryUse
CandidateEvaluator::MemoryUse(std::size_t aRunningRequests,
                              const PromptPlacement& aRequest,
                              std::size_t aUsable) const
{
  const double seconds =
    std::chrono::duration<double>(mSettings.mDemandTimeConstant).count();
  EngineMemoryUse use;
  use.mMemoryTokens = static_cast<double>(aRequest.mPool.mEngineMemoryTokens);
  use.mRunningTokens =
    aRequest.mMeanPromptTokens * static_cast<double>(aRunningRequests);
  use.mPrefillTokensPerSecond =
    aRequest.mDemandTokens / seconds /
    static_cast<double>(std::max<std::size_t>(1, aUsable));
  return use;
}

} // namespace medlarkeel
