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
    mAvoidances = 0;
  }
}

void
BackendHealth::RecordFailure(Timestamp aNow,
                             const BackendHealthSettings& aSettings)
{
  Decay(aNow, aSettings);
  mFailures += 1.0;
  if (mFailures >= aSettings.mLeastFailures &&
      mFailures >= aSettings.mFailureShare * (mFailures + mSuccesses)) {
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
  mAvoidUntil = std::max(mAvoidUntil, aNow + aSettings.mBusyTime);
}

void
BackendHealth::Decay(Timestamp aNow, const BackendHealthSettings& aSettings)
{
  const double halfLives =
    std::chrono::duration<double>(aNow - mDecayedAt).count() /
    std::chrono::duration<double>(aSettings.mHalfLife).count();
  const double kept = std::exp2(-std::max(0.0, halfLives));
  mSuccesses *= kept;
  mFailures *= kept;
  mDecayedAt = aNow;
}

void
BackendHealth::Avoid(Timestamp aNow, const BackendHealthSettings& aSettings)
{
  if (IsAvoided(aNow)) {
    return;
  }
  constexpr int kMostDoublings = 5;
  const int doublings = std::min(mAvoidances, kMostDoublings);
  mAvoidUntil = aNow + std::min(aSettings.mAvoidTime * (1 << doublings),
                                aSettings.mMostAvoidTime);
  mAvoidances += 1;
}

} // namespace medlarkeel
