#pragma once

#include "floorshare.h"
#include "reservation.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace medlarkeel {

/** A reservation that waits for a slot. */
struct QueuedReservation
{
  Reservation mReservation;
  TierRank mTier;
  Timestamp mArrival;
  /** Orders the queue inside a tier; earlier is served first. */
  Timestamp mDue;
  /** Last start that meets the target of the class. */
  Timestamp mLatestStart = Timestamp::max();
  /** Whether the latest start has passed. */
  bool mLate = false;
  /** Rises with arrival. */
  std::uint64_t mSequence = 0;
};

/**
 * Waiting reservations in the order of service: by tier, then those that can
 * still meet their target before late ones, then by due time, then by arrival.
 */
class ReservationQueue
{
public:
  bool IsEmpty() const { return mEntries.empty(); }
  std::size_t Size() const { return mEntries.size(); }

  /** @return Whether any entry has a deadline. */
  bool HasDeadlines() const { return mDeadlines > 0; }

  void Push(QueuedReservation aEntry);

  /** @return Whether an entry was there to be removed. */
  bool Remove(ReservationId aId);

  /** @return The entry that strict order serves next; the queue isn't empty. */
  const QueuedReservation& Head() const;

  /**
   * Moves entries whose latest start has passed behind the others of their
   * tier; they are due at their deadlines from then on.
   */
  void MarkLate(Timestamp aNow);

  /** @return The entry served first in a class; null if none waits. */
  const QueuedReservation* First(const ClassName& aClass) const;

  /** @return Whether a reservation of the class waits. */
  bool IsWaiting(const ClassName& aClass) const;

  /** @return All entries in the order of service. */
  std::vector<const QueuedReservation*> InOrder() const;

  /**
   * @param aFloors Classes with a floor: the first entry of each is kept.
   * @param aMissing Entries that are expected to miss their target.
   * @return The newest entry of the lowest tier that misses its target; the
   *         newest of all if none does; null if none may go.
   */
  const QueuedReservation* ShedCandidate(
    const FloorShare& aFloors,
    const std::set<ReservationId>& aMissing) const;

  /** @return Entries that take a place of the common queue limit. */
  std::size_t SizeWithoutFloors(const FloorShare& aFloors) const;

private:
  struct Order
  {
    TierRank mTier;
    bool mLate = false;
    Timestamp mDue;
    std::uint64_t mSequence = 0;

    friend bool operator<(const Order& aLeft, const Order& aRight)
    {
      return std::tie(aLeft.mTier, aLeft.mLate, aLeft.mDue, aLeft.mSequence) <
             std::tie(
               aRight.mTier, aRight.mLate, aRight.mDue, aRight.mSequence);
    }
  };

  static Order OrderOf(const QueuedReservation& aEntry);

  std::map<Order, QueuedReservation> mEntries;
  std::size_t mDeadlines = 0;
  std::map<ReservationId, Order> mOrders;
  std::map<ClassName, std::set<Order>> mByClass;
  std::map<TierRank, std::map<std::uint64_t, Order>> mByTier;
};

} // namespace medlarkeel
