#include "slottable.h"

#include <algorithm>
#include <utility>

namespace medlarkeel {

void
SlotTable::Add(Slot aSlot)
{
  const GrantId grant = aSlot.mGrant;
  mByReservation.emplace(aSlot.mReservation.mId, grant);
  mSlots.emplace(grant, std::move(aSlot));
}

Slot*
SlotTable::Find(GrantId aGrant)
{
  const auto found = mSlots.find(aGrant);
  return found == mSlots.end() ? nullptr : &found->second;
}

Slot*
SlotTable::Find(ReservationId aId)
{
  const auto found = mByReservation.find(aId);
  return found == mByReservation.end() ? nullptr : Find(found->second);
}

void
SlotTable::Remove(GrantId aGrant)
{
  const auto found = mSlots.find(aGrant);
  if (found == mSlots.end()) {
    return;
  }
  mByReservation.erase(found->second.mReservation.mId);
  mSlots.erase(found);
}

void
SlotTable::MarkFull()
{
  for (auto& [grant, slot] : mSlots) {
    slot.mFull = true;
  }
}

std::size_t
SlotTable::CutCount() const
{
  const auto count =
    std::count_if(mSlots.begin(), mSlots.end(), [](const auto& aEntry) {
      return aEntry.second.mCut;
    });
  return static_cast<std::size_t>(count);
}

std::vector<GrantId>
SlotTable::Uncommitted() const
{
  std::vector<GrantId> grants;
  for (const auto& [grant, slot] : mSlots) {
    if (!slot.mCommitted) {
      grants.push_back(grant);
    }
  }
  return grants;
}

} // namespace medlarkeel
