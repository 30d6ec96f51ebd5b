#include "teamlimiter.h"

#include <algorithm>
#include <utility>

namespace medlarkeel {

namespace {

/** Part of the free tokens that an ask may get beyond its need. */
constexpr int kPrefetchDivisor = 4;
/** Time for which an ask to an instance that isn't the owner is useless. */
constexpr Microseconds kNotOwnerRetry = Milliseconds(500);

} // namespace

TeamLimiter::Handler
TeamLimiter::HandlerOf(LimitMessageKind aKind)
{
  static const std::unordered_map<LimitMessageKind, Handler> sHandlers = {
    { LimitMessageKind::Ask, &TeamLimiter::OnAsk },
    { LimitMessageKind::Grant, &TeamLimiter::OnGrant },
    { LimitMessageKind::Return, &TeamLimiter::OnReturn },
    { LimitMessageKind::Claim, &TeamLimiter::OnClaim },
    { LimitMessageKind::Handover, &TeamLimiter::OnHandover },
  };
  const auto found = sHandlers.find(aKind);
  return found == sHandlers.end() ? nullptr : found->second;
}

std::vector<LimitMessage>
TeamLimiter::Receive(const LimitMessage& aMessage, Timestamp aNow)
{
  if (OwnershipPeers::Handles(aMessage.mKind)) {
    return mPeers.Receive(aMessage, mOwnership, aNow);
  }
  Messages out;
  const Handler handler = HandlerOf(aMessage.mKind);
  TeamState* team = Find(aMessage.mTeam);
  const bool sound = aMessage.mTokens >= 0 && aMessage.mShare >= 0 &&
                     aMessage.mLease <= mSettings.mLease &&
                     aMessage.mSlice < mSettings.mSlices;
  const bool expected =
    handler != nullptr && team != nullptr && aMessage.mTo == mSelf;
  if (sound && expected) {
    (this->*handler)(aMessage, *team, aNow, out);
  }
  return out;
}

void
TeamLimiter::OnAsk(const LimitMessage& aMessage,
                   TeamState& aTeam,
                   Timestamp aNow,
                   Messages& aOut)
{
  LimitMessage grant =
    NewMessage(aMessage.mFrom, LimitMessageKind::Grant, aTeam, aMessage.mSlice);
  grant.mTransferId = aMessage.mTransferId;
  SlicePool pool = Pool(aTeam, aNow);
  if (pool.IsEmpty()) {
    grant.mRetry = kNotOwnerRetry;
    aOut.push_back(std::move(grant));
    SendClaim(aTeam, aMessage.mSlice, aNow, aOut);
    return;
  }
  const MicroTokens waiting =
    std::clamp<MicroTokens>(aMessage.mShare, 0, aMessage.mTokens);
  const Microseconds lease =
    aMessage.mTokens > waiting ? mSettings.mLease : mSettings.mWaitLease;
  grant.mLease = std::min(lease, pool.Until() - aNow);
  grant.mTokens = pool.Lease(aMessage.mTransferId);
  if (grant.mTokens == 0) {
    const MicroTokens available = pool.WholeTokens();
    const MicroTokens needed = std::min(available, waiting);
    const MicroTokens spare = (available - needed) / kPrefetchDivisor;
    const MicroTokens extra = std::min(spare, aMessage.mTokens - waiting);
    grant.mTokens = needed + extra - extra % kWholeToken;
    const Timestamp end =
      aNow + grant.mLease + mSettings.mOwnership.mClockDrift;
    pool.Lend(aMessage.mTransferId, grant.mTokens, end);
  }
  if (grant.mTokens < waiting) {
    const Microseconds turn = NextTurn(aTeam, pool, aNow) - aNow;
    grant.mRetry = std::min(turn, mSettings.mLongestRetry);
  }
  grant.mListRevision = mOwnership.Revision();
  grant.mListAge = aNow - mOwnership.EvidenceSentAt();
  aOut.push_back(std::move(grant));
}

void
TeamLimiter::OnGrant(const LimitMessage& aMessage,
                     TeamState& aTeam,
                     Timestamp aNow,
                     Messages& aOut)
{
  TeamAccount& account = Activate(aTeam).mAccount;
  const std::optional<PendingAsk> ask = account.CloseAsk(aMessage.mTransferId);
  if (!ask) {
    return;
  }
  if (aMessage.mListRevision != 0) {
    mOwnership.ObserveRevision(aMessage.mListRevision,
                               ask->mSentAt - aMessage.mListAge);
  }
  const Timestamp expiresAt = ask->mSentAt + aMessage.mLease;
  if (aMessage.mTokens > 0 && expiresAt > aNow) {
    account.AddLease(HeldLease{ aMessage.mTransferId,
                                aMessage.mSlice,
                                aMessage.mFrom,
                                aMessage.mTokens,
                                expiresAt });
  }
  const bool silent = aMessage.mLease == Microseconds(0);
  if (aMessage.mRetry > Microseconds(0)) {
    const Timestamp retryAt = aNow + aMessage.mRetry;
    Backoff(*aTeam.mActive, aMessage.mFrom, retryAt, silent);
  }
  if (aMessage.mTokens < ask->mWaiting) {
    account.WantAgain(ask->mWaiting - aMessage.mTokens);
  }
  SendAsk(aTeam, aNow, aOut);
}

void
TeamLimiter::OnReturn(const LimitMessage& aMessage,
                      TeamState& aTeam,
                      Timestamp aNow,
                      Messages&)
{
  Pool(aTeam, aNow).TakeBack(aMessage.mTransferId, aMessage.mTokens);
}

void
TeamLimiter::OnClaim(const LimitMessage& aMessage,
                     TeamState& aTeam,
                     Timestamp aNow,
                     Messages& aOut)
{
  SliceView& view = View(aTeam, aMessage.mSlice);
  SliceLedger* ledger = OwnLedger(aTeam, view, aNow);
  const bool allowed =
    mOwnership.MayHandOver(view.mKey, aMessage.mFrom, aMessage.mListRevision);
  if (ledger == nullptr || !allowed) {
    return;
  }
  LimitMessage handover = NewMessage(
    aMessage.mFrom, LimitMessageKind::Handover, aTeam, aMessage.mSlice);
  handover.mTransferId = aMessage.mTransferId;
  handover.mTokens = ledger->Level();
  handover.mShare = ledger->OnLease();
  mOwnership.Release(view.mKey, aNow);
  view.mLedger.reset();
  Refresh(view);
  ++mStatistics.mHandovers;
  aOut.push_back(std::move(handover));
}

void
TeamLimiter::OnHandover(const LimitMessage& aMessage,
                        TeamState& aTeam,
                        Timestamp aNow,
                        Messages&)
{
  SliceView& view = View(aTeam, aMessage.mSlice);
  const bool expected = view.mClaimId != 0 &&
                        view.mClaimId == aMessage.mTransferId &&
                        aNow - view.mClaimSentAt < mSettings.mSilentBackoff;
  if (!expected) {
    return;
  }
  view.mClaimId = 0;
  if (!mOwnership.Adopt(view.mKey, aNow)) {
    return;
  }
  Refresh(view);
  const Timestamp leaseEnd =
    aNow + mSettings.mLease + mSettings.mOwnership.mClockDrift;
  view.mLedger = NewLedger(aTeam, aMessage.mSlice, aNow, aNow);
  view.mLedger->Receive(aMessage.mTokens, aMessage.mShare, leaseEnd);
}

} // namespace medlarkeel
