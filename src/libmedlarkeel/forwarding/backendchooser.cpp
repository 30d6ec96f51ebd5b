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

/** @return The aCount servers with the highest rendezvous scores for a key, in
 * descending order. */
std::vector<const ListedBackend*>
PreferredServers(const std::vector<const ListedBackend*>& aServers,
                 std::uint64_t aKey,
                 std::size_t aCount)
{
  std::vector<std::pair<std::uint64_t, const ListedBackend*>> order;
  order.reserve(aServers.size());
  for (const ListedBackend* server : aServers) {
    order.emplace_back(
      RendezvousScore(aKey, HashText(server->mEntry.mId.Text())), server);
  }
  const auto count =
    static_cast<std::ptrdiff_t>(std::min(aCount, order.size()));
  std::partial_sort(order.begin(),
                    order.begin() + count,
                    order.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first > aRight.first;
                    });
  std::vector<const ListedBackend*> first;
  for (std::ptrdiff_t i = 0; i < count; ++i) {
    first.push_back(order[static_cast<std::size_t>(i)].second);
  }
  return first;
}

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
  , mFixedWeightCost(MakeServerCost(ServerCostKind::FixedWeights, aSettings))
  , mExpectedDelayCost(MakeServerCost(ServerCostKind::ExpectedDelay, aSettings))
  , mZone(std::move(aZone))
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
  const std::vector<const ListedBackend*> candidates =
    Candidates(aUsable, aExcluded, aColdLimit, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  BackendChoice choice =
    aPrompt ? ChooseForPrompt(aUsable, candidates, *aPrompt, aPlacement, aNow)
            : ChooseWithoutPrompt(candidates);
  choice.mCandidates = candidates.size();
  for (const ListedBackend* server : candidates) {
    if (server->mEntry.mId == choice.mId) {
      choice.mEndpoint = server->mEntry.mEndpoint;
      choice.mProcessHash = server->mProcessHash;
      choice.mQueuedTokens = QueuedTokens(choice.mId);
      choice.mIsCold = aNow < server->mColdUntil;
      choice.mIsOtherZone = server->mEntry.mZone != mZone;
    }
  }
  return choice;
}

std::vector<const ListedBackend*>
BackendChooser::Candidates(const std::vector<const ListedBackend*>& aUsable,
                           const std::set<InstanceId>& aExcluded,
                           const ColdLimit& aColdLimit,
                           Timestamp aNow)
{
  std::vector<const ListedBackend*> healthy;
  std::vector<const ListedBackend*> avoided;
  for (const ListedBackend* server : aUsable) {
    if (aExcluded.count(server->mEntry.mId) != 0 ||
        NotBefore(server->mProcessHash, aNow)) {
      continue;
    }
    ServerState& state = mServers[server->mEntry.mId];
    if (aNow < server->mColdUntil) {
      std::deque<Timestamp>& sent = state.mColdRequests;
      while (!sent.empty() &&
             sent.front() + mSettings.mColdLimitWindow <= aNow) {
        sent.pop_front();
      }
      if (sent.size() < aColdLimit(server->mEntry.mId)) {
        healthy.push_back(server);
      }
    } else if (state.mHealth.IsAvoided(aNow)) {
      avoided.push_back(server);
    } else {
      healthy.push_back(server);
    }
  }
  return healthy.empty() ? avoided : healthy;
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

std::uint32_t
BackendChooser::EstimatePrefillTokens(const InstanceId& aServer,
                                      const PromptDescription& aPrompt,
                                      bool aIsMostPreferred,
                                      const PartLifetime& aLifetime,
                                      Timestamp aNow) const
{
  const auto found = mServers.find(aServer);
  double cached =
    found == mServers.end()
      ? 0.0
      : found->second.mCachedParts.CachedTokens(aPrompt, aLifetime, aNow);
  if (aIsMostPreferred) {
    cached =
      std::max(cached, aPrompt.SharedTokens() * mSettings.mAssumedCachedShare);
  }
  const double prefillTokens = std::max(0.0, aPrompt.mPromptTokens - cached);
  return static_cast<std::uint32_t>(prefillTokens);
}

EngineMemoryUse
BackendChooser::MemoryUse(std::size_t aRunningRequests,
                          const PoolPlacement& aPlacement,
                          std::size_t aServers) const
{
  const double demand = mDemand.mShortPromptDemand + mDemand.mLongPromptDemand +
                        mPeerLoad.mDemand.mShortPromptDemand +
                        mPeerLoad.mDemand.mLongPromptDemand;
  const double seconds =
    std::chrono::duration<double>(mSettings.mDemandTimeConstant).count();
  EngineMemoryUse use;
  use.mMemoryTokens = static_cast<double>(aPlacement.mEngineMemoryTokens);
  use.mRunningTokens =
    mMeanPromptTokens * static_cast<double>(aRunningRequests);
  use.mPrefillTokensPerSecond =
    demand / seconds / static_cast<double>(std::max<std::size_t>(1, aServers));
  return use;
}

double
BackendChooser::MeanBacklog(
  const std::vector<const ListedBackend*>& aUsable) const
{
  double tokens = 0.0;
  for (const ListedBackend* server : aUsable) {
    tokens += QueuedTokens(server->mEntry.mId);
  }
  return aUsable.empty() ? 0.0 : tokens / static_cast<double>(aUsable.size());
}

BackendChoice
BackendChooser::ChooseForPrompt(
  const std::vector<const ListedBackend*>& aUsable,
  const std::vector<const ListedBackend*>& aCandidates,
  const PromptDescription& aPrompt,
  const PoolPlacement& aPlacement,
  Timestamp aNow)
{
  mMeanBacklog = MeanBacklog(aUsable);
  const std::set<InstanceId> reservedForShort = ServersForShortPrompts(aUsable);
  const bool isShort = aPrompt.mPromptTokens < mSettings.mShortPromptLimit;
  std::vector<const ListedBackend*> sizeGroup;
  for (const ListedBackend* server : aCandidates) {
    if ((reservedForShort.count(server->mEntry.mId) != 0) == isShort) {
      sizeGroup.push_back(server);
    }
  }
  const std::uint64_t key = aPrompt.AffinityKey();
  const std::vector<const ListedBackend*> first = PreferredServers(
    sizeGroup, key, key == 0 ? 0 : mSettings.mPreferredServers);
  const ServerCost& cost = CostOf(aPlacement.mCost);
  const PlacementContext context{ isShort, mMeanBacklog };
  BackendChoice choice;
  choice.mCostKind = aPlacement.mCost;
  bool isFirst = true;
  for (const ListedBackend* server : aCandidates) {
    const InstanceId& id = server->mEntry.mId;
    const auto position = std::find(first.begin(), first.end(), server);
    const bool isMostPreferred = !first.empty() && position == first.begin();
    ServerEstimate estimate;
    estimate.mRunningRequests = RunningRequests(id);
    const PartLifetime lifetime = cost.LifetimeOfParts(
      MemoryUse(estimate.mRunningRequests, aPlacement, aUsable.size()));
    estimate.mPrefillTokens =
      EstimatePrefillTokens(id, aPrompt, isMostPreferred, lifetime, aNow);
    estimate.mQueuedTokens = QueuedTokens(id);
    estimate.mSlots = server->mEntry.mSlots;
    estimate.mIsCold = aNow < server->mColdUntil;
    estimate.mIsOtherZone = server->mEntry.mZone != mZone;
    estimate.mIsReservedForShort = reservedForShort.count(id) != 0;
    estimate.mIsPreferred = first.empty() || position != first.end();
    const double serverCost = cost.Of(estimate, context);
    if (isFirst || serverCost < choice.mCost) {
      choice.mId = id;
      choice.mCost = serverCost;
      choice.mPrefillTokens = estimate.mPrefillTokens;
      isFirst = false;
    }
  }
  choice.mIsShortPrompt = isShort;
  choice.mPoolLoad = MeanLoadOf(aUsable, aNow);
  choice.mSizeGroupLoad =
    MeanLoadOf(sizeGroup.empty() ? aCandidates : sizeGroup, aNow);
  return choice;
}

BackendChoice
BackendChooser::ChooseWithoutPrompt(
  const std::vector<const ListedBackend*>& aCandidates)
{
  /** Cost of a server outside this entry's zone, in requests. */
  constexpr double kOtherZonePenalty = 0.5;
  constexpr std::size_t kSampleSize = 2;
  std::vector<const ListedBackend*> sampled;
  std::sample(aCandidates.begin(),
              aCandidates.end(),
              std::back_inserter(sampled),
              kSampleSize,
              mRandom);
  BackendChoice choice;
  bool isFirst = true;
  std::uniform_real_distribution<double> tie(0.0, 0.25);
  for (const ListedBackend* server : sampled) {
    double cost = static_cast<double>(RunningRequests(server->mEntry.mId));
    cost += server->mEntry.mZone != mZone ? kOtherZonePenalty : 0.0;
    cost += tie(mRandom);
    if (isFirst || cost < choice.mCost) {
      choice.mId = server->mEntry.mId;
      choice.mCost = cost;
      isFirst = false;
    }
  }
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
    if (part.mId == key && aNow - previous >= mSettings.mPartReportInterval) {
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
      found->second->mCachedParts.RecordUse(part.mPart, aNow);
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

MeanLoad
BackendChooser::MeanLoadOf(const std::vector<const ListedBackend*>& aServers,
                           Timestamp aNow) const
{
  MeanLoad load;
  std::size_t running = 0;
  for (const ListedBackend* server : aServers) {
    const InstanceId& id = server->mEntry.mId;
    const auto known = mServers.find(id);
    const bool isAvoided =
      known != mServers.end() && known->second.mHealth.IsAvoided(aNow);
    if (isAvoided || aNow < server->mColdUntil) {
      continue;
    }
    load.mServers += 1;
    load.mPrefillTokens += QueuedTokens(id);
    if (server->mEntry.mSlots > 0) {
      load.mSlots += server->mEntry.mSlots;
      running += RunningRequests(id);
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

double
BackendChooser::QueuedTokens(const InstanceId& aId) const
{
  const auto found = mServers.find(aId);
  const double own =
    found == mServers.end() ? 0.0 : found->second.mPrefillTokens;
  return own + PeerLoad(aId).mPrefillTokens;
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
