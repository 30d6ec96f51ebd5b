#include "teamaccount.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarkeel {

namespace {

/** Time constant of the demand estimate, in seconds. */
constexpr double kDemandMemory = 2.0;
/** Demand that a lease is to cover, in seconds. */
constexpr double kLeaseCover = 0.5;
/** Demand below which nothing is asked for in advance, per second. */
constexpr double kSteadyDemand = 4.0;

double
ToSeconds(Microseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void
TeamAccount::RecordArrival(Timestamp aNow)
{
  const double elapsed = std::max(0.0, ToSeconds(aNow - mLastUsed));
  mDemand = mDemand * std::exp(-elapsed / kDemandMemory) + 1.0 / kDemandMemory;
  mLastUsed = std::max(mLastUsed, aNow);
}

bool
TeamAccount::SpendHeld(Timestamp aNow)
{
  MicroTokens missing = kWholeToken;
  if (Held(aNow) < missing) {
    return false;
  }
  for (HeldLease& lease : mLeases) {
    if (lease.mExpiresAt > aNow) {
      const MicroTokens part = std::min(missing, lease.mTokens);
      lease.mTokens -= part;
      missing -= part;
    }
  }
  mLeases.erase(
    std::remove_if(mLeases.begin(),
                   mLeases.end(),
                   [](const HeldLease& aLease) { return aLease.mTokens == 0; }),
    mLeases.end());
  return true;
}

MicroTokens
TeamAccount::Held(Timestamp aNow) const
{
  MicroTokens sum = 0;
  for (const HeldLease& lease : mLeases) {
    sum += lease.mExpiresAt > aNow ? lease.mTokens : 0;
  }
  return sum;
}

void
TeamAccount::Want(MicroTokens aLimit)
{
  mWanted = std::min(mWanted + kWholeToken, std::max(aLimit, kWholeToken));
}

MicroTokens
TeamAccount::Prefetch(Timestamp aNow) const
{
  if (mDemand < kSteadyDemand) {
    return 0;
  }
  const auto target =
    static_cast<MicroTokens>(mDemand * kLeaseCover) * kWholeToken;
  const MicroTokens held = Held(aNow);
  return held * 2 >= target ? 0 : target - held;
}

void
TeamAccount::AddAsk(const PendingAsk& aAsk)
{
  mAsks.push_back(aAsk);
  mWanted = 0;
}

std::optional<PendingAsk>
TeamAccount::CloseAsk(std::uint64_t aId)
{
  const auto found =
    std::find_if(mAsks.begin(), mAsks.end(), [&](const PendingAsk& aAsk) {
      return aAsk.mId == aId;
    });
  if (found == mAsks.end()) {
    return std::nullopt;
  }
  const PendingAsk ask = *found;
  mAsks.erase(found);
  return ask;
}

std::vector<PendingAsk>
TeamAccount::CloseAsksBefore(Timestamp aTime)
{
  const auto kept = std::stable_partition(
    mAsks.begin(), mAsks.end(), [&](const PendingAsk& aAsk) {
      return aAsk.mSentAt >= aTime;
    });
  std::vector<PendingAsk> closed(kept, mAsks.end());
  mAsks.erase(kept, mAsks.end());
  return closed;
}

bool
TeamAccount::HasAskAt(std::uint32_t aSlice) const
{
  return std::any_of(mAsks.begin(), mAsks.end(), [&](const PendingAsk& aAsk) {
    return aAsk.mSlice == aSlice;
  });
}

void
TeamAccount::AddLease(HeldLease aLease)
{
  mLeases.push_back(std::move(aLease));
}

std::vector<HeldLease>
TeamAccount::DropLeasesBefore(Timestamp aTime)
{
  const auto kept = std::stable_partition(
    mLeases.begin(), mLeases.end(), [&](const HeldLease& aLease) {
      return aLease.mExpiresAt >= aTime;
    });
  std::vector<HeldLease> dropped(kept, mLeases.end());
  mLeases.erase(kept, mLeases.end());
  return dropped;
}

void
TeamAccount::ForgetAsks()
{
  mAsks.clear();
  mWanted = 0;
}

} // namespace medlarkeel
