#include "backendchooser.h"

#include "../rendezvous.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace medlarkeel {

namespace {

/** Seed of the hash that selects the servers reserved for short prompts; keeps
 * it independent of the other hashes. */
constexpr std::uint64_t kShortPromptHashSeed = 0x5eed0001;

/** Prompts over which the mean size of a prompt is averaged. */
constexpr double kAveragedPrompts = 64.0;

/** Limits a mean load to what a part of the requests causes. */
void
LimitLoad(const ServerLoad& aPart, MeanLoad& aLoad)
{
  if (aLoad.mSlots > 0) {
    aLoad.mSlotShare = std::min(aLoad.mSlotShare,
                                static_cast<double>(aPart.mRequests) /
                                  static_cast<double>(aLoad.mSlots));
  }
  if (aLoad.mServers > 0) {
    aLoad.mPrefillTokens = std::min(aLoad.mPrefillTokens,
                                    static_cast<double>(aPart.mPrefillTokens) /
                                      static_cast<double>(aLoad.mServers));
  }
}

} // namespace

BackendChooser::BackendChooser(const BackendChooserSettings& aSettings,
                               ZoneName aZone,
                               std::uint64_t aSeed)
  : mSettings(aSettings)
  , mEvaluator(aSettings, std::move(aZone))
  , mRandom(aSeed)
{
}

std::optional<BackendChoice>
BackendChooser::Choose(const std::vector<const ListedBackend*>& aUsable,
                       const std::optional<PromptDescription>& aPrompt,
                       const std::set<InstanceId>& aExcluded,
                       const ColdLimit& aColdLimit,
                       Timestamp aNow,
                       const PoolPlacement& aPlacement)
{
  PrepareStates(aUsable, aExcluded, aNow);
  std::vector<PoolServer> servers;
  servers.reserve(aUsable.size());
  for (const ListedBackend* server : aUsable) {
    servers.push_back({ server, std::nullopt });
  }
  const CandidateEvaluation evaluation =
    Evaluate(servers, aPrompt, aExcluded, aColdLimit, aNow, aPlacement);
  if (evaluation.mCandidates == 0) {
    return std::nullopt;
  }
  if (!aPrompt) {
    return ChooseWithoutPrompt(evaluation);
  }
  mMeanBacklog = evaluation.mMeanBacklog;
  return ChoiceOf(evaluation, *evaluation.Chosen());
}

void
BackendChooser::PrepareStates(const std::vector<const ListedBackend*>& aUsable,
                              const std::set<InstanceId>& aExcluded,
                              Timestamp aNow)
{
  for (const ListedBackend* server : aUsable) {
    if (aExcluded.count(server->mEntry.mId) != 0 ||
        NotBefore(server->mProcessHash, aNow)) {
      continue;
    }
    std::deque<Timestamp>& sent = mServers[server->mEntry.mId].mColdRequests;
    while (aNow < server->mColdUntil && !sent.empty() &&
           sent.front() + mSettings.mColdLimitWindow <= aNow) {
      sent.pop_front();
    }
  }
}

CandidateEvaluation
BackendChooser::Evaluate(const std::vector<PoolServer>& aServers,
                         const std::optional<PromptDescription>& aPrompt,
                         const std::set<InstanceId>& aExcluded,
                         const ColdLimit& aColdLimit,
                         Timestamp aNow,
                         const PoolPlacement& aPlacement) const
{
  std::vector<CandidateServer> servers;
  servers.reserve(aServers.size());
  std::vector<const ListedBackend*> usable;
  for (const PoolServer& server : aServers) {
    servers.push_back(Describe(server, aExcluded, aColdLimit, aNow));
    if (!server.mExclusion) {
      usable.push_back(server.mServer);
    }
  }
  if (!aPrompt) {
    return mEvaluator.EvaluateWithoutPrompt(std::move(servers));
  }
  const std::set<InstanceId> reservedForShort = ServersForShortPrompts(usable);
  for (CandidateServer& server : servers) {
    server.mIsReservedForShort =
      reservedForShort.count(server.mListed->mEntry.mId) != 0;
  }
  const double demand = mDemand.mShortPromptDemand + mDemand.mLongPromptDemand +
                        mPeerLoad.mDemand.mShortPromptDemand +
                        mPeerLoad.mDemand.mLongPromptDemand;
  return mEvaluator.EvaluateForPrompt(
    std::move(servers),
    { *aPrompt, aPlacement, demand, mMeanPromptTokens, aNow });
}

CandidateServer
BackendChooser::Describe(const PoolServer& aServer,
                         const std::set<InstanceId>& aExcluded,
                         const ColdLimit& aColdLimit,
                         Timestamp aNow) const
{
  static const ServerState sUnknown{};
  const ListedBackend& listed = *aServer.mServer;
  const InstanceId& id = listed.mEntry.mId;
  const auto found = mServers.find(id);
  const ServerState& state = found == mServers.end() ? sUnknown : found->second;
  const ServerLoad peerLoad = PeerLoad(id);
  CandidateServer server;
  server.mListed = &listed;
  server.mIsUsable = !aServer.mExclusion;
  server.mExclusion =
    aServer.mExclusion
      ? aServer.mExclusion
      : ExclusionOf(listed, state, aExcluded, aColdLimit, aNow);
  server.mIsAvoided = state.mHealth.IsAvoided(aNow);
  server.mIsCold = aNow < listed.mColdUntil;
  server.mRunningRequests = state.mRequests + peerLoad.mRequests;
  server.mQueuedTokens = state.mPrefillTokens + peerLoad.mPrefillTokens;
  server.mCachedParts = &state.mCachedParts;
  return server;
}

std::optional<ServerExclusion>
BackendChooser::ExclusionOf(const ListedBackend& aServer,
                            const ServerState& aState,
                            const std::set<InstanceId>& aTried,
                            const ColdLimit& aColdLimit,
                            Timestamp aNow) const
{
  const InstanceId& id = aServer.mEntry.mId;
  if (aTried.count(id) != 0) {
    return ServerExclusion::AlreadyTried;
  }
  if (NotBefore(aServer.mProcessHash, aNow)) {
    const auto asked = mNotBefore.find(aServer.mProcessHash);
    return asked != mNotBefore.end() && aNow < asked->second
             ? ServerExclusion::NoRequestsAsked
             : ServerExclusion::PermitDenied;
  }
  if (aNow < aServer.mColdUntil) {
    return IsBelowColdLimit(aState, aColdLimit(id), aNow)
             ? std::nullopt
             : std::optional(ServerExclusion::ColdLimitReached);
  }
  return aState.mHealth.IsAvoided(aNow)
           ? std::optional(ServerExclusion::Avoided)
           : std::nullopt;
}

bool
BackendChooser::IsBelowColdLimit(const ServerState& aState,
                                 std::size_t aLimit,
                                 Timestamp aNow) const
{
  const std::deque<Timestamp>& sent = aState.mColdRequests;
  const auto counted =
    std::find_if(sent.begin(), sent.end(), [&](Timestamp aSentAt) {
      return aSentAt + mSettings.mColdLimitWindow > aNow;
    });
  return static_cast<std::size_t>(std::distance(counted, sent.end())) < aLimit;
}

std::set<InstanceId>
BackendChooser::ServersForShortPrompts(
  const std::vector<const ListedBackend*>& aUsable) const
{
  std::vector<std::pair<std::uint64_t, const ListedBackend*>> order;
  order.reserve(aUsable.size());
  for (const ListedBackend* server : aUsable) {
    order.emplace_back(
      HashText(server->mEntry.mId.Text(), kShortPromptHashSeed), server);
  }
  std::sort(order.begin(), order.end());
  const double shortTokens =
    mDemand.mShortPromptDemand + mPeerLoad.mDemand.mShortPromptDemand;
  const double longTokens =
    mDemand.mLongPromptDemand + mPeerLoad.mDemand.mLongPromptDemand;
  const double total = shortTokens + longTokens;
  const double share = total > 0.0 ? shortTokens / total : 0.0;
  const auto size = static_cast<double>(order.size());
  const auto proportional = static_cast<std::size_t>(std::lround(share * size));
  const std::size_t minimum = shortTokens > 0.0 && order.size() > 1 ? 1 : 0;
  const std::size_t maximum =
    longTokens > 0.0 && !order.empty() ? order.size() - 1 : order.size();
  const std::size_t count = std::min(std::max(proportional, minimum), maximum);
  std::set<InstanceId> servers;
  for (std::size_t i = 0; i < count; ++i) {
    servers.insert(order[i].second->mEntry.mId);
  }
  return servers;
}

BackendChoice
BackendChooser::ChooseWithoutPrompt(const CandidateEvaluation& aEvaluation)
{
  constexpr std::size_t kSampleSize = 2;
  const std::vector<const EvaluatedServer*> candidates =
    aEvaluation.Candidates();
  std::vector<const EvaluatedServer*> sampled;
  std::sample(candidates.begin(),
              candidates.end(),
              std::back_inserter(sampled),
              kSampleSize,
              mRandom);
  const EvaluatedServer* chosen = nullptr;
  double lowest = 0.0;
  std::uniform_real_distribution<double> tie(0.0, 0.25);
  for (const EvaluatedServer* server : sampled) {
    const double cost = server->mCost.Sum() + tie(mRandom);
    if (chosen == nullptr || cost < lowest) {
      chosen = server;
      lowest = cost;
    }
  }
  BackendChoice choice = ChoiceOf(aEvaluation, *chosen);
  choice.mCost = lowest;
  return choice;
}

void
BackendChooser::AssignPriority(std::uint32_t aPool,
                               const RequestPriority& aPriority,
                               BackendChoice& aChoice) const
{
  aChoice.mLoadGroup = { aPool, aChoice.mIsShortPrompt, aPriority };
  const auto loadOf = [&](PromptSizes aSizes) {
    ServerLoad load =
      LoadAtLeastAsUrgent(mPriorityLoads.Loads(), aChoice.mLoadGroup, aSizes);
    load +=
      LoadAtLeastAsUrgent(mPeerLoad.mPriorities, aChoice.mLoadGroup, aSizes);
    return load;
  };
  LimitLoad(loadOf(PromptSizes::Same), aChoice.mSizeGroupLoad);
  LimitLoad(loadOf(PromptSizes::All), aChoice.mPoolLoad);
}

void
BackendChooser::FillReport(PeerReport& aReport, Timestamp aNow)
{
  aReport.mLoad.mServers = OwnLoads();
  aReport.mLoad.mPriorities = mPriorityLoads.Loads();
  aReport.mLoad.mDemand = OwnDemand(aNow);
  aReport.mSent = TakeSentParts();
}

PromptDemand
BackendChooser::OwnDemand(Timestamp aNow)
{
  const double memory =
    std::chrono::duration<double>(mSettings.mDemandTimeConstant).count();
  const double passed =
    std::chrono::duration<double>(aNow - mDemandDecayedAt).count();
  const double kept = std::exp(-std::max(0.0, passed) / memory);
  mDemand.mShortPromptDemand *= kept;
  mDemand.mLongPromptDemand *= kept;
  mDemandDecayedAt = aNow;
  return mDemand;
}

void
BackendChooser::RecordDemand(const BackendChoice& aChoice,
                             const PromptDescription& aPrompt,
                             Timestamp aNow)
{
  OwnDemand(aNow);
  const bool isShort = aPrompt.mPromptTokens < mSettings.mShortPromptLimit;
  const double answerTokens =
    CostOf(aChoice.mCostKind).AnswerTokens(mMeanBacklog);
  (isShort ? mDemand.mShortPromptDemand : mDemand.mLongPromptDemand) +=
    aChoice.mPrefillTokens + answerTokens;
  mMeanPromptTokens +=
    (aPrompt.mPromptTokens - mMeanPromptTokens) / kAveragedPrompts;
}

void
BackendChooser::RecordStarted(const BackendChoice& aChoice,
                              const std::optional<PromptDescription>& aPrompt,
                              Timestamp aNow)
{
  ServerState& state = mServers[aChoice.mId];
  state.mRequests += 1;
  state.mPrefillingRequests += 1;
  state.mPrefillTokens += aChoice.mPrefillTokens;
  if (aChoice.mIsCold) {
    state.mColdRequests.push_back(aNow);
  }
  if (!aPrompt) {
    return;
  }
  mPriorityLoads.RecordStarted(aChoice.mLoadGroup, aChoice.mPrefillTokens);
  RecordDemand(aChoice, *aPrompt, aNow);
  state.mCachedParts.LimitSize();
  const std::uint64_t key = aPrompt->AffinityKey();
  for (const PromptPart& part : aPrompt->mParts) {
    const Timestamp previous = state.mCachedParts.RecordUse(part.mId, aNow);
    if (part.mId != key) {
      continue;
    }
    const bool isDue = aChoice.mCostKind == ServerCostKind::ExpectedDelay
                         ? state.mCachedParts.TakeDueReport(
                             key, mSettings.mExpectedDelayReportInterval, aNow)
                         : aNow - previous >= mSettings.mPartReportInterval;
    if (isDue) {
      mUnreportedParts.push_back(
        { ServerHash(aChoice.mId), static_cast<std::uint32_t>(part.mId) });
    }
  }
}

void
BackendChooser::RecordPeerSentParts(const std::vector<SentPart>& aSent,
                                    Timestamp aNow)
{
  std::unordered_map<std::uint32_t, ServerState*> byHash;
  for (auto& [id, state] : mServers) {
    byHash[ServerHash(id)] = &state;
  }
  for (const SentPart& part : aSent) {
    const auto found = byHash.find(part.mServer);
    if (found != byHash.end()) {
      found->second->mCachedParts.RecordReportedUse(part.mPart, aNow);
    }
  }
}

std::vector<SentPart>
BackendChooser::TakeSentParts()
{
  return std::exchange(mUnreportedParts, {});
}

void
BackendChooser::RecordFirstByte(const BackendChoice& aChoice)
{
  mPriorityLoads.RecordPrefilled(aChoice.mLoadGroup, aChoice.mPrefillTokens);
  const auto found = mServers.find(aChoice.mId);
  if (found == mServers.end() || found->second.mPrefillingRequests == 0) {
    return;
  }
  ServerState& state = found->second;
  state.mPrefillingRequests -= 1;
  state.mPrefillTokens -= aChoice.mPrefillTokens;
  if (state.mPrefillingRequests == 0) {
    state.mPrefillTokens = 0.0;
  }
}

void
BackendChooser::RecordEnded(const BackendChoice& aChoice, bool aHadFirstByte)
{
  if (!aHadFirstByte) {
    RecordFirstByte(aChoice);
  }
  mPriorityLoads.RecordEnded(aChoice.mLoadGroup);
  const auto found = mServers.find(aChoice.mId);
  if (found != mServers.end() && found->second.mRequests > 0) {
    found->second.mRequests -= 1;
  }
}

std::optional<Timestamp>
BackendChooser::NotBefore(ProcessHash aBoot, Timestamp aNow) const
{
  std::optional<Timestamp> notBefore;
  const auto found = mNotBefore.find(aBoot);
  if (found != mNotBefore.end() && aNow < found->second) {
    notBefore = found->second;
  }
  const std::optional<Timestamp> deniedUntil =
    mLimits == nullptr ? std::nullopt : mLimits->DeniedUntil(aBoot);
  if (deniedUntil && aNow < *deniedUntil) {
    notBefore = std::max(notBefore.value_or(*deniedUntil), *deniedUntil);
  }
  return notBefore;
}

void
BackendChooser::RecordNotBefore(ProcessHash aBoot,
                                Timestamp aNotBefore,
                                Timestamp aNow)
{
  for (auto entry = mNotBefore.begin(); entry != mNotBefore.end();) {
    entry = entry->second <= aNow ? mNotBefore.erase(entry) : std::next(entry);
  }
  Timestamp& notBefore = mNotBefore[aBoot];
  notBefore = std::max(notBefore, aNotBefore);
}

std::optional<Timestamp>
BackendChooser::EarliestAvailableTime(
  const std::vector<const ListedBackend*>& aUsable,
  Timestamp aNow) const
{
  std::optional<Timestamp> earliest;
  for (const ListedBackend* server : aUsable) {
    const auto notBefore = NotBefore(server->mProcessHash, aNow);
    if (!notBefore) {
      return std::nullopt;
    }
    earliest = earliest ? std::min(*earliest, *notBefore) : *notBefore;
  }
  return earliest;
}

void
BackendChooser::RecordFull(const ListedBackend& aServer, Timestamp aNow)
{
  BackendHealth& health = mServers[aServer.mEntry.mId].mHealth;
  const std::size_t slots = aServer.mEntry.mSlots;
  // A refusal while less than half of the slots are in use is a failure.
  const bool isFull =
    slots > 0 && 2 * RunningRequests(aServer.mEntry.mId) >= slots;
  if (isFull) {
    health.RecordBusy(aNow, mSettings.mHealth);
  } else {
    health.RecordFailure(aNow, mSettings.mHealth);
  }
}

void
BackendChooser::RecordSuccess(const InstanceId& aId, Timestamp aNow)
{
  mServers[aId].mHealth.RecordSuccess(aNow, mSettings.mHealth);
}

void
BackendChooser::RecordFailure(const InstanceId& aId, Timestamp aNow)
{
  mServers[aId].mHealth.RecordFailure(aNow, mSettings.mHealth);
}

void
BackendChooser::RecordUnreachable(const InstanceId& aId, Timestamp aNow)
{
  mServers[aId].mHealth.RecordUnreachable(aNow, mSettings.mHealth);
}

void
BackendChooser::Forget(const InstanceId& aId)
{
  mServers.erase(aId);
}

std::size_t
BackendChooser::RunningRequests(const InstanceId& aId) const
{
  const auto found = mServers.find(aId);
  const std::size_t own = found == mServers.end() ? 0 : found->second.mRequests;
  return own + PeerLoad(aId).mRequests;
}

ServerLoad
BackendChooser::PeerLoad(const InstanceId& aId) const
{
  const auto found = mPeerLoad.mServers.find(ServerHash(aId));
  return found == mPeerLoad.mServers.end() ? ServerLoad() : found->second;
}

ServerLoads
BackendChooser::OwnLoads() const
{
  ServerLoads loads;
  for (const auto& [id, state] : mServers) {
    if (state.mRequests > 0) {
      loads[ServerHash(id)] = { static_cast<std::uint32_t>(state.mRequests),
                                static_cast<std::uint32_t>(
                                  std::max(0.0, state.mPrefillTokens)) };
    }
  }
  return loads;
}

} // namespace medlarkeel
