#include "documentfollower.h"

#include <algorithm>

namespace medlarkeel {

DocumentFollower::DocumentFollower(const DocumentFollowerSettings& aSettings)
  : mSettings(aSettings)
  , mRetryDelay(aSettings.mFirstRetryDelay)
{
}

void
DocumentFollower::RecordAnswer(const DirectoryResult& aResult)
{
  if (aResult) {
    mRetryDelay = mSettings.mFirstRetryDelay;
    const bool isRead = mNext.mKind == DirectoryCall::Kind::ReadAll;
    mNext = { DirectoryCall::Kind::Watch,
              isRead ? Milliseconds(0) : mSettings.mPause,
              aResult.value().mPosition };
    return;
  }
  mNext = { DirectoryCall::Kind::ReadAll, mRetryDelay, {} };
  mRetryDelay = std::min(mRetryDelay * 2, mSettings.mMaximumRetryDelay);
}

void
DocumentFollower::RecordPeerVersion(std::uint64_t aVersion, Timestamp aNow)
{
  if (aVersion > mPeerVersion) {
    mPeerVersion = aVersion;
    mPeerVersionAt = aNow;
  }
}

bool
DocumentFollower::TakeReadDue(std::uint64_t aVersion, Timestamp aNow)
{
  const bool isMissing =
    mPeerVersion > aVersion && aNow - mPeerVersionAt >= mSettings.mArrivalTime;
  const bool isAllowed = !mReadAt || aNow - *mReadAt >= mSettings.mReadInterval;
  if (!isMissing || !isAllowed) {
    return false;
  }
  mReadAt = aNow;
  return true;
}

} // namespace medlarkeel
