#include "reservationqueue.h"

#include <utility>

namespace medlarkeel {

namespace {

template<typename Index, typename Key>
void
RemoveFromIndex(Index& aIndex, const Key& aKey, std::uint64_t aSequence)
{
  const auto found = aIndex.find(aKey);
  found->second.erase(aSequence);
  if (found->second.empty()) {
    aIndex.erase(found);
  }
}

} // namespace

ReservationQueue::Order
ReservationQueue::OrderOf(const QueuedReservation& aEntry)
{
  return { aEntry.mTier, aEntry.mDue, aEntry.mSequence };
}

void
ReservationQueue::Push(QueuedReservation aEntry)
{
  const Order order = OrderOf(aEntry);
  mDeadlines += aEntry.mReservation.mDeadline ? 1U : 0U;
  mOrders.emplace(aEntry.mReservation.mId, order);
  mByClass[aEntry.mReservation.mClass].emplace(aEntry.mSequence, order);
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
  RemoveFromIndex(mByClass, entry->second.mReservation.mClass, sequence);
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

const QueuedReservation*
ReservationQueue::Oldest(const ClassName& aClass) const
{
  const auto found = mByClass.find(aClass);
  if (found == mByClass.end()) {
    return nullptr;
  }
  return &mEntries.at(found->second.begin()->second);
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
ReservationQueue::ShedCandidate(const FloorShare& aFloors) const
{
  for (auto tier = mByTier.rbegin(); tier != mByTier.rend(); ++tier) {
    const auto& sequences = tier->second;
    for (auto newest = sequences.rbegin(); newest != sequences.rend();
         ++newest) {
      const QueuedReservation& entry = mEntries.at(newest->second);
      const ClassName& name = entry.mReservation.mClass;
      if (!aFloors.Has(name) || Oldest(name) != &entry) {
        return &entry;
      }
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
