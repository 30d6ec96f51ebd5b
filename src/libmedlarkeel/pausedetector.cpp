#include "pausedetector.h"

namespace medlarkeel {

std::optional<Microseconds>
PauseDetector::Observe(Timestamp aNow)
{
  std::optional<Microseconds> gap;
  if (mLast && aNow - *mLast > mLimit) {
    gap = aNow - *mLast;
    mPausedUntil = aNow;
  }
  mLast = aNow;
  return gap;
}

bool
PauseDetector::Revalidated(Timestamp aEvidenceSentAt)
{
  if (mPausedUntil && aEvidenceSentAt >= *mPausedUntil) {
    mPausedUntil.reset();
  }
  return !mPausedUntil;
}

} // namespace medlarkeel
