#include "orderissuer.h"

#include <algorithm>
#include <utility>

namespace medlarkeel {

namespace {

bool
NeedsDrain(OrderKind aKind)
{
  return aKind == OrderKind::LoadVersion || aKind == OrderKind::ChangeRole;
}

} // namespace

OrderIssuer::OrderIssuer(Incarnation aIncarnation,
                         bool aHonoursFencing,
                         Timestamp aStarted,
                         OrderLimits aLimits)
  : mIncarnation(aIncarnation)
  , mHonoursFencing(aHonoursFencing)
  , mLimits(aLimits)
  , mReadAfter(aStarted)
{
  if (!aHonoursFencing) {
    mReadAfter += mLimits.mListLag + mLimits.mListValidity;
    mReadAfter += mLimits.mPauseBound + mLimits.mOrderTimeout;
  }
}

void
OrderIssuer::SetDesired(BackendState aDesired)
{
  mDesired = std::move(aDesired);
}

void
OrderIssuer::RecordListed(Timestamp aRequested)
{
  mListed = mListed ? std::max(*mListed, aRequested) : aRequested;
}

bool
OrderIssuer::MayDecide(Timestamp aNow) const
{
  if (mPausedUntil && (!mListed || *mListed < *mPausedUntil)) {
    return false;
  }
  if (mHonoursFencing) {
    return true;
  }
  return mListed && aNow - *mListed <= mLimits.mListValidity;
}

OrderStep
OrderIssuer::Next(bool aIsDrained, Timestamp aNow)
{
  if (mOutstanding) {
    const Timestamp end =
      mOutstanding->mDecided + mLimits.mPauseBound + mLimits.mOrderTimeout;
    if (aNow < end) {
      return WaitStep{ end };
    }
    VoidOrder(aNow);
  }
  if (mIsSuperseded || !mDesired || !MayDecide(aNow)) {
    return WaitStep{};
  }
  if (!mObserved || aNow - mObservedAt > mLimits.mStateValidity) {
    if (aNow < mReadAfter) {
      return WaitStep{ mReadAfter };
    }
    return ReadStateStep{};
  }
  const std::optional<BackendOrder> order = NextOrder();
  if (!order) {
    return WaitStep{};
  }
  if (NeedsDrain(order->mKind) && !aIsDrained) {
    return DrainStep{};
  }
  const FencingToken token{ mIncarnation, ++mLastCounter };
  mOutstanding = Outstanding{ token, aNow, false };
  return SendOrderStep{ token, *order };
}

bool
OrderIssuer::MaySend(FencingToken aToken, Timestamp aNow)
{
  if (!mOutstanding || !(mOutstanding->mToken == aToken) ||
      mOutstanding->mIsSent) {
    return false;
  }
  if (aNow - mOutstanding->mDecided > mLimits.mPauseBound) {
    VoidOrder(aNow);
    return false;
  }
  mOutstanding->mIsSent = true;
  return true;
}

void
OrderIssuer::Withdraw(FencingToken aToken, Timestamp aNow)
{
  if (mOutstanding && mOutstanding->mToken == aToken &&
      !mOutstanding->mIsSent) {
    VoidOrder(aNow);
  }
}

void
OrderIssuer::ResumeAfterPause(Timestamp aNow)
{
  mPausedUntil = aNow;
  mObserved.reset();
  mReadAfter = std::max(mReadAfter, aNow);
  if (mOutstanding && !mOutstanding->mIsSent) {
    VoidOrder(mReadAfter);
  }
}

void
OrderIssuer::RecordFencingNumber(std::uint64_t aNumber)
{
  const FencingToken latest{ mIncarnation, mLastCounter };
  mIsSuperseded = mIsSuperseded || aNumber > FencingNumber(latest);
}

void
OrderIssuer::RecordState(const BackendState& aState,
                         std::optional<FencingToken> aLastToken,
                         Timestamp aRequested)
{
  if (aLastToken && mIncarnation < aLastToken->mIncarnation) {
    mIsSuperseded = true;
    return;
  }
  if (!mOutstanding && aRequested >= mReadAfter) {
    mObserved = aState;
    mObservedAt = aRequested;
  }
}

void
OrderIssuer::RecordResult(FencingToken aToken,
                          OrderResult aResult,
                          Timestamp aNow)
{
  if (!mOutstanding || !(mOutstanding->mToken == aToken)) {
    return;
  }
  if (aResult == OrderResult::RefusedAsOld) {
    mIsSuperseded = true;
  }
  const bool mayComeLate = aResult == OrderResult::TimedOut;
  VoidOrder(mayComeLate ? aNow + mLimits.mOrderTimeout : aNow);
}

std::optional<BackendOrder>
OrderIssuer::NextOrder() const
{
  if (mObserved->mVersion != mDesired->mVersion) {
    return BackendOrder{ OrderKind::LoadVersion, mDesired->mVersion };
  }
  if (mObserved->mRole != mDesired->mRole) {
    return BackendOrder{ OrderKind::ChangeRole, mDesired->mRole };
  }
  for (const AdapterName& adapter : mObserved->mAdapters) {
    if (mDesired->mAdapters.count(adapter) == 0) {
      return BackendOrder{ OrderKind::UnloadAdapter, adapter.Text() };
    }
  }
  for (const AdapterName& adapter : mDesired->mAdapters) {
    if (mObserved->mAdapters.count(adapter) == 0) {
      return BackendOrder{ OrderKind::LoadAdapter, adapter.Text() };
    }
  }
  return std::nullopt;
}

void
OrderIssuer::VoidOrder(Timestamp aReadAfter)
{
  mOutstanding.reset();
  mObserved.reset();
  mReadAfter = aReadAfter;
}

} // namespace medlarkeel
