#pragma once

#include "../types.h"
#include "directoryposition.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_set>

namespace medlarkeel {

/** Identifies one process of a backend server. A later process with the same id
 * or address has another hash. */
using ProcessHash = std::uint32_t;

/**
 * Decides which items of a directory that was restored from an older copy take
 * effect. Withdrawn items that come back with the copy are withheld for the
 * hold time, in which servers and operator write again; then the directory is
 * right. An item that was written after the restore for certain takes effect at
 * once.
 */
class RestoreGuard
{
public:
  /**
   * Begins an era, or continues it with the position of its first full read.
   *
   * @param aBase Items up to this position may be from the copy; the later ones
   * were written after the restore.
   * @param aHoldUntil End of the hold time.
   */
  void Begin(const DirectoryPosition& aBase,
             Timestamp aHoldUntil,
             Timestamp aNow);

  /** Ends the hold time earlier, if another entry learned of the era earlier.
   */
  void ShortenHold(Timestamp aHoldUntil);

  /** @return Whether the directory was ever restored. */
  bool HasBegun() const { return mBase.mEra != DirectoryEra(); }

  /** @return Whether an item of the position may be from the copy and the hold
   * time lasts. */
  bool MayBeFromCopy(const DirectoryPosition& aPosition, Timestamp aNow) const
  {
    return IsHolding(aNow) && !aPosition.IsAfter(mBase);
  }

  /** Records that a process of a server drains, has left or was replaced. */
  void RecordWithdrawn(ProcessHash aProcess);

  /** Records that a process was published as ready after the restore, or when
   * there was none. */
  void RecordReady(ProcessHash aProcess) { mWithdrawn.erase(aProcess); }

  /** @return Whether the process was withdrawn. */
  bool IsWithdrawn(ProcessHash aProcess) const
  {
    return mWithdrawn.count(aProcess) != 0;
  }

  /** @return Whether the process gets no requests although it is listed as
   * ready. */
  bool IsWithheld(ProcessHash aProcess, Timestamp aNow) const
  {
    return IsHolding(aNow) && IsWithdrawn(aProcess);
  }

  /**
   * Records that a zone is listed as evacuated.
   *
   * @param aWasEvacuated Whether its evacuation was in force before.
   */
  void RecordEvacuation(const ZoneName& aZone,
                        const DirectoryPosition& aPosition,
                        bool aWasEvacuated,
                        Timestamp aNow);

  /**
   * Records that a zone isn't listed as evacuated any more.
   *
   * @param aListedAt Position at which its evacuation was listed last.
   * @param aPosition Position of the removal, or of the list without it.
   */
  void RecordEvacuationEnd(const ZoneName& aZone,
                           const DirectoryPosition& aListedAt,
                           const DirectoryPosition& aPosition,
                           bool aWasEvacuated,
                           Timestamp aNow);

  /** @return Whether the evacuation of a zone is in force.
   * @param aIsListed Whether the directory lists it as evacuated. */
  bool IsEvacuated(const ZoneName& aZone, bool aIsListed, Timestamp aNow) const;

private:
  /** Revisions with which a zone was last evacuated, the oldest one is
   * overwritten. */
  struct Evacuations
  {
    std::array<std::uint64_t, 8> mRevisions{};
    std::size_t mNext = 0;
  };

  bool IsHolding(Timestamp aNow) const { return aNow < mHoldUntil; }
  /** @return Whether the zone was evacuated with that revision before. */
  bool IsKnownEvacuation(const ZoneName& aZone, std::uint64_t aRevision) const;

  DirectoryPosition mBase;
  Timestamp mHoldUntil;
  std::unordered_set<ProcessHash> mWithdrawn;
  /** The withdrawn processes in the order in which they were recorded. */
  std::deque<ProcessHash> mWithdrawnOrder;
  std::map<ZoneName, Evacuations> mEvacuations;
  /** Evacuations that are in force although they aren't listed. */
  std::set<ZoneName> mKept;
  /** Evacuations that aren't in force although they are listed. */
  std::set<ZoneName> mDeferred;
};

} // namespace medlarkeel
