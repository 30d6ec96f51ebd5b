#include "readerchoice.h"

#include "rendezvous.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace medlarkeel {

namespace {

constexpr std::string_view kReaderKey = "configuration-reader";

std::uint64_t
ReaderScore(const InstanceId& aInstance)
{
  return RendezvousScore(HashText(kReaderKey), HashText(aInstance.Text()));
}

const InstanceRecord*
FindLive(const InstanceId& aSelf, const InstanceList& aList)
{
  for (const InstanceRecord& record : aList.mInstances) {
    if (record.mId == aSelf && record.mState == InstanceState::Live) {
      return &record;
    }
  }
  return nullptr;
}

} // namespace

bool
IsReader(const InstanceId& aSelf,
         const InstanceList& aList,
         std::size_t aReadersWanted)
{
  const InstanceRecord* self = FindLive(aSelf, aList);
  if (self == nullptr) {
    return false;
  }
  const std::uint64_t ownScore = ReaderScore(aSelf);
  const auto goesFirst = [&](const InstanceRecord& aOther) {
    if (aOther.mState != InstanceState::Live ||
        aOther.mRegion != self->mRegion) {
      return false;
    }
    const std::uint64_t score = ReaderScore(aOther.mId);
    return score > ownScore || (score == ownScore && aOther.mId < aSelf);
  };
  const auto before =
    std::count_if(aList.mInstances.begin(), aList.mInstances.end(), goesFirst);
  return static_cast<std::size_t>(before) < aReadersWanted;
}

ReaderSchedule::ReaderSchedule(InstanceId aSelf,
                               ReaderOptions aOptions,
                               std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
  , mRandom(aSeed)
{
}

void
ReaderSchedule::Update(const InstanceList& aList)
{
  mIsReader = medlarkeel::IsReader(mSelf, aList, mOptions.mReadersPerRegion);
}

Microseconds
ReaderSchedule::Jittered(Microseconds aLeast, Microseconds aMost)
{
  std::uniform_int_distribution<Microseconds::rep> distribution(aLeast.count(),
                                                                aMost.count());
  return Microseconds(distribution(mRandom));
}

void
ReaderSchedule::BeginSuspicion(Timestamp aNow)
{
  const Microseconds spread =
    mHasStarted ? mOptions.mSilenceBound : mOptions.mStartSpread;
  mHasStarted = true;
  mIsSuspicious = true;
  mBackoff = mOptions.mSilenceBound;
  mNextRead = aNow + Jittered(Microseconds(0), spread);
}

bool
ReaderSchedule::ShouldRead(Timestamp aNow,
                           const std::optional<Microseconds>& aConfirmationAge)
{
  const bool isSilent =
    !aConfirmationAge || *aConfirmationAge > mOptions.mSilenceBound;
  if (!isSilent) {
    mHasStarted = true;
    mIsSuspicious = false;
  } else if (!mIsSuspicious) {
    BeginSuspicion(aNow);
  }
  if (!mIsReader && !isSilent) {
    return false;
  }
  if (mIsReader) {
    mNextRead = std::min(mNextRead, aNow + mOptions.mPoll * 6 / 5);
  }
  if (aNow < mNextRead) {
    return false;
  }
  if (mIsReader) {
    mNextRead = aNow + Jittered(mOptions.mPoll * 4 / 5, mOptions.mPoll * 6 / 5);
    return true;
  }
  mNextRead = aNow + Jittered(mBackoff, mBackoff * 2);
  mBackoff = std::min<Microseconds>(mBackoff * 2, mOptions.mLongestBackoff);
  return true;
}

} // namespace medlarkeel
