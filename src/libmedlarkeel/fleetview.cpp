#include "fleetview.h"

#include "subsetselector.h"

#include <algorithm>
#include <set>
#include <utility>

namespace medlarkeel {

namespace {

/** Weight at which the ramp of a returned zone or agent begins. */
constexpr double kRampFloor = 0.05;

} // namespace

FleetView::FleetView(FleetViewSettings aSettings)
  : mSettings(std::move(aSettings))
{
}

ListVerdict
FleetView::ObserveList(const InstanceList& aList,
                       Timestamp aSentAt,
                       Timestamp aNow)
{
  const bool isFirst = !mListSentAt.has_value();
  if (!isFirst && aList.mRevision < mRevision) {
    return ListVerdict::Older;
  }
  mListSentAt = isFirst ? aSentAt : std::max(*mListSentAt, aSentAt);
  if (!isFirst && aList.mRevision == mRevision) {
    return ListVerdict::Confirmed;
  }
  ReplaceList(aList, aNow);
  if (isFirst) {
    for (auto& [id, member] : mMembers) {
      member.mRampStart.reset();
    }
  }
  SelectSubsets();
  return ListVerdict::Taken;
}

void
FleetView::ReplaceList(const InstanceList& aList, Timestamp aNow)
{
  std::map<InstanceId, Member> members;
  mEntries.clear();
  for (const InstanceRecord& record : aList.mInstances) {
    if (record.mRole == InstanceRole::Entry) {
      mEntries.push_back(record);
      continue;
    }
    Member member;
    const auto known = mMembers.find(record.mId);
    if (known != mMembers.end()) {
      member = std::move(known->second);
    } else {
      member.mRampStart = aNow;
    }
    member.mRecord = record;
    members.emplace(record.mId, std::move(member));
  }
  mMembers = std::move(members);
  mRevision = aList.mRevision;
}

void
FleetView::SetZones(const std::vector<ZoneEntry>& aZones, Timestamp aNow)
{
  const bool isFirst = mZones.empty();
  bool isChanged = aZones.size() != mZones.size();
  std::map<ZoneName, Zone> zones;
  for (const ZoneEntry& entry : aZones) {
    Zone zone;
    zone.mState = entry.mState;
    const auto known = mZones.find(entry.mName);
    const bool wasIn =
      known != mZones.end() && known->second.mState == ZoneState::In;
    isChanged = isChanged || known == mZones.end() ||
                known->second.mState != entry.mState;
    if (wasIn) {
      zone.mReturnedAt = known->second.mReturnedAt;
    } else if (!isFirst && entry.mState == ZoneState::In) {
      zone.mReturnedAt = aNow;
    }
    zones.emplace(entry.mName, zone);
  }
  mZones = std::move(zones);
  if (isChanged) {
    SelectSubsets();
  }
}

void
FleetView::RecordContact(const InstanceId& aId,
                         const LoadSnapshot& aLoad,
                         Timestamp aNow)
{
  const auto found = mMembers.find(aId);
  if (found == mMembers.end()) {
    return;
  }
  Member& member = found->second;
  if (IsSilent(member)) {
    member.mRampStart = aNow;
  }
  member.mSilences = 0;
  auto known = std::move(member.mLoad.mAdapters);
  member.mLoad = aLoad;
  if (!aLoad.mAdapters) {
    member.mLoad.mAdapters = std::move(known);
  }
  member.mContactAt = aNow;
}

void
FleetView::RecordSilence(const InstanceId& aId, Timestamp aNow)
{
  const auto found = mMembers.find(aId);
  if (found == mMembers.end()) {
    return;
  }
  Member& member = found->second;
  member.mSilences =
    std::min(member.mSilences + 1, mSettings.mSilencesToSuspect);
  member.mProbedAt = aNow;
}

void
FleetView::RecordPause(Timestamp aNow)
{
  mPausedUntil = aNow;
  for (auto& [id, member] : mMembers) {
    member.mContactAt.reset();
    member.mProbedAt.reset();
    member.mLoad = LoadSnapshot{};
    member.mSilences = 0;
  }
}

bool
FleetView::IsValidated() const
{
  if (!mListSentAt) {
    return false;
  }
  return !mPausedUntil || *mListSentAt >= *mPausedUntil;
}

bool
FleetView::IsZoneIn(const ZoneName& aZone) const
{
  const auto found = mZones.find(aZone);
  return found != mZones.end() && found->second.mState == ZoneState::In;
}

bool
FleetView::IsSilent(const Member& aMember) const
{
  return aMember.mSilences >= mSettings.mSilencesToSuspect;
}

bool
FleetView::MayServe(const Member& aMember) const
{
  return aMember.mRecord.mState == InstanceState::Live &&
         IsZoneIn(aMember.mRecord.mZone) && aMember.mLoad.mAccepting;
}

double
FleetView::RampShare(std::optional<Timestamp> aStart, Timestamp aNow) const
{
  if (!aStart || aNow - *aStart >= mSettings.mRampTime) {
    return 1.0;
  }
  const double passed = static_cast<double>((aNow - *aStart).count());
  const double share =
    passed / static_cast<double>(mSettings.mRampTime.count());
  return std::max(kRampFloor, share);
}

double
FleetView::Weight(const Member& aMember, Timestamp aNow) const
{
  const auto zone = mZones.find(aMember.mRecord.mZone);
  const double zoneShare =
    zone == mZones.end() ? 1.0 : RampShare(zone->second.mReturnedAt, aNow);
  return std::min(zoneShare, RampShare(aMember.mRampStart, aNow));
}

Candidate
FleetView::MakeCandidate(const Member& aMember, Timestamp aNow) const
{
  const InstanceRecord& record = aMember.mRecord;
  Candidate candidate;
  candidate.mId = record.mId;
  candidate.mPool = record.mPool;
  candidate.mZone = record.mZone;
  candidate.mRegion = record.mRegion;
  candidate.mAddress = record.mAddress;
  candidate.mAdapters = aMember.mLoad.mAdapters;
  candidate.mLoad = aMember.mLoad;
  if (aMember.mContactAt) {
    candidate.mLoadAge = aNow - *aMember.mContactAt;
  }
  candidate.mWeight = Weight(aMember, aNow);
  candidate.mSameZone = record.mZone == mSettings.mZone;
  candidate.mSameRegion = record.mRegion == mSettings.mRegion;
  return candidate;
}

std::vector<Candidate>
FleetView::Collect(const std::vector<InstanceId>& aIds, Timestamp aNow) const
{
  std::vector<Candidate> answering;
  std::vector<Candidate> silent;
  for (const InstanceId& id : aIds) {
    const auto found = mMembers.find(id);
    if (found == mMembers.end() || !MayServe(found->second)) {
      continue;
    }
    auto& target = IsSilent(found->second) ? silent : answering;
    target.push_back(MakeCandidate(found->second, aNow));
  }
  return answering.empty() ? silent : answering;
}

std::vector<Candidate>
FleetView::Candidates(const PoolName& aPool, Timestamp aNow) const
{
  const auto found = mSubsets.find(aPool);
  if (found == mSubsets.end()) {
    return {};
  }
  return Collect(found->second, aNow);
}

std::vector<Candidate>
FleetView::AllCandidates(const PoolName& aPool, Timestamp aNow) const
{
  std::vector<InstanceId> ids;
  for (const auto& [id, member] : mMembers) {
    if (member.mRecord.mPool == aPool) {
      ids.push_back(id);
    }
  }
  return Collect(ids, aNow);
}

std::vector<InstanceRecord>
FleetView::Subset(const PoolName& aPool) const
{
  std::vector<InstanceRecord> records;
  const auto found = mSubsets.find(aPool);
  if (found == mSubsets.end()) {
    return records;
  }
  for (const InstanceId& id : found->second) {
    records.push_back(mMembers.at(id).mRecord);
  }
  return records;
}

bool
FleetView::IsProbeDue(const Member& aMember, Timestamp aNow) const
{
  const bool gotNoWork = aMember.mSilences > 0 || !aMember.mLoad.mAccepting;
  const Microseconds interval =
    gotNoWork ? mSettings.mSilentProbeInterval : mSettings.mProbeInterval;
  const auto last = std::max(aMember.mContactAt, aMember.mProbedAt);
  return !last || aNow - *last >= interval;
}

std::vector<InstanceRecord>
FleetView::TakeDueProbes(Timestamp aNow, std::size_t aLimit)
{
  std::vector<Member*> due;
  for (const auto& [pool, ids] : mSubsets) {
    for (const InstanceId& id : ids) {
      Member& member = mMembers.at(id);
      if (IsProbeDue(member, aNow)) {
        due.push_back(&member);
      }
    }
  }
  std::stable_sort(
    due.begin(), due.end(), [](const Member* aLeft, const Member* aRight) {
      return std::max(aLeft->mContactAt, aLeft->mProbedAt) <
             std::max(aRight->mContactAt, aRight->mProbedAt);
    });
  due.resize(std::min(due.size(), aLimit));
  std::vector<InstanceRecord> records;
  for (Member* member : due) {
    member->mProbedAt = aNow;
    records.push_back(member->mRecord);
  }
  return records;
}

std::vector<InstanceId>
FleetView::LiveEntries(bool aOwnRegionOnly) const
{
  std::vector<InstanceId> ids;
  for (const InstanceRecord& entry : mEntries) {
    const bool regionFits =
      !aOwnRegionOnly || entry.mRegion == mSettings.mRegion;
    if (entry.mState == InstanceState::Live && regionFits) {
      ids.push_back(entry.mId);
    }
  }
  return ids;
}

std::vector<InstanceId>
FleetView::SelectPool(const PoolName& aPool) const
{
  SubsetInput own;
  SubsetInput other;
  for (const auto& [id, member] : mMembers) {
    const InstanceRecord& record = member.mRecord;
    const bool isSelectable = record.mPool == aPool &&
                              record.mState == InstanceState::Live &&
                              IsZoneIn(record.mZone);
    if (isSelectable) {
      SubsetInput& input = record.mRegion == mSettings.mRegion ? own : other;
      input.mAgents.push_back({ id, record.mZone });
    }
  }
  own.mEntries = LiveEntries(true);
  own.mSize = mSettings.mSubsetSize;
  std::vector<InstanceId> selected = SelectSubset(mSettings.mSelf, own);
  if (selected.size() < mSettings.mRegionMinimum) {
    other.mEntries = LiveEntries(false);
    other.mSize = mSettings.mSubsetSize - selected.size();
    const auto spare = SelectSubset(mSettings.mSelf, other);
    selected.insert(selected.end(), spare.begin(), spare.end());
    std::sort(selected.begin(), selected.end());
  }
  return selected;
}

void
FleetView::SelectSubsets()
{
  std::set<PoolName> pools;
  for (const auto& [id, member] : mMembers) {
    pools.insert(member.mRecord.mPool);
  }
  mSubsets.clear();
  for (const PoolName& pool : pools) {
    mSubsets.emplace(pool, SelectPool(pool));
  }
}

} // namespace medlarkeel
