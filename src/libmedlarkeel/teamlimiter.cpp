#include "teamlimiter.h"

#include <algorithm>
#include <utility>

namespace medlarkeel {

namespace {

/** Time between two searches for idle teams. */
constexpr Microseconds kSweepInterval = Milliseconds(500);

/** Time for which new buckets, which are empty, fill before requests come. */
constexpr Microseconds kFirstFill = Milliseconds(100);

OwnershipSettings
OwnershipOf(const TeamLimiterSettings& aSettings)
{
  OwnershipSettings ownership = aSettings.mOwnership;
  ownership.mNeedsClearance = aSettings.mLongestOutage > Microseconds(0);
  return ownership;
}

} // namespace

TeamLimiter::TeamLimiter(InstanceId aSelf,
                         const TeamLimiterSettings& aSettings,
                         std::uint64_t aSeed)
  : mSelf(aSelf)
  , mSettings(aSettings)
  , mRandom(aSeed)
  , mOwnership(aSelf, OwnershipOf(aSettings), aSettings.mScope)
  , mPeers(std::move(aSelf),
           aSettings.mOwnership,
           aSettings.mLongestOutage,
           mRandom())
{
}

void
TeamLimiter::SetTeams(const std::vector<TeamLimit>& aTeams, Timestamp aNow)
{
  std::unordered_map<TeamName, const TeamLimit*> wanted;
  for (const TeamLimit& team : aTeams) {
    wanted[team.mTeam] = &team;
  }
  const auto gone = [&](const TeamState* aTeam) {
    return wanted.count(aTeam->mName) == 0;
  };
  mActiveTeams.erase(
    std::remove_if(mActiveTeams.begin(), mActiveTeams.end(), gone),
    mActiveTeams.end());
  for (auto team = mTeams.begin(); team != mTeams.end();) {
    team = gone(&team->second) ? mTeams.erase(team) : std::next(team);
  }
  for (const auto& [name, team] : wanted) {
    const SlicedLimit limit(*team, mSettings.mSlices);
    const auto [entry, isNew] = mTeams.try_emplace(name);
    TeamState& state = entry->second;
    if (isNew) {
      state.mName = name;
      state.mLimit = limit;
      state.mPrevious = limit;
      state.mLimitSince = aNow;
      state.mRaiseAt = aNow;
    } else if (!(state.mLimit == limit)) {
      ChangeLimit(state, limit, aNow);
    }
  }
}

void
TeamLimiter::ChangeLimit(TeamState& aTeam, SlicedLimit aLimit, Timestamp aNow)
{
  ActiveTeam& active = Activate(aTeam);
  for (SliceView& view : active.mSlices) {
    OwnLedger(aTeam, view, aNow);
  }
  const bool sameSlices = aTeam.mLimit.ActiveSlices() == aLimit.ActiveSlices();
  aTeam.mPrevious = aTeam.mLimit;
  aTeam.mLimit = aLimit;
  aTeam.mLimitSince = aNow;
  aTeam.mRaiseAt = sameSlices ? aNow : aNow + mSettings.mDocumentSpread;
  for (std::uint32_t slice = 0; slice < mSettings.mSlices; ++slice) {
    std::optional<SliceLedger>& ledger = active.mSlices[slice].mLedger;
    if (ledger) {
      ledger->ChangeLimit(aLimit.Slice(slice), aNow, aTeam.mRaiseAt);
    }
  }
}

void
TeamLimiter::ObserveList(const InstanceList& aList,
                         Timestamp aSentAt,
                         Timestamp aReceivedAt)
{
  mPeers.Start(aReceivedAt);
  mOwnership.Observe(aList, aSentAt, aReceivedAt);
}

TeamLimiter::TeamState*
TeamLimiter::Find(const TeamName& aTeam)
{
  const auto found = mTeams.find(aTeam);
  return found == mTeams.end() ? nullptr : &found->second;
}

RangeKey
TeamLimiter::KeyOf(const TeamState& aTeam, std::uint32_t aSlice)
{
  const std::string& name = aTeam.mName.Text();
  RangeKey key = RangeKeyOf(name + '/' + std::to_string(aSlice));
  key.mSpread = RegionSpread{ RangeKeyOf(name).mHash, aSlice };
  return key;
}

TeamLimiter::ActiveTeam&
TeamLimiter::Activate(TeamState& aTeam)
{
  if (aTeam.mActive) {
    return *aTeam.mActive;
  }
  aTeam.mActive = std::make_unique<ActiveTeam>();
  mActiveTeams.push_back(&aTeam);
  for (std::uint32_t slice = 0; slice < mSettings.mSlices; ++slice) {
    SliceView view;
    view.mKey = KeyOf(aTeam, slice);
    Refresh(view);
    aTeam.mActive->mSlices.push_back(std::move(view));
  }
  return *aTeam.mActive;
}

void
TeamLimiter::Refresh(SliceView& aView) const
{
  aView.mGeneration = mOwnership.Generation();
  const std::optional<InstanceId> owner = mOwnership.Owner(aView.mKey);
  if (aView.mOwner != owner) {
    aView.mOwner = owner;
    aView.mRetryAt = Timestamp::min();
    aView.mSilent = false;
  }
  aView.mSpan = mOwnership.Span(aView.mKey);
}

TeamLimiter::SliceView&
TeamLimiter::View(TeamState& aTeam, std::uint32_t aSlice)
{
  SliceView& view = Activate(aTeam).mSlices[aSlice];
  if (view.mGeneration != mOwnership.Generation()) {
    Refresh(view);
  }
  return view;
}

SliceLedger
TeamLimiter::NewLedger(const TeamState& aTeam,
                       std::uint32_t aSlice,
                       Timestamp aSince,
                       Timestamp aNow) const
{
  const SliceLimit limit = aTeam.mLimit.Slice(aSlice);
  SliceLimit early = limit;
  if (aNow < aTeam.mRaiseAt) {
    const SliceLimit before = aTeam.mPrevious.Slice(aSlice);
    early.mPerSecond = std::min(early.mPerSecond, before.mPerSecond);
  }
  SliceLedger ledger(early, std::max(aSince, aTeam.mLimitSince));
  ledger.ChangeLimit(limit, aNow, aTeam.mRaiseAt);
  return ledger;
}

SliceLedger*
TeamLimiter::OwnLedger(TeamState& aTeam, SliceView& aView, Timestamp aNow)
{
  if (aView.mGeneration != mOwnership.Generation()) {
    Refresh(aView);
  }
  if (!aView.mSpan) {
    return nullptr;
  }
  const std::optional<OwnershipHold> hold = mOwnership.Hold(*aView.mSpan, aNow);
  if (!hold) {
    return nullptr;
  }
  if (!aView.mLedger) {
    const std::uint32_t slice = aView.mKey.mSpread->mIndex;
    aView.mLedger = NewLedger(aTeam, slice, hold->mSince, aNow);
  } else if (hold->mSince > aView.mLedger->SettledAt()) {
    aView.mLedger->RestartAt(hold->mSince);
  }
  aView.mLedger->Settle(aNow);
  return &*aView.mLedger;
}

SlicePool
TeamLimiter::Pool(TeamState& aTeam, Timestamp aNow)
{
  SlicePool pool;
  for (std::uint32_t slice = 0; slice < aTeam.mLimit.ActiveSlices(); ++slice) {
    SliceView& view = View(aTeam, slice);
    SliceLedger* ledger = OwnLedger(aTeam, view, aNow);
    if (ledger == nullptr) {
      continue;
    }
    pool.Add(*ledger, mOwnership.Hold(*view.mSpan, aNow)->mUntil);
  }
  pool.SortByLevel();
  return pool;
}

Timestamp
TeamLimiter::NextTurn(TeamState& aTeam, const SlicePool& aPool, Timestamp aNow)
{
  Timestamp& turn = aTeam.mActive->mTurnAt;
  const Timestamp mine = std::max(turn, aPool.NextTokenAt(aNow));
  turn = std::min(mine + AccrualTime(kWholeToken, aPool.PerSecond()),
                  aNow + mSettings.mLongestRetry);
  return mine;
}

AdmitVerdict
TeamLimiter::Admit(const TeamName& aTeam, Timestamp aNow, AdmitAttempt aAttempt)
{
  TeamState* team = Find(aTeam);
  if (team == nullptr) {
    AdmitVerdict unknown;
    unknown.mCause = ShortageCause::UnknownTeam;
    return unknown;
  }
  TeamAccount& account = Activate(*team).mAccount;
  if (aAttempt == AdmitAttempt::First) {
    account.RecordArrival(aNow);
  }
  if (account.SpendHeld(aNow) || Pool(*team, aNow).Spend(kWholeToken)) {
    ++mStatistics.mAdmitted;
    AdmitVerdict admitted;
    admitted.mAdmitted = true;
    return admitted;
  }
  return CountRefusal(Shortage(*team, aNow, aAttempt));
}

AdmitVerdict
TeamLimiter::CountRefusal(AdmitVerdict aVerdict)
{
  if (aVerdict.mAskPending) {
    return aVerdict;
  }
  const bool byRate = aVerdict.mCause == ShortageCause::TeamRate;
  ++(byRate ? mStatistics.mRefusedByRate : mStatistics.mRefusedByShortage);
  return aVerdict;
}

AdmitVerdict
TeamLimiter::Shortage(TeamState& aTeam, Timestamp aNow, AdmitAttempt aAttempt)
{
  Timestamp due = aNow + mSettings.mLongestRetry;
  bool askable = false;
  bool outOfReach = false;
  const SlicePool pool = Pool(aTeam, aNow);
  due = std::min(due, pool.NextTokenAt(aNow));
  for (std::uint32_t slice = 0; slice < aTeam.mLimit.ActiveSlices(); ++slice) {
    SliceView& view = View(aTeam, slice);
    if (OwnLedger(aTeam, view, aNow) != nullptr) {
      continue;
    }
    if (MayAsk(*aTeam.mActive, slice, aNow)) {
      askable = true;
    } else if (view.mOwner == mSelf || !view.mOwner || view.mSilent) {
      outOfReach = true;
    } else if (view.mRetryAt > aNow) {
      due = std::min(due, view.mRetryAt);
    }
  }
  TeamAccount& account = aTeam.mActive->mAccount;
  if (askable && aAttempt == AdmitAttempt::First) {
    account.Want(aTeam.mLimit.Burst());
  }
  AdmitVerdict verdict;
  verdict.mAskPending = account.HasAsk() || account.Wanted() > 0;
  const bool local = verdict.mAskPending || outOfReach;
  verdict.mCause =
    local ? ShortageCause::LocalShortage : ShortageCause::TeamRate;
  verdict.mRetryAfter = std::max(due - aNow, Microseconds(Milliseconds(1)));
  return verdict;
}

std::vector<LimitMessage>
TeamLimiter::Tick(Timestamp aNow)
{
  Messages out = mPeers.Tick(mOwnership, aNow);
  ScanForClaims(aNow, out);
  for (std::size_t index = 0; index < mActiveTeams.size(); ++index) {
    TickTeam(*mActiveTeams[index], aNow, out);
  }
  if (aNow - mSweptAt < kSweepInterval) {
    return out;
  }
  mSweptAt = aNow;
  const auto idle = [&](TeamState* aTeam) {
    if (!IsIdle(*aTeam, aNow)) {
      return false;
    }
    aTeam->mActive.reset();
    return true;
  };
  mActiveTeams.erase(
    std::remove_if(mActiveTeams.begin(), mActiveTeams.end(), idle),
    mActiveTeams.end());
  return out;
}

void
TeamLimiter::TickTeam(TeamState& aTeam, Timestamp aNow, Messages& aOut)
{
  CloseLateAsks(aTeam, aNow);
  ReturnLeases(aTeam, aNow, aOut);
  SendAsk(aTeam, aNow, aOut);
}

bool
TeamLimiter::IsIdle(TeamState& aTeam, Timestamp aNow)
{
  ActiveTeam& active = *aTeam.mActive;
  const bool used = aNow - active.mAccount.LastUsed() < mSettings.mIdleAfter ||
                    active.mAccount.HasAsk() || active.mAccount.HasLease();
  if (used) {
    return false;
  }
  for (SliceView& view : active.mSlices) {
    const bool claiming =
      view.mClaimId != 0 && aNow - view.mClaimSentAt < mSettings.mSilentBackoff;
    const SliceLedger* own = OwnLedger(aTeam, view, aNow);
    const bool mayReturn = own == nullptr && view.mLedger && view.mSpan;
    if (claiming || mayReturn || (own != nullptr && !own->IsFull())) {
      return false;
    }
  }
  return true;
}

void
TeamLimiter::ResumeAfterPause(Timestamp aNow)
{
  mOwnership.ResumeAfterPause(aNow);
  mPeers.ForgetPromises();
  for (TeamState* team : mActiveTeams) {
    team->mActive->mAccount.ForgetAsks();
    for (SliceView& view : team->mActive->mSlices) {
      view.mClaimId = 0;
    }
  }
}

bool
TeamLimiter::IsWithinReach(Timestamp aNow) const
{
  const std::optional<Timestamp> since = mOwnership.OwnedSince();
  return mStatistics.mAdmitted > 0 || (since && aNow >= *since + kFirstFill);
}

std::size_t
TeamLimiter::OwnedSlices(const TeamName& aTeam, Timestamp aNow)
{
  TeamState* team = Find(aTeam);
  if (team == nullptr) {
    return 0;
  }
  std::size_t count = 0;
  for (std::uint32_t slice = 0; slice < team->mLimit.ActiveSlices(); ++slice) {
    SliceView& view = View(*team, slice);
    count += OwnLedger(*team, view, aNow) != nullptr ? 1 : 0;
  }
  return count;
}

TeamLimiterStatistics
TeamLimiter::Statistics() const
{
  TeamLimiterStatistics statistics = mStatistics;
  statistics.mActiveTeams = mActiveTeams.size();
  for (const TeamState* team : mActiveTeams) {
    for (const SliceView& view : team->mActive->mSlices) {
      statistics.mLedgers += view.mLedger ? 1 : 0;
    }
  }
  return statistics;
}

} // namespace medlarkeel
