#include "replicachooser.h"

#include "rendezvous.h"

#include <algorithm>
#include <array>

namespace medlarkeel {

namespace {

constexpr std::array<const char*, 8> kNoteTexts{ "eligible",     "other-pool",
                                                 "excluded",     "no-adapter",
                                                 "other-zone",   "other-region",
                                                 "breaker-open", "outlier" };

/** Blocks that requests must share to count as one prefix group. */
constexpr std::size_t kGroupBlocks = 4;

template<typename T>
bool
Contains(const std::vector<T>& aValues, const T& aValue)
{
  return std::find(aValues.begin(), aValues.end(), aValue) != aValues.end();
}

StrategyRequest
MakeStrategyRequest(const ChoiceRequest& aRequest, double aBlockCost)
{
  StrategyRequest request;
  request.mPromptBlocks = aRequest.mPromptBlocks.size();
  if (!aRequest.mPromptBlocks.empty()) {
    const std::size_t last =
      std::min(kGroupBlocks, aRequest.mPromptBlocks.size()) - 1;
    request.mPrefixGroup = aRequest.mPromptBlocks[last];
  }
  request.mKeyHash = aRequest.mKeyHash;
  request.mBlockCost = aBlockCost;
  return request;
}

} // namespace

const char*
CandidateNoteText(CandidateNote aNote)
{
  return kNoteTexts[static_cast<std::size_t>(aNote)];
}

ReplicaChooser::ReplicaChooser(const ChooserSettings& aSettings,
                               std::uint64_t aSeed)
  : mSettings(aSettings)
  , mSeed(aSeed)
  , mRandom(aSeed)
  , mStrategy(MakeStrategy(aSettings.mStrategy, aSettings.mStrategySettings))
{
  if (!mStrategy) {
    mStrategy = MakeStrategy("affinity", aSettings.mStrategySettings);
  }
}

ReplicaChooser::~ReplicaChooser() = default;

ReplicaChooser::Server&
ReplicaChooser::ServerFor(const InstanceId& aId)
{
  const auto found = mServers.find(aId);
  if (found != mServers.end()) {
    return found->second;
  }
  const std::uint64_t seed = HashText(aId.Text(), mSeed);
  const Server server{ ReplicaLoad{},
                       CircuitBreaker(mSettings.mBreaker, seed) };
  return mServers.emplace(aId, server).first->second;
}

CandidateNote
ReplicaChooser::Match(const ChoiceRequest& aRequest,
                      const Candidate& aCandidate) const
{
  if (aCandidate.mPool != aRequest.mPool) {
    return CandidateNote::OtherPool;
  }
  if (Contains(aRequest.mExclusions, aCandidate.mId)) {
    return CandidateNote::Excluded;
  }
  const bool lacksAdapter =
    aRequest.mAdapter && aCandidate.mAdapters &&
    !Contains(*aCandidate.mAdapters, *aRequest.mAdapter);
  if (lacksAdapter) {
    return CandidateNote::NoAdapter;
  }
  if (aRequest.mZone && aCandidate.mZone != *aRequest.mZone) {
    return CandidateNote::OtherZone;
  }
  return CandidateNote::Eligible;
}

void
ReplicaChooser::EjectUnhealthy(const std::vector<Candidate>& aCandidates,
                               Timestamp aNow,
                               Choice& aChoice)
{
  std::vector<PeerHealth> peers;
  std::vector<std::size_t> indexes;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    if (aChoice.mConsidered[index].mNote != CandidateNote::Eligible) {
      continue;
    }
    const Server& server = ServerFor(aCandidates[index].mId);
    PeerHealth peer;
    peer.mLatency = server.mLoad.RecentWait(mSettings.mLoadModel, aNow);
    peer.mBreakerOpen = !server.mBreaker.Allows(aNow);
    peers.push_back(peer);
    indexes.push_back(index);
  }
  const EjectionVerdict verdict = EjectOutliers(peers, mSettings.mOutlier);
  aChoice.mPanic = verdict.mPanic;
  for (std::size_t place = 0; place < indexes.size(); ++place) {
    if (verdict.mEjected[place]) {
      aChoice.mConsidered[indexes[place]].mNote = peers[place].mBreakerOpen
                                                    ? CandidateNote::BreakerOpen
                                                    : CandidateNote::Outlier;
    }
  }
}

void
ReplicaChooser::PreferOwnRegion(const std::vector<Candidate>& aCandidates,
                                Choice& aChoice)
{
  bool hasOwn = false;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const bool isEligible =
      aChoice.mConsidered[index].mNote == CandidateNote::Eligible;
    hasOwn = hasOwn || (isEligible && aCandidates[index].mSameRegion);
  }
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    CandidateNote& note = aChoice.mConsidered[index].mNote;
    if (hasOwn && note == CandidateNote::Eligible &&
        !aCandidates[index].mSameRegion) {
      note = CandidateNote::OtherRegion;
    }
  }
}

double
ReplicaChooser::ObserveReports(const std::vector<Candidate>& aCandidates,
                               Timestamp aNow)
{
  double total = 0.0;
  double count = 0.0;
  for (const Candidate& candidate : aCandidates) {
    ReplicaLoad& load = ServerFor(candidate.mId).mLoad;
    load.ObserveReport(candidate, aNow);
    if (load.Others()) {
      total += *load.Others();
      count += 1.0;
    }
  }
  return count > 0.0 ? total / count : 0.0;
}

std::vector<RatedCandidate>
ReplicaChooser::Rate(const ChoiceRequest& aRequest,
                     const std::vector<Candidate>& aCandidates,
                     Timestamp aNow,
                     Choice& aChoice)
{
  const double meanOthers = ObserveReports(aCandidates, aNow);
  const double blockCost = mCaches.BlockCost(aRequest.mPool);
  std::vector<RatedCandidate> rated;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const Candidate& candidate = aCandidates[index];
    ConsideredCandidate& considered = aChoice.mConsidered[index];
    const LoadEstimate estimate =
      ServerFor(candidate.mId)
        .mLoad.Estimate(candidate, meanOthers, mSettings.mLoadModel);
    considered.mScore = estimate.mWait / candidate.mWeight;
    if (considered.mNote != CandidateNote::Eligible) {
      continue;
    }
    considered.mMatchedBlocks =
      mCaches.MatchedBlocks(candidate.mId, aRequest.mPromptBlocks);
    RatedCandidate entry;
    entry.mCandidate = &candidate;
    entry.mScore = considered.mScore;
    entry.mUtilisation = estimate.mUtilisation / candidate.mWeight;
    entry.mMatchedBlocks = considered.mMatchedBlocks;
    entry.mSaving = blockCost * static_cast<double>(considered.mMatchedBlocks);
    entry.mHash = HashText(candidate.mId.Text());
    rated.push_back(entry);
  }
  return rated;
}

Choice
ReplicaChooser::Choose(const ChoiceRequest& aRequest,
                       const std::vector<Candidate>& aCandidates,
                       Timestamp aNow)
{
  Choice choice;
  choice.mConsidered.reserve(aCandidates.size());
  for (const Candidate& candidate : aCandidates) {
    ConsideredCandidate considered;
    considered.mId = candidate.mId;
    considered.mNote = Match(aRequest, candidate);
    choice.mConsidered.push_back(std::move(considered));
  }
  EjectUnhealthy(aCandidates, aNow, choice);
  PreferOwnRegion(aCandidates, choice);
  const auto rated = Rate(aRequest, aCandidates, aNow, choice);
  if (rated.empty()) {
    return choice;
  }
  const StrategyRequest request =
    MakeStrategyRequest(aRequest, mCaches.BlockCost(aRequest.mPool));
  const Pick pick = mStrategy->Choose(request, rated, mRandom);
  const Candidate& chosen = *rated[pick.mIndex].mCandidate;
  choice.mChosen = chosen.mId;
  choice.mAddress = chosen.mAddress;
  choice.mReason = pick.mReason;
  return choice;
}

void
ReplicaChooser::RecordSent(const InstanceId& aId, Timestamp aNow)
{
  Server& server = ServerFor(aId);
  server.mLoad.RecordSent();
  server.mBreaker.RecordSent(aNow);
}

CacheEvidence
ReplicaChooser::RecordFirstToken(const ChoiceRequest& aRequest,
                                 const InstanceId& aId,
                                 Microseconds aWait,
                                 Microseconds aPrefill,
                                 Timestamp aNow)
{
  ServerFor(aId).mLoad.RecordWait(aWait, mSettings.mLoadModel, aNow);
  return mCaches.RecordPrefill(
    aRequest.mPool, aId, aRequest.mPromptBlocks, aPrefill);
}

void
ReplicaChooser::RecordFinished(const InstanceId& aId, Microseconds aDuration)
{
  Server& server = ServerFor(aId);
  server.mLoad.RecordLeft();
  server.mLoad.RecordDuration(aDuration);
  server.mBreaker.RecordSuccess();
}

void
ReplicaChooser::RecordFailed(const InstanceId& aId, Timestamp aNow)
{
  Server& server = ServerFor(aId);
  server.mLoad.RecordLeft();
  server.mBreaker.RecordFailure(aNow);
}

void
ReplicaChooser::RecordWithdrawn(const InstanceId& aId)
{
  ServerFor(aId).mLoad.RecordLeft();
}

void
ReplicaChooser::ForgetServer(const InstanceId& aId)
{
  mServers.erase(aId);
  mCaches.Forget(aId);
}

std::size_t
ReplicaChooser::InFlight(const InstanceId& aId) const
{
  const auto found = mServers.find(aId);
  return found == mServers.end() ? 0 : found->second.mLoad.InFlight();
}

BreakerState
ReplicaChooser::Breaker(const InstanceId& aId) const
{
  const auto found = mServers.find(aId);
  return found == mServers.end() ? BreakerState::Closed
                                 : found->second.mBreaker.State();
}

} // namespace medlarkeel
