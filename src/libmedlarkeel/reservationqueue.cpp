#include "reservationqueue.h"

#include <utility>

namespace medlarkeel {

namespace {

template<typename Index, typename Key, typename Value>
void
RemoveFromIndex(Index& aIndex, const Key& aKey, const Value& aValue)
{
  const auto found = aIndex.find(aKey);
  found->second.erase(aValue);
  if (found->second.empty()) {
    aIndex.erase(found);
  }
}

} // namespace

ReservationQueue::Order
ReservationQueue::OrderOf(const QueuedReservation& aEntry)
{
  return { aEntry.mTier, aEntry.mLate, aEntry.mDue, aEntry.mSequence };
}

void
ReservationQueue::Push(QueuedReservation aEntry)
{
  const Order order = OrderOf(aEntry);
  mDeadlines += aEntry.mReservation.mDeadline ? 1U : 0U;
  mOrders.emplace(aEntry.mReservation.mId, order);
  mByClass[aEntry.mReservation.mClass].insert(order);
  mByTier[aEntry.mTier].emplace(aEntry.mSequence, order);
  mEntries.emplace(order, std::move(aEntry));
}

bool
ReservationQueue::Remove(ReservationId aId)
{
  const auto found = mOrders.find(aId);
  if (found == mOrders.end()) {
    return false;
  }
  const auto entry = mEntries.find(found->second);
  const std::uint64_t sequence = entry->second.mSequence;
  mDeadlines -= entry->second.mReservation.mDeadline ? 1U : 0U;
  RemoveFromIndex(mByClass, entry->second.mReservation.mClass, entry->first);
  RemoveFromIndex(mByTier, entry->second.mTier, sequence);
  mEntries.erase(entry);
  mOrders.erase(found);
  return true;
}

const QueuedReservation&
ReservationQueue::Head() const
{
  return mEntries.begin()->second;
}

void
ReservationQueue::MarkLate(Timestamp aNow)
{
  std::vector<QueuedReservation> late;
  for (const auto& [order, entry] : mEntries) {
    if (!entry.mLate && entry.mLatestStart < aNow) {
      late.push_back(entry);
    }
  }
  for (QueuedReservation& entry : late) {
    Remove(entry.mReservation.mId);
    entry.mLate = true;
    entry.mDue = entry.mReservation.mDeadline.value_or(entry.mDue);
    Push(std::move(entry));
  }
}

const QueuedReservation*
ReservationQueue::First(const ClassName& aClass) const
{
  const auto found = mByClass.find(aClass);
  if (found == mByClass.end()) {
    return nullptr;
  }
  return &mEntries.at(*found->second.begin());
}

bool
ReservationQueue::IsWaiting(const ClassName& aClass) const
{
  return mByClass.count(aClass) != 0;
}

std::vector<const QueuedReservation*>
ReservationQueue::InOrder() const
{
  std::vector<const QueuedReservation*> entries;
  entries.reserve(mEntries.size());
  for (const auto& [order, entry] : mEntries) {
    entries.push_back(&entry);
  }
  return entries;
}

const QueuedReservation*
ReservationQueue::ShedCandidate(const FloorShare& aFloors,
                                const std::set<ReservationId>& aMissing) const
{
  for (auto tier = mByTier.rbegin(); tier != mByTier.rend(); ++tier) {
    const auto& sequences = tier->second;
    const QueuedReservation* candidate = nullptr;
    for (auto newest = sequences.rbegin(); newest != sequences.rend();
         ++newest) {
      const QueuedReservation& entry = mEntries.at(newest->second);
      const ClassName& name = entry.mReservation.mClass;
      if (aFloors.Has(name) && First(name) == &entry) {
        continue;
      }
      if (aMissing.count(entry.mReservation.mId) != 0) {
        return &entry;
      }
      candidate = candidate == nullptr ? &entry : candidate;
    }
    if (candidate != nullptr) {
      return candidate;
    }
  }
  return nullptr;
}

std::size_t
ReservationQueue::SizeWithoutFloors(const FloorShare& aFloors) const
{
  std::size_t floors = 0;
  for (const ClassName& name : aFloors.Classes()) {
    floors += mByClass.count(name);
  }
  return mEntries.size() - floors;
}

} // namespace medlarkeel
