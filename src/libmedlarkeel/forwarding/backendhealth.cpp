#include "backendhealth.h"

#include <algorithm>
#include <cmath>

namespace medlarkeel {

void
BackendHealth::RecordSuccess(Timestamp aNow,
                             const BackendHealthSettings& aSettings)
{
  Decay(aNow, aSettings);
  mSuccesses += 1.0;
  if (!IsAvoided(aNow)) {
    mAvoidanceCount = 0;
  }
}

void
BackendHealth::RecordFailure(Timestamp aNow,
                             const BackendHealthSettings& aSettings)
{
  Decay(aNow, aSettings);
  mFailures += 1.0;
  if (mFailures >= aSettings.mMinimumFailures &&
      mFailures >= aSettings.mMinimumFailureShare * (mFailures + mSuccesses)) {
    Avoid(aNow, aSettings);
  }
}

void
BackendHealth::RecordUnreachable(Timestamp aNow,
                                 const BackendHealthSettings& aSettings)
{
  Decay(aNow, aSettings);
  mFailures += 1.0;
  Avoid(aNow, aSettings);
}

void
BackendHealth::RecordBusy(Timestamp aNow,
                          const BackendHealthSettings& aSettings)
{
  mAvoidUntil = std::max(mAvoidUntil, aNow + aSettings.mBusyAvoidTime);
}

void
BackendHealth::Decay(Timestamp aNow, const BackendHealthSettings& aSettings)
{
  const double halfLives =
    std::chrono::duration<double>(aNow - mDecayedAt).count() /
    std::chrono::duration<double>(aSettings.mHalfLife).count();
  const double decayFactor = std::exp2(-std::max(0.0, halfLives));
  mSuccesses *= decayFactor;
  mFailures *= decayFactor;
  mDecayedAt = aNow;
}

void
BackendHealth::Avoid(Timestamp aNow, const BackendHealthSettings& aSettings)
{
  if (IsAvoided(aNow)) {
    return;
  }
  constexpr int kMaximumDoublings = 5;
  const int doublings = std::min(mAvoidanceCount, kMaximumDoublings);
  mAvoidUntil = aNow + std::min(aSettings.mAvoidTime * (1 << doublings),
                                aSettings.mMaximumAvoidTime);
  mAvoidanceCount += 1;
}

} // namespace medlarkeel
