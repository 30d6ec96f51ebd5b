#pragma once

#include <cstdint>

namespace medlarkeel {

/**
 * Number of a continuous history of the directory. It rises when the directory
 * is restored from an older copy, after which revisions are issued again. 0 for
 * directories that state none.
 */
struct DirectoryEra
{
  std::uint64_t mValue = 0;

  friend bool operator==(DirectoryEra aLeft, DirectoryEra aRight)
  {
    return aLeft.mValue == aRight.mValue;
  }
  friend bool operator!=(DirectoryEra aLeft, DirectoryEra aRight)
  {
    return !(aLeft == aRight);
  }
  friend bool operator<(DirectoryEra aLeft, DirectoryEra aRight)
  {
    return aLeft.mValue < aRight.mValue;
  }
};

/**
 * A position in the directory's history. There is no order between positions of
 * different eras.
 */
struct DirectoryPosition
{
  DirectoryEra mEra;
  /** 0 when no revision of the era is known. */
  std::uint64_t mRevision = 0;

  /** @return Whether a revision is known. */
  bool IsKnown() const { return mRevision != 0; }

  /** @return Whether the position is in the same era and later than another. */
  bool IsAfter(const DirectoryPosition& aOther) const
  {
    return mEra == aOther.mEra && mRevision > aOther.mRevision;
  }

  /** @return Whether the position is in the same era and not later than
   * another. */
  bool IsAtMost(const DirectoryPosition& aOther) const
  {
    return mEra == aOther.mEra && mRevision <= aOther.mRevision;
  }

  friend bool operator==(const DirectoryPosition& aLeft,
                         const DirectoryPosition& aRight)
  {
    return aLeft.mEra == aRight.mEra && aLeft.mRevision == aRight.mRevision;
  }
  friend bool operator!=(const DirectoryPosition& aLeft,
                         const DirectoryPosition& aRight)
  {
    return !(aLeft == aRight);
  }
};

/**
 * @return The later of two positions of one era. With positions of two eras,
 * the first one.
 */
inline DirectoryPosition
LaterOf(const DirectoryPosition& aLeft, const DirectoryPosition& aRight)
{
  return aRight.IsAfter(aLeft) ? aRight : aLeft;
}

} // namespace medlarkeel
