#include "versionrollout.h"

#include "agentranking.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace medlarkeel {

VersionRollout::VersionRollout(InstanceId aOwn, RolloutLimits aLimits)
  : mOwn(std::move(aOwn))
  , mLimits(aLimits)
{
}

const std::string&
VersionRollout::Update(const Pool& aPool,
                       const InstanceList& aList,
                       const std::string& aObserved,
                       Timestamp aNow)
{
  if (aPool.mVersion.empty()) {
    mTarget.clear();
    mDesired = aObserved;
    return mDesired;
  }
  if (mTarget != aPool.mVersion) {
    mTarget = aPool.mVersion;
    mTargetSince = aNow;
  }
  if (mDesired.empty()) {
    mDesired = aObserved.empty() ? mTarget : aObserved;
  }
  if (mDesired != mTarget && aNow - mTargetSince >= TurnAfter(aPool, aList)) {
    mDesired = mTarget;
  }
  return mDesired;
}

Microseconds
VersionRollout::TurnAfter(const Pool& aPool, const InstanceList& aList) const
{
  const std::vector<InstanceId> agents =
    RankAgents(aPool.mVersion, aPool.mName, aList);
  const auto own = std::find(agents.begin(), agents.end(), mOwn);
  const auto rank = static_cast<std::size_t>(own - agents.begin());
  const std::size_t width = std::max<std::size_t>(1, mLimits.mWidth);
  return mLimits.mTurn * static_cast<std::int64_t>(rank / width);
}

} // namespace medlarkeel
