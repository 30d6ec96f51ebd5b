#include "callermemory.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Parts of the bound, in eighths. */
constexpr std::size_t kEighths = 8;
constexpr std::size_t kAnswerEighths = 4;
constexpr std::size_t kPressureEighths = 6;
constexpr std::size_t kLargeEighths = 7;

/** Number of requests that are compared for one decision. */
constexpr std::size_t kMostCompared = 1024;

/** Bytes of a read that a resumed connection needs at least. */
constexpr std::size_t kLeastRead = 8192;

} // namespace

std::size_t
CallerMemoryBound(std::size_t aMachineBytes, double aShare)
{
  return static_cast<std::size_t>(static_cast<double>(aMachineBytes) * aShare);
}

CallerMemory::CallerMemory(const CallerMemorySettings& aSettings)
  : mSettings(aSettings)
  , mAnswerMark(aSettings.mBoundBytes / kEighths * kAnswerEighths)
  , mPressureMark(aSettings.mBoundBytes / kEighths * kPressureEighths)
  , mLargeMark(aSettings.mBoundBytes / kEighths * kLargeEighths)
{
}

CallerId
CallerMemory::Add(Timestamp aNow)
{
  mLastId += 1;
  const CallerId id{ mLastId };
  Account& account = mAccounts[id];
  account.mAdvancedAt = aNow;
  Sort(id, account);
  return id;
}

void
CallerMemory::Remove(CallerId aCaller)
{
  const auto place = mAccounts.find(aCaller);
  if (place == mAccounts.end()) {
    return;
  }
  Unsort(aCaller, place->second);
  mPausedCount -= place->second.mIsPaused ? 1 : 0;
  mAccounts.erase(place);
}

void
CallerMemory::Update(CallerId aCaller,
                     const CallerUsage& aUsage,
                     Timestamp aNow)
{
  const auto place = mAccounts.find(aCaller);
  if (place == mAccounts.end()) {
    return;
  }
  Account& account = place->second;
  const bool hasAdvanced =
    aUsage.mPhase != account.mUsage.mPhase ||
    aUsage.mMovedBytes >= account.mAdvancedBytes + mSettings.mProgressBytes;
  if (hasAdvanced) {
    account.mAdvancedAt = aNow;
    account.mAdvancedBytes = aUsage.mMovedBytes;
  }
  const bool endsPause =
    account.mIsPaused && aUsage.mPhase != account.mUsage.mPhase;
  account.mUsage = aUsage;
  if (endsPause) {
    account.mIsPaused = false;
    mPausedCount -= 1;
  }
  Sort(aCaller, account);
}

bool
CallerMemory::IsPaused(CallerId aCaller) const
{
  const auto place = mAccounts.find(aCaller);
  return place != mAccounts.end() && place->second.mIsPaused;
}

bool
CallerMemory::IsLarge(const Account& aAccount) const
{
  const CallerUsage& usage = aAccount.mUsage;
  const std::size_t expected =
    usage.mHeldBytes + (usage.mIsLengthKnown ? usage.mMissingBytes : 0);
  return usage.mPhase == CallerPhase::Receiving &&
         expected > mSettings.mSmallBytes;
}

void
CallerMemory::Sort(CallerId aCaller, Account& aAccount)
{
  Unsort(aCaller, aAccount);
  const CallerUsage& usage = aAccount.mUsage;
  aAccount.mCounted = mSettings.mConnectionBytes + usage.mHeldBytes +
                      (aAccount.mIsPaused ? mSettings.mUnreadBytes : 0);
  mTotal += aAccount.mCounted;
  if (IsLarge(aAccount)) {
    aAccount.mReadOrder =
      ReadOrder(usage.mPriority, usage.mMissingBytes, aCaller);
    mReadOrders.insert(*aAccount.mReadOrder);
  }
  if (aAccount.mIsPaused && usage.mPhase == CallerPhase::Running) {
    mPausedAhead.insert(aCaller);
  }
  const bool isAnswer = usage.mPhase == CallerPhase::Answering;
  const bool mayStall = isAnswer || usage.mPhase == CallerPhase::Receiving;
  if (mayStall && !aAccount.mIsPaused) {
    aAccount.mStallOrder =
      StallOrder(aAccount.mAdvancedAt + (isAnswer ? mSettings.mAnswerStallTime
                                                  : mSettings.mStallTime),
                 aCaller);
    mStallOrders.insert(*aAccount.mStallOrder);
  }
}

void
CallerMemory::Unsort(CallerId aCaller, Account& aAccount)
{
  mPausedAhead.erase(aCaller);
  mTotal -= aAccount.mCounted;
  aAccount.mCounted = 0;
  if (aAccount.mReadOrder) {
    mReadOrders.erase(*aAccount.mReadOrder);
    aAccount.mReadOrder.reset();
  }
  if (aAccount.mStallOrder) {
    mStallOrders.erase(*aAccount.mStallOrder);
    aAccount.mStallOrder.reset();
  }
}

void
CallerMemory::SetPaused(CallerId aCaller, Account& aAccount, bool aIsPaused)
{
  if (aAccount.mIsPaused != aIsPaused) {
    aAccount.mIsPaused = aIsPaused;
    mPausedCount += aIsPaused ? 1 : -1;
  }
  Sort(aCaller, aAccount);
}

void
CallerMemory::Evict(CallerId aCaller, std::vector<CallerId>& aEvicted)
{
  Account& account = mAccounts.at(aCaller);
  aEvicted.push_back(aCaller);
  account.mUsage.mPhase = CallerPhase::Idle;
  account.mUsage.mHeldBytes = 0;
  SetPaused(aCaller, account, false);
}

bool
CallerMemory::MakeRoom(std::size_t aBytes,
                       std::size_t aLimit,
                       CallerId aFor,
                       Timestamp aNow,
                       std::vector<CallerId>& aEvicted)
{
  while (mTotal + aBytes > aLimit) {
    const auto place = std::find_if(
      mStallOrders.begin(), mStallOrders.end(), [&](const StallOrder& aOrder) {
        return !(aOrder.second == aFor);
      });
    if (place == mStallOrders.end() || place->first > aNow) {
      return false;
    }
    Evict(place->second, aEvicted);
  }
  return true;
}

bool
CallerMemory::EvictLast(std::size_t aBytes,
                        std::size_t aLimit,
                        CallerId aFor,
                        std::vector<CallerId>& aEvicted)
{
  while (mTotal + aBytes > aLimit) {
    if (mReadOrders.empty()) {
      return false;
    }
    const CallerId last = std::get<CallerId>(*mReadOrders.rbegin());
    if (last == aFor) {
      return false;
    }
    Evict(last, aEvicted);
  }
  return true;
}

bool
CallerMemory::IsAmongFirst(CallerId aCaller) const
{
  std::size_t room = mLargeMark - std::min(mLargeMark, mTotal);
  std::size_t compared = 0;
  for (const auto& [priority, missing, id] : mReadOrders) {
    if (id == aCaller) {
      return compared == 0 || missing <= room;
    }
    compared += 1;
    if (missing > room || compared > kMostCompared) {
      return false;
    }
    room -= missing;
  }
  return false;
}

ReadVerdict
CallerMemory::DecideLarge(CallerId aCaller,
                          std::size_t aBytes,
                          std::vector<CallerId>& aEvicted)
{
  if (IsAmongFirst(aCaller) &&
      EvictLast(aBytes, mLargeMark, aCaller, aEvicted)) {
    return ReadVerdict::Read;
  }
  // What the kernel holds for a paused connection takes memory, too.
  return EvictLast(mSettings.mUnreadBytes, mLargeMark, aCaller, aEvicted)
           ? ReadVerdict::Pause
           : ReadVerdict::Refuse;
}

ReadVerdict
CallerMemory::DecideAhead(std::size_t aBytes) const
{
  return mTotal + aBytes <= mPressureMark ? ReadVerdict::Read
                                          : ReadVerdict::Pause;
}

std::size_t
CallerMemory::AnswerAllowance() const
{
  if (mTotal <= mAnswerMark) {
    return mSettings.mAnswerBytes;
  }
  const std::size_t room = mPressureMark - std::min(mPressureMark, mTotal);
  const double share = static_cast<double>(room) /
                       static_cast<double>(mPressureMark - mAnswerMark);
  return static_cast<std::size_t>(share *
                                  static_cast<double>(mSettings.mAnswerBytes));
}

ReadDecision
CallerMemory::Decide(CallerId aCaller, std::size_t aBytes, Timestamp aNow)
{
  ReadDecision decision;
  const auto place = mAccounts.find(aCaller);
  if (place == mAccounts.end()) {
    return decision;
  }
  Account& account = place->second;
  if (account.mUsage.mPhase == CallerPhase::Running) {
    decision.mVerdict = DecideAhead(aBytes);
    SetPaused(aCaller, account, decision.mVerdict == ReadVerdict::Pause);
    return decision;
  }
  const bool isLarge = IsLarge(account);
  const std::size_t limit = isLarge ? mPressureMark : mSettings.mBoundBytes;
  if (MakeRoom(aBytes, limit, aCaller, aNow, decision.mEvicted)) {
    return decision;
  }
  if (isLarge) {
    decision.mVerdict = DecideLarge(aCaller, aBytes, decision.mEvicted);
  } else if (!EvictLast(aBytes, limit, aCaller, decision.mEvicted)) {
    decision.mVerdict = ReadVerdict::Refuse;
  }
  if (decision.mVerdict == ReadVerdict::Pause) {
    SetPaused(aCaller, account, true);
  }
  return decision;
}

std::vector<CallerId>
CallerMemory::ReleaseExcess(Timestamp aNow)
{
  std::vector<CallerId> evicted;
  MakeRoom(0, mPressureMark, CallerId(), aNow, evicted);
  EvictLast(0, mLargeMark, CallerId(), evicted);
  return evicted;
}

void
CallerMemory::AddResumableAhead(std::vector<CallerId>& aResumed) const
{
  std::size_t room = mPressureMark - std::min(mPressureMark, mTotal);
  for (const CallerId id : mPausedAhead) {
    if (room < kLeastRead) {
      return;
    }
    room -= kLeastRead;
    aResumed.push_back(id);
  }
}

ResumeDecision
CallerMemory::TakeResumable(Timestamp aNow)
{
  ResumeDecision decision;
  if (!HasPaused()) {
    return decision;
  }
  MakeRoom(kLeastRead, mPressureMark, CallerId(), aNow, decision.mEvicted);
  // Below the mark the next one goes on though it can't be completed yet:
  // otherwise it would wait while those before it don't advance.
  const bool isBelowMark = mTotal + kLeastRead <= mPressureMark;
  std::size_t room = mLargeMark - std::min(mLargeMark, mTotal);
  std::size_t compared = 0;
  std::vector<CallerId> resumed;
  for (const auto& [priority, missing, id] : mReadOrders) {
    const bool isNext =
      compared == 0 || missing <= room || (isBelowMark && resumed.empty());
    if (!isNext || compared > kMostCompared) {
      break;
    }
    compared += 1;
    room -= std::min(room, missing);
    if (mAccounts.at(id).mIsPaused) {
      resumed.push_back(id);
    }
  }
  AddResumableAhead(resumed);
  for (const CallerId id : resumed) {
    Account& account = mAccounts.at(id);
    // The pause was this side's: the caller gets the whole time again.
    account.mAdvancedAt = aNow;
    SetPaused(id, account, false);
  }
  decision.mResumed = std::move(resumed);
  return decision;
}

} // namespace medlarkeel
