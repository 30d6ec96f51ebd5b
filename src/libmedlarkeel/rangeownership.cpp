#include "rangeownership.h"

#include "settings.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace medlarkeel {

namespace {

/** Member sets that are kept to tell since when a range is owned. */
constexpr std::size_t kHistoryLimit = 32;

std::uint64_t
HashOf(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

std::uint64_t
Weight(std::uint64_t aKey, std::uint64_t aMember)
{
  return XXH3_64bits_withSeed(&aKey, sizeof(aKey), aMember);
}

std::uint64_t
RegionOf(const RegionSpread& aSpread, std::vector<std::uint64_t> aRegions)
{
  std::sort(aRegions.begin(),
            aRegions.end(),
            [&](std::uint64_t aLeft, std::uint64_t aRight) {
              return Weight(aSpread.mGroup, aLeft) >
                     Weight(aSpread.mGroup, aRight);
            });
  return aRegions[aSpread.mIndex % aRegions.size()];
}

/** Finds the member with the highest weight; ties go to the first id. */
template<typename Members, typename Predicate>
auto
Heaviest(const Members& aMembers, std::uint64_t aKey, Predicate aAccept)
{
  auto best = aMembers.end();
  std::uint64_t bestWeight = 0;
  for (auto member = aMembers.begin(); member != aMembers.end(); ++member) {
    if (!aAccept(*member)) {
      continue;
    }
    const std::uint64_t weight = Weight(aKey, member->mHash);
    if (best == aMembers.end() || weight > bestWeight) {
      best = member;
      bestWeight = weight;
    }
  }
  return best;
}

} // namespace

OwnershipSettings
OwnershipSettingsFrom(const ControlSettings& aSettings)
{
  OwnershipSettings ownership;
  ownership.mEvidenceLife = aSettings.mEvidenceValid;
  ownership.mListLag = aSettings.mListLagBound;
  return ownership;
}

RangeKey
RangeKeyOf(const std::string& aText)
{
  return RangeKey{ HashOf(aText), std::nullopt };
}

RangeOwnership::RangeOwnership(InstanceId aSelf,
                               OwnershipSettings aSettings,
                               OwnershipScope aScope)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
  , mScope(std::move(aScope))
{
}

Microseconds
RangeOwnership::TakeoverWait() const
{
  return mSettings.mEvidenceLife + mSettings.mListLag + mSettings.mClockDrift;
}

std::size_t
RangeOwnership::MemberCount() const
{
  return mHistory.empty() ? 0 : mHistory.back().mLive.size();
}

Timestamp
RangeOwnership::EvidenceSentAt() const
{
  return mHistory.empty() ? Timestamp::min() : mHistory.back().mLastSentAt;
}

RangeOwnership::MemberSet
RangeOwnership::MembersOf(const InstanceList& aList) const
{
  MemberSet set;
  for (const InstanceRecord& record : aList.mInstances) {
    const bool isInPool =
      mScope.mPool.IsEmpty() || record.mPool == mScope.mPool;
    if (record.mRole != mScope.mRole || !isInPool) {
      continue;
    }
    const Member member{ HashOf(record.mId.Text()),
                         HashOf(record.mRegion.Text()),
                         record.mId };
    const bool live = record.mState == InstanceState::Live;
    (live ? set.mLive : set.mLeaving).push_back(member);
    if (live) {
      set.mRegions.push_back(member.mRegion);
    }
  }
  const auto byId = [](const Member& aLeft, const Member& aRight) {
    return aLeft.mId < aRight.mId;
  };
  std::sort(set.mLive.begin(), set.mLive.end(), byId);
  std::sort(set.mLeaving.begin(), set.mLeaving.end(), byId);
  std::sort(set.mRegions.begin(), set.mRegions.end());
  set.mRegions.erase(std::unique(set.mRegions.begin(), set.mRegions.end()),
                     set.mRegions.end());
  return set;
}

std::vector<InstanceId>
RangeOwnership::Members() const
{
  std::vector<InstanceId> ids;
  if (mHistory.empty()) {
    return ids;
  }
  for (const auto* members :
       { &mHistory.back().mLive, &mHistory.back().mLeaving }) {
    for (const Member& member : *members) {
      ids.push_back(member.mId);
    }
  }
  return ids;
}

std::uint64_t
RangeOwnership::MembersRevision() const
{
  return mHistory.empty() ? 0 : mHistory.back().mFirstRevision;
}

Timestamp
RangeOwnership::MembersSeenAt() const
{
  return mHistory.empty() ? Timestamp::min() : mHistory.back().mFirstSeen;
}

void
RangeOwnership::NoteOwnListing(const MemberSet& aSet, Timestamp aReceivedAt)
{
  const auto isSelf = [&](const Member& aMember) {
    return aMember.mId == mSelf;
  };
  const bool listed =
    std::any_of(aSet.mLive.begin(), aSet.mLive.end(), isSelf) ||
    std::any_of(aSet.mLeaving.begin(), aSet.mLeaving.end(), isSelf);
  if (!listed) {
    mListedSince.reset();
  } else if (!mListedSince) {
    mListedSince = aReceivedAt;
  }
}

void
RangeOwnership::Observe(const InstanceList& aList,
                        Timestamp aSentAt,
                        Timestamp aReceivedAt)
{
  if (aList.mRevision < mRevision) {
    NoteLagBreach(aList.mRevision, aSentAt);
    return;
  }
  const bool adjacent = !mHistory.empty() && aList.mRevision - mRevision <= 1;
  const bool close = !mHistory.empty() &&
                     aReceivedAt - EvidenceSentAt() <= mSettings.mEvidenceLife;
  if (!mHistory.empty() && !adjacent && !close) {
    BreakChain();
  }
  if (mHistory.empty() || aList.mRevision != mRevision) {
    mRevision = aList.mRevision;
    mRevisionSeenAt = aReceivedAt;
    MemberSet set = MembersOf(aList);
    NoteOwnListing(set, aReceivedAt);
    Append(std::move(set), aSentAt, aReceivedAt);
    return;
  }
  ObserveRevision(aList.mRevision, aSentAt);
}

void
RangeOwnership::ObserveRevision(std::uint64_t aRevision, Timestamp aSentAt)
{
  if (mHistory.empty() || aRevision != mRevision) {
    return;
  }
  Timestamp& last = mHistory.back().mLastSentAt;
  last = std::max(last, aSentAt);
}

void
RangeOwnership::Append(MemberSet&& aSet,
                       Timestamp aSentAt,
                       Timestamp aReceivedAt)
{
  const auto same = [](const std::vector<Member>& aLeft,
                       const std::vector<Member>& aRight) {
    return std::equal(aLeft.begin(),
                      aLeft.end(),
                      aRight.begin(),
                      aRight.end(),
                      [](const Member& aOne, const Member& aOther) {
                        return aOne.mId == aOther.mId &&
                               aOne.mRegion == aOther.mRegion;
                      });
  };
  if (!mHistory.empty() && same(mHistory.back().mLive, aSet.mLive) &&
      same(mHistory.back().mLeaving, aSet.mLeaving)) {
    Timestamp& last = mHistory.back().mLastSentAt;
    last = std::max(last, aSentAt);
    mHistory.back().mLastRevision = mRevision;
    return;
  }
  aSet.mFirstRevision = mRevision;
  aSet.mLastRevision = mRevision;
  aSet.mFirstSeen = aReceivedAt;
  aSet.mLastSentAt = aSentAt;
  mHistory.push_back(std::move(aSet));
  if (mHistory.size() > kHistoryLimit) {
    mHistory.erase(mHistory.begin());
  }
  ++mGeneration;
  DropOldTransfers();
}

void
RangeOwnership::BreakChain()
{
  mHistory.clear();
  mTransfers.clear();
  mListedSince.reset();
  ++mGeneration;
  ++mChainBreaks;
}

void
RangeOwnership::NoteLagBreach(std::uint64_t aRevision, Timestamp aSentAt)
{
  const bool behind = aSentAt - mRevisionSeenAt > mSettings.mListLag;
  if (aRevision < mRevision && behind) {
    ++mLagBreaches;
    BreakChain();
  }
}

void
RangeOwnership::DropOldTransfers()
{
  for (auto entry = mTransfers.begin(); entry != mTransfers.end();) {
    const Transfer& transfer = entry->second;
    const std::size_t last = mHistory.size() - 1;
    const bool owned = IsOwner(mHistory.back(), transfer.mKey);
    const bool replaced =
      owned &&
      mHistory[FirstOwned(transfer.mKey, last)].mFirstSeen > transfer.mAt;
    entry = replaced ? mTransfers.erase(entry) : std::next(entry);
  }
}

const RangeOwnership::Member*
RangeOwnership::OwnerIn(const MemberSet& aSet, const RangeKey& aKey)
{
  const std::uint64_t region = aKey.mSpread && aSet.mRegions.size() > 1
                                 ? RegionOf(*aKey.mSpread, aSet.mRegions)
                                 : 0;
  const auto best = Heaviest(aSet.mLive, aKey.mHash, [&](const Member& aOne) {
    return region == 0 || aOne.mRegion == region;
  });
  return best == aSet.mLive.end() ? nullptr : &*best;
}

bool
RangeOwnership::IsOwner(const MemberSet& aSet, const RangeKey& aKey) const
{
  const Member* owner = OwnerIn(aSet, aKey);
  return owner != nullptr && owner->mId == mSelf;
}

std::optional<InstanceId>
RangeOwnership::Owner(const RangeKey& aKey) const
{
  const Member* owner =
    mHistory.empty() ? nullptr : OwnerIn(mHistory.back(), aKey);
  return owner == nullptr ? std::nullopt
                          : std::optional<InstanceId>(owner->mId);
}

std::optional<InstanceId>
RangeOwnership::PreviousOwner(const RangeKey& aKey) const
{
  if (mHistory.empty()) {
    return std::nullopt;
  }
  const MemberSet& set = mHistory.back();
  const std::size_t last = mHistory.size() - 1;
  const std::size_t first = IsOwner(set, aKey) ? FirstOwned(aKey, last) : 0;
  if (first > 0) {
    const Member* before = OwnerIn(mHistory[first - 1], aKey);
    return before == nullptr ? std::nullopt
                             : std::optional<InstanceId>(before->mId);
  }
  std::vector<Member> others = set.mLive;
  others.insert(others.end(), set.mLeaving.begin(), set.mLeaving.end());
  const std::uint64_t region = aKey.mSpread && set.mRegions.size() > 1
                                 ? RegionOf(*aKey.mSpread, set.mRegions)
                                 : 0;
  const auto best = Heaviest(others, aKey.mHash, [&](const Member& aOne) {
    return aOne.mId != mSelf && (region == 0 || aOne.mRegion == region);
  });
  return best == others.end() ? std::nullopt
                              : std::optional<InstanceId>(best->mId);
}

Timestamp
RangeOwnership::EvidenceEnd(const MemberSet& aSet) const
{
  const Timestamp end = aSet.mLastSentAt + mSettings.mEvidenceLife;
  const bool extended = mExtension.mRevision == aSet.mLastRevision;
  return extended ? std::max(end, mExtension.mUntil) : end;
}

std::optional<std::size_t>
RangeOwnership::LatestOwned(const RangeKey& aKey) const
{
  for (std::size_t index = mHistory.size(); index > 0; --index) {
    const MemberSet& set = mHistory[index - 1];
    const Timestamp until = EvidenceEnd(set);
    const bool newest = index == mHistory.size();
    const bool lapsed =
      set.mLastSentAt < mEvidenceFloor || until <= EvidenceSentAt();
    if (!newest && lapsed) {
      return std::nullopt;
    }
    if (IsOwner(set, aKey)) {
      return index - 1;
    }
  }
  return std::nullopt;
}

std::size_t
RangeOwnership::FirstOwned(const RangeKey& aKey, std::size_t aLast) const
{
  std::size_t first = aLast;
  while (first > 0 && IsOwner(mHistory[first - 1], aKey)) {
    --first;
  }
  return first;
}

std::uint64_t
RangeOwnership::OwnedSinceRevision(const RangeKey& aKey) const
{
  if (mHistory.empty() || !IsOwner(mHistory.back(), aKey)) {
    return 0;
  }
  return mHistory[FirstOwned(aKey, mHistory.size() - 1)].mFirstRevision;
}

bool
RangeOwnership::MayHandOver(const RangeKey& aKey,
                            const InstanceId& aHeir,
                            std::uint64_t aHeirSince) const
{
  if (mHistory.empty() || aHeirSince == 0) {
    return false;
  }
  if (IsOwner(mHistory.back(), aKey)) {
    return aHeirSince == mRevision + 1;
  }
  for (std::size_t index = mHistory.size() - 1; index > 0; --index) {
    const Member* owner = OwnerIn(mHistory[index], aKey);
    if (owner == nullptr || owner->mId != aHeir) {
      return false;
    }
    const MemberSet& before = mHistory[index - 1];
    if (IsOwner(before, aKey)) {
      return before.mLastRevision + 1 == mHistory[index].mFirstRevision &&
             aHeirSince >= mHistory[index].mFirstRevision;
    }
  }
  return false;
}

std::optional<OwnershipSpan>
RangeOwnership::Span(const RangeKey& aKey) const
{
  const std::optional<std::size_t> last = LatestOwned(aKey);
  if (!last) {
    return std::nullopt;
  }
  const MemberSet& first = mHistory[FirstOwned(aKey, *last)];
  const Timestamp firstSeen = first.mFirstSeen;
  OwnershipSpan span;
  span.mSince =
    std::max(firstSeen + TakeoverWait(), ClearedAt(first.mFirstRevision));
  const auto transfer = mTransfers.find(aKey.mHash);
  if (transfer != mTransfers.end() && transfer->second.mAt >= firstSeen) {
    const Timestamp at = transfer->second.mAt;
    span.mExtendable = transfer->second.mAdopted;
    span.mSince = transfer->second.mAdopted ? at : at + TakeoverWait();
  }
  if (*last + 1 < mHistory.size()) {
    const MemberSet& set = mHistory[*last];
    span.mLastUntil = span.mExtendable
                        ? EvidenceEnd(set)
                        : set.mLastSentAt + mSettings.mEvidenceLife;
  }
  return span;
}

std::optional<OwnershipHold>
RangeOwnership::Hold(const OwnershipSpan& aSpan, Timestamp aNow) const
{
  const Timestamp sentAt = EvidenceSentAt();
  Timestamp until = aSpan.mLastUntil.value_or(sentAt + mSettings.mEvidenceLife);
  const bool extended = aSpan.mExtendable && mExtension.mRevision == mRevision;
  if (!aSpan.mLastUntil && extended) {
    until = std::max(until, mExtension.mUntil);
  }
  const bool floored = !aSpan.mLastUntil && sentAt < mEvidenceFloor;
  if (floored || aNow < aSpan.mSince || aNow >= until) {
    return std::nullopt;
  }
  return OwnershipHold{ aSpan.mSince, until };
}

std::optional<OwnershipHold>
RangeOwnership::Hold(const RangeKey& aKey, Timestamp aNow) const
{
  const std::optional<OwnershipSpan> span = Span(aKey);
  return span ? Hold(*span, aNow) : std::nullopt;
}

std::optional<Timestamp>
RangeOwnership::ExclusiveSince(const RangeKey& aKey, Timestamp aNow) const
{
  const std::optional<OwnershipHold> hold = Hold(aKey, aNow);
  return hold ? std::optional<Timestamp>(hold->mSince) : std::nullopt;
}

void
RangeOwnership::Release(const RangeKey& aKey, Timestamp aNow)
{
  mTransfers[aKey.mHash] = Transfer{ aKey, aNow, false };
}

bool
RangeOwnership::Adopt(const RangeKey& aKey, Timestamp aNow)
{
  if (mHistory.empty() || !IsOwner(mHistory.back(), aKey)) {
    return false;
  }
  mTransfers[aKey.mHash] = Transfer{ aKey, aNow, true };
  return true;
}

void
RangeOwnership::Extend(std::uint64_t aRevision, Timestamp aUntil)
{
  if (aRevision == mRevision) {
    mExtension = Extension{ aRevision, aUntil };
  }
}

void
RangeOwnership::Clear(std::uint64_t aRevision, Timestamp aNow)
{
  if (aRevision <= ClearedRevision()) {
    return;
  }
  mClearances.push_back(Clearance{ aRevision, aNow });
  if (mClearances.size() > kHistoryLimit) {
    mClearances.erase(mClearances.begin());
  }
  ++mGeneration;
}

std::uint64_t
RangeOwnership::ClearedRevision() const
{
  return mClearances.empty() ? 0 : mClearances.back().mRevision;
}

Timestamp
RangeOwnership::ClearedAt(std::uint64_t aRevision) const
{
  if (!mSettings.mNeedsClearance) {
    return Timestamp::min();
  }
  const auto found = std::find_if(
    mClearances.begin(), mClearances.end(), [&](const Clearance& aClearance) {
      return aClearance.mRevision >= aRevision;
    });
  return found == mClearances.end() ? Timestamp::max() : found->mAt;
}

std::optional<Timestamp>
RangeOwnership::OwnedSince() const
{
  const Timestamp cleared = ClearedAt(MembersRevision());
  if (!HasReading() || cleared == Timestamp::max()) {
    return std::nullopt;
  }
  return std::max(MembersSeenAt() + TakeoverWait(), cleared);
}

void
RangeOwnership::ResumeAfterPause(Timestamp aNow)
{
  mExtension = Extension();
  mEvidenceFloor = aNow;
  ++mGeneration;
}

} // namespace medlarkeel
