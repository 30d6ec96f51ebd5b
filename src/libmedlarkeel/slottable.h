#pragma once

#include "reservation.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace medlarkeel {

/** A place at the backend server that is granted or in use. */
struct Slot
{
  GrantId mGrant;
  Reservation mReservation;
  TierRank mTier;
  Timestamp mExpires;
  /** When the work was committed; nothing while only granted. */
  std::optional<Timestamp> mCommitted;
  std::optional<Timestamp> mFirstToken;
  Timestamp mLastProgress;
  std::uint32_t mTokens = 0;
  /** Whether a class's floor gave the slot: such work isn't preempted. */
  bool mFloor = false;
  /** Whether the work is being cancelled at the engine. */
  bool mCut = false;
  /** Whether the limit was in use at some time while the slot was taken. */
  bool mFull = false;
};

/** The slots of one backend server, by grant and by reservation. */
class SlotTable
{
public:
  std::size_t Size() const { return mSlots.size(); }

  void Add(Slot aSlot);

  /** @return The slot, or null. */
  Slot* Find(GrantId aGrant);
  Slot* Find(ReservationId aId);

  void Remove(GrantId aGrant);

  /** Marks every slot as taken while the limit was in use. */
  void MarkFull();

  /** @return Slots whose work is being cancelled. */
  std::size_t CutCount() const;

  /** @return All slots, oldest grant first. */
  const std::map<GrantId, Slot>& All() const { return mSlots; }

  /** @return Grants that wait for their commit. */
  std::vector<GrantId> Uncommitted() const;

private:
  std::map<GrantId, Slot> mSlots;
  std::map<ReservationId, GrantId> mByReservation;
};

} // namespace medlarkeel
