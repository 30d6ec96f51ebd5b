#include "restoreguard.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Maximum number of withdrawn processes that are stored. The oldest ones are
 * dropped; their withdrawal is in the copy by then. */
constexpr std::size_t kMaximumWithdrawn = 4096;

} // namespace

void
RestoreGuard::Begin(const DirectoryPosition& aBase,
                    Timestamp aHoldUntil,
                    Timestamp aNow)
{
  if (!IsHolding(aNow)) {
    mKept.clear();
    mDeferred.clear();
  }
  mBase = aBase;
  mHoldUntil = aHoldUntil;
}

void
RestoreGuard::ShortenHold(Timestamp aHoldUntil)
{
  mHoldUntil = std::min(mHoldUntil, aHoldUntil);
}

void
RestoreGuard::RecordWithdrawn(ProcessHash aProcess)
{
  if (!mWithdrawn.insert(aProcess).second) {
    return;
  }
  mWithdrawnOrder.push_back(aProcess);
  if (mWithdrawnOrder.size() > kMaximumWithdrawn) {
    mWithdrawn.erase(mWithdrawnOrder.front());
    mWithdrawnOrder.pop_front();
  }
}

void
RestoreGuard::RecordEvacuation(const ZoneName& aZone,
                               const DirectoryPosition& aPosition,
                               bool aWasEvacuated,
                               Timestamp aNow)
{
  const bool isKnown = IsKnownEvacuation(aZone, aPosition.mRevision);
  if (!isKnown && aPosition.IsKnown()) {
    Evacuations& known = mEvacuations[aZone];
    known.mRevisions[known.mNext] = aPosition.mRevision;
    known.mNext = (known.mNext + 1) % known.mRevisions.size();
  }
  mKept.erase(aZone);
  // A copy has the revisions of the original, and an evacuation that is written
  // after the restore has a higher one than those of the copy.
  const bool hasComeBack =
    isKnown && !aWasEvacuated && MayBeFromCopy(aPosition, aNow);
  if (hasComeBack) {
    mDeferred.insert(aZone);
  } else {
    mDeferred.erase(aZone);
  }
}

void
RestoreGuard::RecordEvacuationEnd(const ZoneName& aZone,
                                  const DirectoryPosition& aListedAt,
                                  const DirectoryPosition& aPosition,
                                  bool aWasEvacuated,
                                  Timestamp aNow)
{
  // An evacuation that this era has listed was ended after the restore.
  const bool isMissingInCopy =
    MayBeFromCopy(aPosition, aNow) && aListedAt.mEra != aPosition.mEra;
  if (isMissingInCopy && aWasEvacuated) {
    mKept.insert(aZone);
  } else {
    mKept.erase(aZone);
  }
  mDeferred.erase(aZone);
}

bool
RestoreGuard::IsEvacuated(const ZoneName& aZone,
                          bool aIsListed,
                          Timestamp aNow) const
{
  if (!IsHolding(aNow)) {
    return aIsListed;
  }
  return aIsListed ? mDeferred.count(aZone) == 0 : mKept.count(aZone) != 0;
}

bool
RestoreGuard::IsKnownEvacuation(const ZoneName& aZone,
                                std::uint64_t aRevision) const
{
  const auto found = mEvacuations.find(aZone);
  if (found == mEvacuations.end() || aRevision == 0) {
    return false;
  }
  const auto& revisions = found->second.mRevisions;
  return std::find(revisions.begin(), revisions.end(), aRevision) !=
         revisions.end();
}

} // namespace medlarkeel
