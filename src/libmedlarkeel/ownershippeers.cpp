#include "ownershippeers.h"

#include "rangeownership.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace medlarkeel {

namespace {

/** Members of a list below which nobody goes on without evidence. */
constexpr std::size_t kLeastMembers = 3;
constexpr std::size_t kAsksPerTick = 8;
constexpr Microseconds kFirstPatience = Seconds(1);
constexpr Microseconds kLongestPatience = Seconds(16);
/** Longest time between two asks of a member that can't clear yet. */
constexpr Microseconds kLongestClearanceRetry = Seconds(4);
/** Part of the longest outage by which clocks may differ after it. */
constexpr int kDriftDivisor = 1000;

} // namespace

OwnershipPeers::OwnershipPeers(InstanceId aSelf,
                               const OwnershipSettings& aSettings,
                               Microseconds aLongestOutage,
                               std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mEvidenceLife(aSettings.mEvidenceLife)
  , mListLag(aSettings.mListLag)
  , mClockDrift(aSettings.mClockDrift)
  , mPromiseLife(aSettings.mEvidenceLife + aSettings.mListLag)
  , mLongestOutage(aLongestOutage)
  , mRandom(aSeed)
  , mBook(mPromiseLife, mClockDrift)
{
}

bool
OwnershipPeers::Handles(LimitMessageKind aKind)
{
  return aKind >= LimitMessageKind::PromiseAsk &&
         aKind <= LimitMessageKind::Clearance;
}

std::vector<LimitMessage>
OwnershipPeers::Receive(const LimitMessage& aMessage,
                        RangeOwnership& aOwnership,
                        Timestamp aNow)
{
  using Handler = void (OwnershipPeers::*)(
    const LimitMessage&, RangeOwnership&, Timestamp, Messages&);
  static const std::unordered_map<LimitMessageKind, Handler> sHandlers = {
    { LimitMessageKind::PromiseAsk, &OwnershipPeers::OnPromiseAsk },
    { LimitMessageKind::Promise, &OwnershipPeers::OnPromise },
    { LimitMessageKind::PromiseEnd, &OwnershipPeers::OnPromiseEnd },
    { LimitMessageKind::ClearanceAsk, &OwnershipPeers::OnClearanceAsk },
    { LimitMessageKind::Clearance, &OwnershipPeers::OnClearance },
  };
  Messages out;
  const auto handler = sHandlers.find(aMessage.mKind);
  if (handler != sHandlers.end() && aMessage.mTo == mSelf) {
    Start(aNow);
    (this->*handler->second)(aMessage, aOwnership, aNow, out);
  }
  return out;
}

std::vector<LimitMessage>
OwnershipPeers::Tick(RangeOwnership& aOwnership, Timestamp aNow)
{
  Messages out;
  Start(aNow);
  if (mLongestOutage == Microseconds(0) || !aOwnership.HasReading()) {
    return out;
  }
  if (aOwnership.Revision() != mRevision) {
    Rebuild(aOwnership);
  }
  AskForPromises(aOwnership, aNow, out);
  AskForClearance(aOwnership, aNow, out);
  return out;
}

void
OwnershipPeers::Rebuild(const RangeOwnership& aOwnership)
{
  mRevision = aOwnership.Revision();
  mMembersRevision = aOwnership.MembersRevision();
  mBook.RaiseFloor(mMembersRevision);
  mMembers.clear();
  for (const InstanceId& id : aOwnership.Members()) {
    if (id != mSelf) {
      mMembers.emplace_back().mId = id;
    }
  }
  mPromiseId = 0;
  mSelfPromisedUntil = Timestamp::min();
  mRefused = false;
  mSelfCleared = false;
  mNextToClear = mMembers.empty() ? 0 : mRandom() % mMembers.size();
}

void
OwnershipPeers::ForgetPromises()
{
  mPromiseId = 0;
  mSelfPromisedUntil = Timestamp::min();
  for (Member& member : mMembers) {
    member.mAskId = 0;
    member.mClearanceId = 0;
    member.mPromisedUntil = Timestamp::min();
  }
}

OwnershipPeers::Member*
OwnershipPeers::Asked(const LimitMessage& aAnswer,
                      std::uint64_t Member::*aOpenId)
{
  const auto found =
    std::find_if(mMembers.begin(), mMembers.end(), [&](const Member& aMember) {
      return aMember.mId == aAnswer.mFrom;
    });
  const bool open = found != mMembers.end() && (*found).*aOpenId != 0 &&
                    (*found).*aOpenId == aAnswer.mTransferId;
  return open ? &*found : nullptr;
}

LimitMessage
OwnershipPeers::NewMessage(const InstanceId& aTo,
                           LimitMessageKind aKind,
                           std::uint64_t aId) const
{
  LimitMessage message;
  message.mFrom = mSelf;
  message.mTo = aTo;
  message.mKind = aKind;
  message.mTransferId = aId;
  return message;
}

void
OwnershipPeers::AskForPromises(RangeOwnership& aOwnership,
                               Timestamp aNow,
                               Messages& aOut)
{
  const Timestamp sentAt = aOwnership.EvidenceSentAt();
  if (aNow - sentAt < mEvidenceLife / 2) {
    EndPromises(aOut);
    return;
  }
  const bool tooFew = mMembers.size() + 1 < kLeastMembers;
  if (aNow - sentAt >= mLongestOutage || tooFew || mRefused) {
    return;
  }
  while (mPromiseId == 0) {
    mPromiseId = mRandom() >> 1U;
  }
  if (!mBook.Give(mPromiseId, mRevision, aNow)) {
    mRefused = true;
    return;
  }
  mSelfPromisedUntil = aNow + mPromiseLife;
  std::size_t asks = 0;
  for (Member& member : mMembers) {
    const bool due = member.mPromisedUntil < aNow + mPromiseLife / 2 &&
                     member.mNextAskAt <= aNow;
    if (!due || asks == kAsksPerTick) {
      continue;
    }
    ++asks;
    member.mAskId = mRandom() >> 1U;
    member.mAskedAt = aNow;
    member.mPatience =
      std::clamp(member.mPatience * 2, kFirstPatience, kLongestPatience);
    member.mNextAskAt = aNow + member.mPatience;
    LimitMessage ask =
      NewMessage(member.mId, LimitMessageKind::PromiseAsk, member.mAskId);
    ask.mShare = static_cast<MicroTokens>(mPromiseId);
    ask.mListRevision = mRevision;
    aOut.push_back(std::move(ask));
  }
  Extend(aOwnership, aNow);
}

void
OwnershipPeers::EndPromises(Messages& aOut)
{
  if (mPromiseId == 0) {
    return;
  }
  for (const Member& member : mMembers) {
    if (member.mAskId != 0) {
      aOut.push_back(
        NewMessage(member.mId, LimitMessageKind::PromiseEnd, mPromiseId));
    }
  }
  mBook.End(mPromiseId);
  ForgetPromises();
}

void
OwnershipPeers::Extend(RangeOwnership& aOwnership, Timestamp aNow) const
{
  Timestamp until =
    std::min(mSelfPromisedUntil, aOwnership.EvidenceSentAt() + mLongestOutage);
  for (const Member& member : mMembers) {
    until = std::min(until, member.mPromisedUntil);
  }
  if (until > aNow) {
    aOwnership.Extend(mRevision, until);
  }
}

void
OwnershipPeers::OnPromiseAsk(const LimitMessage& aMessage,
                             RangeOwnership& aOwnership,
                             Timestamp aNow,
                             Messages& aOut)
{
  LimitMessage promise =
    NewMessage(aMessage.mFrom, LimitMessageKind::Promise, aMessage.mTransferId);
  const bool hasRead =
    aOwnership.EvidenceSentAt() >= mBook.StartedAt() + mListLag;
  const bool isKnown = aOwnership.MembersRevision() <= aMessage.mListRevision;
  const auto id = static_cast<std::uint64_t>(aMessage.mShare);
  if (hasRead && isKnown && mBook.Give(id, aMessage.mListRevision, aNow)) {
    promise.mLease = mPromiseLife;
  }
  if (aOwnership.HasReading()) {
    promise.mListRevision = aOwnership.Revision();
    promise.mListAge = aNow - aOwnership.EvidenceSentAt();
  }
  aOut.push_back(std::move(promise));
}

void
OwnershipPeers::OnPromise(const LimitMessage& aMessage,
                          RangeOwnership& aOwnership,
                          Timestamp aNow,
                          Messages&)
{
  Member* member = Asked(aMessage, &Member::mAskId);
  if (member == nullptr || aOwnership.Revision() != mRevision) {
    return;
  }
  if (aMessage.mListRevision != 0) {
    aOwnership.ObserveRevision(aMessage.mListRevision,
                               member->mAskedAt - aMessage.mListAge);
  }
  if (aMessage.mLease > Microseconds(0)) {
    member->mPromisedUntil =
      member->mAskedAt + std::min(aMessage.mLease, mPromiseLife);
    member->mPatience = Microseconds(0);
    Extend(aOwnership, aNow);
  }
}

void
OwnershipPeers::OnPromiseEnd(const LimitMessage& aMessage,
                             RangeOwnership&,
                             Timestamp,
                             Messages&)
{
  mBook.End(aMessage.mTransferId);
}

Microseconds
OwnershipPeers::WitnessAge() const
{
  return mLongestOutage + mLongestOutage / kDriftDivisor + mListLag +
         mClockDrift;
}

bool
OwnershipPeers::NeedsClearance(const RangeOwnership& aOwnership,
                               Timestamp aNow) const
{
  if (!aOwnership.HasReading()) {
    return false;
  }
  const Timestamp due =
    aOwnership.MembersSeenAt() + aOwnership.TakeoverWait() / 2;
  return aOwnership.ClearedRevision() < aOwnership.MembersRevision() &&
         aNow >= due;
}

void
OwnershipPeers::AskForClearance(RangeOwnership& aOwnership,
                                Timestamp aNow,
                                Messages& aOut)
{
  if (!NeedsClearance(aOwnership, aNow)) {
    return;
  }
  ClearSelf(aOwnership, aNow);
  if (!mSelfCleared) {
    return;
  }
  std::size_t asks = 0;
  for (std::size_t step = 0; step < mMembers.size(); ++step) {
    Member& member = mMembers[(mNextToClear + step) % mMembers.size()];
    const bool due = !member.mCleared && member.mNextClearanceAskAt <= aNow;
    if (!due || asks == kAsksPerTick) {
      continue;
    }
    ++asks;
    member.mClearanceId = mRandom() >> 1U;
    member.mNextClearanceAskAt = aNow + kFirstPatience;
    LimitMessage ask = NewMessage(
      member.mId, LimitMessageKind::ClearanceAsk, member.mClearanceId);
    ask.mListRevision = mMembersRevision;
    aOut.push_back(std::move(ask));
  }
}

void
OwnershipPeers::ClearSelf(RangeOwnership& aOwnership, Timestamp aNow)
{
  if (!mSelfCleared &&
      mBook.BoundFor(mMembersRevision, aNow) == Microseconds(0)) {
    mSelfCleared = true;
  }
  const std::optional<Timestamp> listed = aOwnership.ListedSince();
  if (mSelfCleared && listed && aNow - *listed >= WitnessAge()) {
    aOwnership.Clear(mMembersRevision, aNow);
  }
  ClearIfAll(aOwnership, aNow);
}

void
OwnershipPeers::ClearIfAll(RangeOwnership& aOwnership, Timestamp aNow) const
{
  const bool all =
    std::all_of(mMembers.begin(), mMembers.end(), [](const Member& aMember) {
      return aMember.mCleared;
    });
  if (mSelfCleared && all) {
    aOwnership.Clear(mMembersRevision, aNow);
  }
}

void
OwnershipPeers::OnClearanceAsk(const LimitMessage& aMessage,
                               RangeOwnership& aOwnership,
                               Timestamp aNow,
                               Messages& aOut)
{
  mBook.RaiseFloor(aMessage.mListRevision);
  LimitMessage answer = NewMessage(
    aMessage.mFrom, LimitMessageKind::Clearance, aMessage.mTransferId);
  answer.mRetry = mBook.BoundFor(aMessage.mListRevision, aNow);
  if (const std::optional<Timestamp> listed = aOwnership.ListedSince()) {
    answer.mListAge = aNow - *listed;
  }
  aOut.push_back(std::move(answer));
}

void
OwnershipPeers::OnClearance(const LimitMessage& aMessage,
                            RangeOwnership& aOwnership,
                            Timestamp aNow,
                            Messages&)
{
  Member* member = Asked(aMessage, &Member::mClearanceId);
  if (member == nullptr || aOwnership.Revision() != mRevision) {
    return;
  }
  if (aMessage.mRetry > Microseconds(0)) {
    member->mNextClearanceAskAt =
      aNow + std::min(aMessage.mRetry, kLongestClearanceRetry);
    return;
  }
  member->mCleared = true;
  if (!NeedsClearance(aOwnership, aNow)) {
    return;
  }
  if (aMessage.mListAge >= WitnessAge()) {
    aOwnership.Clear(mMembersRevision, aNow);
  }
  ClearIfAll(aOwnership, aNow);
}

} // namespace medlarkeel
