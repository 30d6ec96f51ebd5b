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
  Messages out;
  const Handler handler = HandlerOf(aMessage.mKind);
  TeamState* team = Find(aMessage.mTeam);
  const bool valid = handler != nullptr && team != nullptr &&
                     aMessage.mTo == mSelf &&
                     aMessage.mSlice < mSettings.mSlices;
  if (valid) {
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
  SliceView& view = View(aTeam, aMessage.mSlice, aNow);
  LimitMessage grant =
    NewMessage(aMessage.mFrom, LimitMessageKind::Grant, aTeam, aMessage.mSlice);
  grant.mTransferId = aMessage.mTransferId;
  SliceLedger* ledger = OwnLedger(aTeam, view, aNow);
  if (ledger == nullptr) {
    grant.mRetry = kNotOwnerRetry;
    aOut.push_back(std::move(grant));
    SendClaim(aTeam, aMessage.mSlice, aNow, aOut);
    return;
  }
  const OwnershipHold hold = *mOwnership.Hold(*view.mSpan, aNow);
  grant.mLease = std::min(mSettings.mLease, hold.mUntil - aNow);
  const MicroTokens waiting =
    std::clamp<MicroTokens>(aMessage.mShare, 0, aMessage.mTokens);
  const std::optional<MicroTokens> repeated =
    ledger->Lease(aMessage.mTransferId);
  if (repeated) {
    grant.mTokens = *repeated;
  } else {
    const MicroTokens available = ledger->Available();
    const MicroTokens needed = std::min(available, waiting);
    const MicroTokens spare = (available - needed) / kPrefetchDivisor;
    const MicroTokens extra = std::min(spare, aMessage.mTokens - waiting);
    grant.mTokens = needed + extra - extra % kWholeToken;
    if (grant.mTokens > 0) {
      const Timestamp end =
        aNow + grant.mLease + mSettings.mOwnership.mClockDrift;
      ledger->Lend(aMessage.mTransferId, grant.mTokens, end);
    }
  }
  if (grant.mTokens < waiting) {
    const Microseconds turn = ledger->NextTurn(aNow) - aNow;
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
  TeamAccount& account = Activate(aTeam, aNow).mAccount;
  const std::optional<PendingAsk> ask = account.CloseAsk(aMessage.mTransferId);
  if (!ask) {
    return;
  }
  if (aMessage.mListRevision != 0) {
    mOwnership.ObserveRevision(aMessage.mListRevision,
                               ask->mSentAt - aMessage.mListAge);
  }
  SliceView& view = View(aTeam, aMessage.mSlice, aNow);
  view.mSilent = aMessage.mLease == Microseconds(0);
  const Timestamp expiresAt = ask->mSentAt + aMessage.mLease;
  if (aMessage.mTokens > 0 && expiresAt > aNow) {
    account.AddLease(HeldLease{ aMessage.mTransferId,
                                aMessage.mSlice,
                                aMessage.mFrom,
                                aMessage.mTokens,
                                expiresAt });
  }
  if (aMessage.mRetry > Microseconds(0)) {
    view.mRetryAt = aNow + aMessage.mRetry;
  }
  if (aMessage.mTokens < ask->mWaiting) {
    account.WantAgain(ask->mWaiting - aMessage.mTokens);
    SendAsk(aTeam, aNow, aOut);
  }
}

void
TeamLimiter::OnReturn(const LimitMessage& aMessage,
                      TeamState& aTeam,
                      Timestamp aNow,
                      Messages&)
{
  SliceView& view = View(aTeam, aMessage.mSlice, aNow);
  SliceLedger* ledger = OwnLedger(aTeam, view, aNow);
  if (ledger != nullptr) {
    ledger->TakeBack(aMessage.mTransferId, aMessage.mTokens);
  }
}

void
TeamLimiter::OnClaim(const LimitMessage& aMessage,
                     TeamState& aTeam,
                     Timestamp aNow,
                     Messages& aOut)
{
  SliceView& view = View(aTeam, aMessage.mSlice, aNow);
  SliceLedger* ledger = OwnLedger(aTeam, view, aNow);
  const bool known = view.mOwner == mSelf || view.mOwner == aMessage.mFrom;
  if (ledger == nullptr || !known) {
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
  SliceView& view = View(aTeam, aMessage.mSlice, aNow);
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
