#include "backendchooser.h"

#include "../rendezvous.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace medlarkeel {

namespace {

/** Separates the hash that orders servers for short prompts from others. */
constexpr std::uint64_t kShortPromptSeed = 0x5eed0001;

/** Tokens of backlog for which mUnreadWeightByBacklog is added once. */
constexpr double kBacklogUnit = 10'000.0;

/** Parts that are remembered for one server. */
constexpr std::size_t kMostSentParts = 4096;

/** @return The servers that come first for a key, the first one in front. */
std::vector<const ListedBackend*>
FirstFor(const std::vector<const ListedBackend*>& aServers,
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

} // namespace

BackendChooser::BackendChooser(const BackendChooserSettings& aSettings,
                               ZoneName aZone,
                               std::uint64_t aSeed)
  : mSettings(aSettings)
  , mZone(std::move(aZone))
  , mRandom(aSeed)
{
}

std::optional<BackendChoice>
BackendChooser::Choose(const std::vector<const ListedBackend*>& aUsable,
                       const std::optional<PromptDescription>& aPrompt,
                       const std::set<InstanceId>& aExcluded,
                       const ColdLimit& aColdLimit,
                       Timestamp aNow)
{
  const std::vector<const ListedBackend*> candidates =
    Candidates(aUsable, aExcluded, aColdLimit, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  BackendChoice choice = aPrompt
                           ? ChooseModel(aUsable, candidates, *aPrompt, aNow)
                           : ChoosePlain(candidates);
  choice.mCandidates = candidates.size();
  for (const ListedBackend* server : candidates) {
    if (server->mEntry.mId == choice.mId) {
      choice.mEndpoint = server->mEntry.mEndpoint;
      choice.mBoot = server->mBoot;
      choice.mWaitingTokens = WaitingTokens(choice.mId);
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
  std::vector<const ListedBackend*> sound;
  std::vector<const ListedBackend*> avoided;
  for (const ListedBackend* server : aUsable) {
    if (aExcluded.count(server->mEntry.mId) != 0 ||
        AskedForNoRequests(server->mBoot, aNow)) {
      continue;
    }
    ServerState& state = mServers[server->mEntry.mId];
    if (aNow < server->mColdUntil) {
      std::deque<Timestamp>& sent = state.mColdRequests;
      while (!sent.empty() && sent.front() + mSettings.mColdWindow <= aNow) {
        sent.pop_front();
      }
      if (sent.size() < aColdLimit(server->mEntry.mId)) {
        sound.push_back(server);
      }
    } else if (state.mHealth.IsAvoided(aNow)) {
      avoided.push_back(server);
    } else {
      sound.push_back(server);
    }
  }
  return sound.empty() ? avoided : sound;
}

std::set<InstanceId>
BackendChooser::ShortPromptServers(
  const std::vector<const ListedBackend*>& aUsable) const
{
  std::vector<std::pair<std::uint64_t, const ListedBackend*>> order;
  order.reserve(aUsable.size());
  for (const ListedBackend* server : aUsable) {
    order.emplace_back(HashText(server->mEntry.mId.Text(), kShortPromptSeed),
                       server);
  }
  std::sort(order.begin(), order.end());
  const double shortTokens = mDemand.mShortTokens + mOtherDemand.mShortTokens;
  const double longTokens = mDemand.mLongTokens + mOtherDemand.mLongTokens;
  const double total = shortTokens + longTokens;
  const double share = total > 0.0 ? shortTokens / total : 0.0;
  const auto size = static_cast<double>(order.size());
  const auto wanted = static_cast<std::size_t>(std::lround(share * size));
  const std::size_t least = shortTokens > 0.0 && order.size() > 1 ? 1 : 0;
  const std::size_t most =
    longTokens > 0.0 && !order.empty() ? order.size() - 1 : order.size();
  const std::size_t count = std::min(std::max(wanted, least), most);
  std::set<InstanceId> servers;
  for (std::size_t i = 0; i < count; ++i) {
    servers.insert(order[i].second->mEntry.mId);
  }
  return servers;
}

std::uint32_t
BackendChooser::UnreadTokens(const ListedBackend& aServer,
                             const PromptDescription& aPrompt,
                             bool aIsHome,
                             Timestamp aNow) const
{
  const auto found = mServers.find(aServer.mEntry.mId);
  const std::size_t sharedParts =
    aPrompt.mParts.empty() ? 0 : aPrompt.mParts.size() - 1;
  double cached = 0.0;
  double shared = 0.0;
  for (std::size_t i = 0; i < sharedParts; ++i) {
    shared += aPrompt.mParts[i].mTokens;
    if (found == mServers.end()) {
      continue;
    }
    const auto sent = found->second.mSentParts.find(
      static_cast<std::uint32_t>(aPrompt.mParts[i].mId));
    const bool isHeld = sent != found->second.mSentParts.end() &&
                        aNow - sent->second < mSettings.mCacheMemory;
    // A server that holds a part holds all parts before it.
    cached = isHeld ? shared : cached;
  }
  if (aIsHome) {
    cached = std::max(cached, shared * mSettings.mHomeCachedShare);
  }
  const double unread = std::max(0.0, aPrompt.mPromptTokens - cached);
  return static_cast<std::uint32_t>(unread);
}

double
BackendChooser::MeanBacklog(
  const std::vector<const ListedBackend*>& aUsable) const
{
  double tokens = 0.0;
  for (const ListedBackend* server : aUsable) {
    tokens += WaitingTokens(server->mEntry.mId);
  }
  return aUsable.empty() ? 0.0 : tokens / static_cast<double>(aUsable.size());
}

double
BackendChooser::ModelCost(const ListedBackend& aServer,
                          const PromptDescription& aPrompt,
                          std::uint32_t aUnread,
                          bool aIsForShort,
                          Timestamp aNow) const
{
  const double weight =
    mSettings.mUnreadWeight +
    mSettings.mUnreadWeightByBacklog * mBacklog / kBacklogUnit;
  const double waiting = WaitingTokens(aServer.mEntry.mId);
  const double beyond =
    std::max(0.0, waiting - mBacklog - mSettings.mLongQueueTokens);
  double cost = weight * aUnread + waiting;
  cost += mSettings.mLongQueueWeight * beyond;
  cost +=
    mSettings.mRunningTokens * static_cast<double>(Running(aServer.mEntry.mId));
  const bool isShort = aPrompt.mPromptTokens < mSettings.mShortPromptTokens;
  if (isShort && aServer.mEntry.mSlots > 0) {
    const double beyondSlots =
      static_cast<double>(Running(aServer.mEntry.mId)) -
      mSettings.mFreeSlotShare * aServer.mEntry.mSlots;
    cost += mSettings.mBeyondSlotsTokens * std::max(0.0, beyondSlots);
  }
  cost += aNow < aServer.mColdUntil ? mSettings.mColdTokens : 0.0;
  if (isShort && !aIsForShort) {
    cost += mSettings.mShortElsewhereTokens;
  }
  if (!isShort && aIsForShort) {
    cost += mSettings.mLongOnShortTokens;
  }
  if (aServer.mEntry.mZone != mZone) {
    cost += mSettings.mOtherZoneTokens;
  }
  return cost;
}

BackendChoice
BackendChooser::ChooseModel(
  const std::vector<const ListedBackend*>& aUsable,
  const std::vector<const ListedBackend*>& aCandidates,
  const PromptDescription& aPrompt,
  Timestamp aNow)
{
  mBacklog = MeanBacklog(aUsable);
  const std::set<InstanceId> forShort = ShortPromptServers(aUsable);
  const bool isShort = aPrompt.mPromptTokens < mSettings.mShortPromptTokens;
  std::vector<const ListedBackend*> lane;
  for (const ListedBackend* server : aCandidates) {
    if ((forShort.count(server->mEntry.mId) != 0) == isShort) {
      lane.push_back(server);
    }
  }
  const std::uint64_t key = aPrompt.AffinityKey();
  const std::vector<const ListedBackend*> first =
    FirstFor(lane, key, key == 0 ? 0 : mSettings.mFirstServers);
  BackendChoice choice;
  bool isFirst = true;
  for (const ListedBackend* server : aCandidates) {
    const auto place = std::find(first.begin(), first.end(), server);
    const bool isHome = !first.empty() && place == first.begin();
    const std::uint32_t unread = UnreadTokens(*server, aPrompt, isHome, aNow);
    const bool isForShort = forShort.count(server->mEntry.mId) != 0;
    double cost = ModelCost(*server, aPrompt, unread, isForShort, aNow);
    if (!first.empty() && place == first.end()) {
      cost += mSettings.mNotFirstTokens;
    }
    if (isFirst || cost < choice.mCost) {
      choice.mId = server->mEntry.mId;
      choice.mCost = cost;
      choice.mUnreadTokens = unread;
      isFirst = false;
    }
  }
  choice.mIsShortPrompt = isShort;
  choice.mPoolLoad = LoadOf(aUsable, aNow);
  choice.mLaneLoad = LoadOf(lane.empty() ? aCandidates : lane, aNow);
  return choice;
}

BackendChoice
BackendChooser::ChoosePlain(
  const std::vector<const ListedBackend*>& aCandidates)
{
  /** A server in the own zone wins below this difference in requests. */
  constexpr double kOtherZoneRequests = 0.5;
  constexpr std::size_t kDrawn = 2;
  std::vector<const ListedBackend*> drawn;
  std::sample(aCandidates.begin(),
              aCandidates.end(),
              std::back_inserter(drawn),
              kDrawn,
              mRandom);
  BackendChoice choice;
  bool isFirst = true;
  std::uniform_real_distribution<double> tie(0.0, 0.25);
  for (const ListedBackend* server : drawn) {
    double cost = static_cast<double>(Running(server->mEntry.mId));
    cost += server->mEntry.mZone != mZone ? kOtherZoneRequests : 0.0;
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
BackendChooser::TakeOthers(const PeerView& aPeers, Timestamp aNow)
{
  LoadSum others = aPeers.Others(aNow);
  SetOtherLoads(std::move(others.mLoads));
  mOtherDemand = others.mDemand;
}

void
BackendChooser::FillReport(PeerReport& aReport, Timestamp aNow)
{
  aReport.mLoads = OwnLoads();
  aReport.mDemand = OwnDemand(aNow);
  aReport.mSent = TakeSentParts();
}

PromptDemand
BackendChooser::OwnDemand(Timestamp aNow)
{
  const double memory =
    std::chrono::duration<double>(mSettings.mDemandMemory).count();
  const double passed = std::chrono::duration<double>(aNow - mDemandAt).count();
  const double kept = std::exp(-std::max(0.0, passed) / memory);
  mDemand.mShortTokens *= kept;
  mDemand.mLongTokens *= kept;
  mDemandAt = aNow;
  return mDemand;
}

void
BackendChooser::RecordDemand(const PromptDescription& aPrompt,
                             std::uint32_t aUnread,
                             Timestamp aNow)
{
  OwnDemand(aNow);
  const bool isShort = aPrompt.mPromptTokens < mSettings.mShortPromptTokens;
  const double streamTokens =
    mSettings.mStreamTokens * std::min(1.0, mBacklog / mSettings.mFullBacklog);
  (isShort ? mDemand.mShortTokens : mDemand.mLongTokens) +=
    aUnread + streamTokens;
}

void
BackendChooser::RecordStarted(const BackendChoice& aChoice,
                              const std::optional<PromptDescription>& aPrompt,
                              Timestamp aNow)
{
  ServerState& state = mServers[aChoice.mId];
  state.mRequests += 1;
  state.mReading += 1;
  state.mUnreadTokens += aChoice.mUnreadTokens;
  if (aChoice.mIsCold) {
    state.mColdRequests.push_back(aNow);
  }
  if (!aPrompt) {
    return;
  }
  RecordDemand(*aPrompt, aChoice.mUnreadTokens, aNow);
  if (state.mSentParts.size() > kMostSentParts) {
    state.mSentParts.clear();
  }
  const std::uint64_t key = aPrompt->AffinityKey();
  for (const PromptPart& part : aPrompt->mParts) {
    Timestamp& sentAt = state.mSentParts[static_cast<std::uint32_t>(part.mId)];
    if (part.mId == key && aNow - sentAt >= mSettings.mTellAgain) {
      mSentParts.push_back(
        { ServerHash(aChoice.mId), static_cast<std::uint32_t>(part.mId) });
    }
    sentAt = aNow;
  }
}

void
BackendChooser::RecordOtherSent(const std::vector<SentPart>& aSent,
                                Timestamp aNow)
{
  std::unordered_map<std::uint32_t, ServerState*> byHash;
  for (auto& [id, state] : mServers) {
    byHash[ServerHash(id)] = &state;
  }
  for (const SentPart& part : aSent) {
    const auto found = byHash.find(part.mServer);
    if (found != byHash.end()) {
      found->second->mSentParts[part.mPart] = aNow;
    }
  }
}

std::vector<SentPart>
BackendChooser::TakeSentParts()
{
  return std::exchange(mSentParts, {});
}

void
BackendChooser::RecordFirstByte(const BackendChoice& aChoice)
{
  const auto found = mServers.find(aChoice.mId);
  if (found == mServers.end() || found->second.mReading == 0) {
    return;
  }
  ServerState& state = found->second;
  state.mReading -= 1;
  state.mUnreadTokens -= aChoice.mUnreadTokens;
  if (state.mReading == 0) {
    state.mUnreadTokens = 0.0;
  }
}

void
BackendChooser::RecordEnded(const BackendChoice& aChoice, bool aHadFirstByte)
{
  if (!aHadFirstByte) {
    RecordFirstByte(aChoice);
  }
  const auto found = mServers.find(aChoice.mId);
  if (found != mServers.end() && found->second.mRequests > 0) {
    found->second.mRequests -= 1;
  }
}

MeanLoad
BackendChooser::LoadOf(const std::vector<const ListedBackend*>& aServers,
                       Timestamp aNow) const
{
  MeanLoad load;
  std::size_t servers = 0;
  std::size_t slots = 0;
  std::size_t running = 0;
  for (const ListedBackend* server : aServers) {
    const InstanceId& id = server->mEntry.mId;
    const auto known = mServers.find(id);
    const bool isAvoided =
      known != mServers.end() && known->second.mHealth.IsAvoided(aNow);
    if (isAvoided || aNow < server->mColdUntil) {
      continue;
    }
    servers += 1;
    load.mUnreadTokens += WaitingTokens(id);
    if (server->mEntry.mSlots > 0) {
      slots += server->mEntry.mSlots;
      running += Running(id);
    }
  }
  if (servers > 0) {
    load.mUnreadTokens /= static_cast<double>(servers);
  }
  if (slots > 0) {
    load.mSlotShare = static_cast<double>(running) / static_cast<double>(slots);
  }
  return load;
}

bool
BackendChooser::AskedForNoRequests(BootHash aBoot, Timestamp aNow) const
{
  const auto found = mNotBefore.find(aBoot);
  return found != mNotBefore.end() && aNow < found->second;
}

void
BackendChooser::RecordNotBefore(BootHash aBoot,
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
BackendChooser::EarliestReturn(const std::vector<const ListedBackend*>& aUsable,
                               Timestamp aNow) const
{
  std::optional<Timestamp> earliest;
  for (const ListedBackend* server : aUsable) {
    if (!AskedForNoRequests(server->mBoot, aNow)) {
      return std::nullopt;
    }
    const Timestamp notBefore = mNotBefore.at(server->mBoot);
    earliest = earliest ? std::min(*earliest, notBefore) : notBefore;
  }
  return earliest;
}

void
BackendChooser::RecordFull(const ListedBackend& aServer, Timestamp aNow)
{
  BackendHealth& health = mServers[aServer.mEntry.mId].mHealth;
  const std::size_t slots = aServer.mEntry.mSlots;
  // A server that refuses although few requests are there isn't sound.
  const bool isFull = slots > 0 && 2 * Running(aServer.mEntry.mId) >= slots;
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
BackendChooser::Running(const InstanceId& aId) const
{
  const auto found = mServers.find(aId);
  const std::size_t own = found == mServers.end() ? 0 : found->second.mRequests;
  return own + OtherLoad(aId).mRequests;
}

double
BackendChooser::WaitingTokens(const InstanceId& aId) const
{
  const auto found = mServers.find(aId);
  const double own =
    found == mServers.end() ? 0.0 : found->second.mUnreadTokens;
  return own + OtherLoad(aId).mUnreadTokens;
}

ServerLoad
BackendChooser::OtherLoad(const InstanceId& aId) const
{
  const auto found = mOtherLoads.find(ServerHash(aId));
  return found == mOtherLoads.end() ? ServerLoad() : found->second;
}

ServerLoads
BackendChooser::OwnLoads() const
{
  ServerLoads loads;
  for (const auto& [id, state] : mServers) {
    if (state.mRequests > 0) {
      loads[ServerHash(id)] = { static_cast<std::uint32_t>(state.mRequests),
                                static_cast<std::uint32_t>(
                                  std::max(0.0, state.mUnreadTokens)) };
    }
  }
  return loads;
}

} // namespace medlarkeel
