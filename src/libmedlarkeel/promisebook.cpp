#include "promisebook.h"

#include <algorithm>

namespace medlarkeel {

PromiseBook::PromiseBook(Microseconds aLife, Microseconds aClockDrift)
  : mLife(aLife + aClockDrift)
{
}

void
PromiseBook::Start(Timestamp aNow)
{
  mStartedAt = std::min(mStartedAt, aNow);
}

bool
PromiseBook::Give(std::uint64_t aId, std::uint64_t aRevision, Timestamp aNow)
{
  const auto ended = [&](const GivenPromise& aPromise) {
    return aPromise.mEndsAt <= aNow;
  };
  mGiven.erase(std::remove_if(mGiven.begin(), mGiven.end(), ended),
               mGiven.end());
  if (aRevision < mFloor) {
    return false;
  }
  const GivenPromise promise{ aId, aRevision, aNow + mLife };
  const auto same = std::find_if(
    mGiven.begin(), mGiven.end(), [&](const GivenPromise& aPromise) {
      return aPromise.mId == aId && aPromise.mRevision == aRevision;
    });
  if (same == mGiven.end()) {
    mGiven.push_back(promise);
  } else {
    *same = promise;
  }
  return true;
}

void
PromiseBook::End(std::uint64_t aId)
{
  mGiven.erase(std::remove_if(mGiven.begin(),
                              mGiven.end(),
                              [&](const GivenPromise& aPromise) {
                                return aPromise.mId == aId;
                              }),
               mGiven.end());
}

void
PromiseBook::RaiseFloor(std::uint64_t aRevision)
{
  mFloor = std::max(mFloor, aRevision);
}

Microseconds
PromiseBook::BoundFor(std::uint64_t aRevision, Timestamp aNow) const
{
  Timestamp end = mStartedAt + mLife;
  for (const GivenPromise& promise : mGiven) {
    if (promise.mRevision < aRevision) {
      end = std::max(end, promise.mEndsAt);
    }
  }
  return std::max(end - aNow, Microseconds(0));
}

} // namespace medlarkeel
