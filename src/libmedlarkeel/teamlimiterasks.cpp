#include "teamlimiter.h"

#include <algorithm>
#include <utility>

namespace medlarkeel {

namespace {

/** Teams that one tick looks through for slices to claim. */
constexpr std::size_t kTeamsPerScan = 64;
/** Part of a lease's time before its end at which the rest is returned. */
constexpr int kReturnDivisor = 4;

} // namespace

bool
TeamLimiter::MayAsk(const ActiveTeam& aTeam,
                    std::uint32_t aSlice,
                    Timestamp aNow) const
{
  const SliceView& view = aTeam.mSlices[aSlice];
  const bool remote = view.mOwner && *view.mOwner != mSelf;
  return remote && view.mRetryAt <= aNow;
}

LimitMessage
TeamLimiter::NewMessage(const InstanceId& aTo,
                        LimitMessageKind aKind,
                        const TeamState& aTeam,
                        std::uint32_t aSlice)
{
  LimitMessage message;
  message.mFrom = mSelf;
  message.mTo = aTo;
  message.mKind = aKind;
  message.mTeam = aTeam.mName;
  message.mSlice = aSlice;
  return message;
}

std::optional<std::uint32_t>
TeamLimiter::SliceToAsk(TeamState& aTeam, Timestamp aNow)
{
  const TeamAccount& account = aTeam.mActive->mAccount;
  const std::uint32_t active = aTeam.mLimit.ActiveSlices();
  const auto first = static_cast<std::uint32_t>(mRandom() % active);
  for (std::uint32_t step = 0; step < active; ++step) {
    const std::uint32_t slice = (first + step) % active;
    View(aTeam, slice);
    if (MayAsk(*aTeam.mActive, slice, aNow) && !account.HasAskAt(slice)) {
      return slice;
    }
  }
  return std::nullopt;
}

void
TeamLimiter::SendAsk(TeamState& aTeam, Timestamp aNow, Messages& aOut)
{
  TeamAccount& account = aTeam.mActive->mAccount;
  const MicroTokens wanted = account.Wanted();
  const bool borrows = account.HasLease() || wanted > 0;
  const MicroTokens extra =
    borrows && !account.HasAsk() ? account.Prefetch(aNow) : 0;
  if (wanted + extra < kWholeToken) {
    return;
  }
  const std::optional<std::uint32_t> slice = SliceToAsk(aTeam, aNow);
  if (!slice) {
    if (!account.HasAsk()) {
      account.GiveUp();
    }
    return;
  }
  const InstanceId owner = *View(aTeam, *slice).mOwner;
  LimitMessage ask = NewMessage(owner, LimitMessageKind::Ask, aTeam, *slice);
  ask.mTransferId = mRandom();
  ask.mTokens = wanted + extra;
  ask.mShare = wanted;
  account.AddAsk(PendingAsk{ ask.mTransferId, *slice, wanted, aNow });
  aOut.push_back(std::move(ask));
}

void
TeamLimiter::SendClaim(TeamState& aTeam,
                       std::uint32_t aSlice,
                       Timestamp aNow,
                       Messages& aOut)
{
  SliceView& view = View(aTeam, aSlice);
  const bool recent = view.mClaimSentAt != Timestamp::min() &&
                      aNow - view.mClaimSentAt < mSettings.mSilentBackoff;
  if (view.mOwner != mSelf || recent || OwnLedger(aTeam, view, aNow)) {
    return;
  }
  const std::optional<InstanceId> previous =
    mOwnership.PreviousOwner(view.mKey);
  if (!previous) {
    return;
  }
  LimitMessage claim =
    NewMessage(*previous, LimitMessageKind::Claim, aTeam, aSlice);
  claim.mTransferId = mRandom();
  claim.mListRevision = mOwnership.OwnedSinceRevision(view.mKey);
  view.mClaimId = claim.mTransferId;
  view.mClaimSentAt = aNow;
  aOut.push_back(std::move(claim));
}

void
TeamLimiter::CloseLateAsks(TeamState& aTeam, Timestamp aNow)
{
  TeamAccount& account = aTeam.mActive->mAccount;
  const Timestamp limit = aNow - mSettings.mAskTimeout;
  for (const PendingAsk& ask : account.CloseAsksBefore(limit)) {
    const SliceView& view = View(aTeam, ask.mSlice);
    if (view.mOwner) {
      Backoff(
        *aTeam.mActive, *view.mOwner, aNow + mSettings.mSilentBackoff, true);
    }
    account.WantAgain(ask.mWaiting);
    ++mStatistics.mAskTimeouts;
  }
}

void
TeamLimiter::ReturnLeases(TeamState& aTeam, Timestamp aNow, Messages& aOut)
{
  TeamAccount& account = aTeam.mActive->mAccount;
  const Timestamp limit = aNow + mSettings.mLease / kReturnDivisor;
  for (const HeldLease& lease : account.DropLeasesBefore(limit)) {
    if (lease.mExpiresAt <= aNow) {
      continue;
    }
    LimitMessage message =
      NewMessage(lease.mOwner, LimitMessageKind::Return, aTeam, lease.mSlice);
    message.mTransferId = lease.mId;
    message.mTokens = lease.mTokens;
    aOut.push_back(std::move(message));
  }
}

void
TeamLimiter::ScanForClaims(Timestamp aNow, Messages& aOut)
{
  if (mScannedGeneration != mOwnership.Generation()) {
    mScannedGeneration = mOwnership.Generation();
    mClaimScan.clear();
    for (const auto& [name, team] : mTeams) {
      mClaimScan.push_back(name);
    }
  }
  for (std::size_t count = 0; count < kTeamsPerScan && !mClaimScan.empty();
       ++count) {
    TeamState* team = Find(mClaimScan.back());
    mClaimScan.pop_back();
    if (team == nullptr) {
      continue;
    }
    const std::uint32_t active = team->mLimit.ActiveSlices();
    for (std::uint32_t slice = 0; slice < active; ++slice) {
      const RangeKey key = KeyOf(*team, slice);
      if (mOwnership.Owner(key) == mSelf && !mOwnership.Hold(key, aNow)) {
        SendClaim(*team, slice, aNow, aOut);
      }
    }
  }
}

void
TeamLimiter::Backoff(ActiveTeam& aTeam,
                     const InstanceId& aOwner,
                     Timestamp aRetryAt,
                     bool aSilent) const
{
  for (SliceView& view : aTeam.mSlices) {
    if (view.mOwner == aOwner) {
      view.mRetryAt = aRetryAt;
      view.mSilent = aSilent;
    }
  }
}

} // namespace medlarkeel
