#pragma once

#include "directorysource.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace medlarkeel {

/** A change of the directory that entries relay to each other. Documents are
 * not relayed because they are too large. */
using RelayedChange =
  std::variant<BackendEntry, BackendRemoval, ZoneEvacuation>;

/**
 * The relayed changes of the directory after position mFrom up to and including
 * position mTo of the same era. All material changes of that range are
 * contained, so an entry that knows any position from mFrom on is at mTo after
 * applying them.
 */
struct DirectoryDelta
{
  DirectoryPosition mFrom;
  DirectoryPosition mTo;
  std::vector<RelayedChange> mChanges;
};

/** @return Position of a relayed change. */
DirectoryPosition
PositionOf(const RelayedChange& aChange);

/**
 * Keeps the recent changes that a directory reader has received, to relay them
 * to entries that don't call the directory themselves.
 */
class DirectoryDeltaLog
{
public:
  /** Clears the log and continues from a position. Earlier changes can no
   * longer be relayed. */
  void Restart(const DirectoryPosition& aPosition);

  /**
   * Adds the changes of one answer of the directory. If it doesn't continue
   * the last position of the log, the log is cleared first.
   *
   * @param aFrom Position that was known before the answer.
   * @param aTo Position that is known after it.
   * @param aChanges Changes of the answer that are to be relayed, in the order
   * in which they were made.
   * @return Parts of the answer that are too much for RecentDelta(), oldest
   * first, of at most 40 changes each.
   */
  std::vector<DirectoryDelta> Add(const DirectoryPosition& aFrom,
                                  const DirectoryPosition& aTo,
                                  std::vector<RelayedChange> aChanges,
                                  Timestamp aNow);

  /**
   * @return The latest changes of the last 3 seconds, at most 40, or nothing if
   * there was no answer of the directory in this time. A result without changes
   * still advances other entries to the last position, so that later changes
   * continue what they know.
   */
  std::optional<DirectoryDelta> RecentDelta(Timestamp aNow) const;

private:
  struct Batch
  {
    DirectoryDelta mDelta;
    Timestamp mReceivedAt;
  };

  std::deque<Batch> mBatches;
  std::size_t mChangeCount = 0;
};

} // namespace medlarkeel
