#include "permitissuer.h"

#include <algorithm>
#include <iterator>

namespace medlarkeel {

namespace {

/** Time after which the permits of a server that nobody asks for are dropped.
 * A new bucket is empty, so this never adds permits. */
constexpr Microseconds kBucketTimeout = std::chrono::minutes(5);

/** A rate below any that servers state, to divide by. */
constexpr double kMinimumRate = 1e-6;

Microseconds
SecondsToMicroseconds(double aSeconds)
{
  /** Limits delays at tiny rates; see kBucketTimeout. */
  constexpr double kMaximumSeconds = 300.0;
  return std::chrono::duration_cast<Microseconds>(
    std::chrono::duration<double>(std::min(aSeconds, kMaximumSeconds)));
}

} // namespace

PermitIssuer::PermitIssuer(const PermitIssuerSettings& aSettings)
  : mSettings(aSettings)
{
}

PermitIssuer::Bucket&
PermitIssuer::BucketOf(ProcessHash aProcess, Timestamp aNow)
{
  const auto found = mBuckets.find(aProcess);
  if (found != mBuckets.end()) {
    return found->second;
  }
  for (auto entry = mBuckets.begin(); entry != mBuckets.end();) {
    const bool isUnused = aNow - entry->second.mRefilledAt >= kBucketTimeout;
    entry = isUnused ? mBuckets.erase(entry) : std::next(entry);
  }
  Bucket& bucket = mBuckets[aProcess];
  bucket.mRefilledAt = aNow;
  bucket.mNextAskAt = aNow;
  return bucket;
}

PermitDecision
PermitIssuer::Decide(ProcessHash aProcess, RequestRate aRate, Timestamp aNow)
{
  Bucket& bucket = BucketOf(aProcess, aNow);
  const double rate = std::max(aRate.mPerSecond, kMinimumRate);
  const double passed =
    std::chrono::duration<double>(aNow - bucket.mRefilledAt).count();
  const double capacity =
    mSettings.mBurst +
    rate * std::chrono::duration<double>(mSettings.mBurstTime).count();
  bucket.mPermits =
    std::min(capacity, bucket.mPermits + rate * std::max(0.0, passed));
  bucket.mRefilledAt = aNow;
  if (bucket.mPermits >= 1.0) {
    bucket.mPermits -= 1.0;
    return { true, Milliseconds(0) };
  }
  const Timestamp nextPermitAt =
    aNow + SecondsToMicroseconds((1.0 - bucket.mPermits) / rate);
  // Entries get different times, so that all of them don't ask for one
  // permit.
  const Microseconds interval =
    SecondsToMicroseconds(1.0 / (rate * mSettings.mAskersPerPermit));
  const Timestamp latest =
    std::max(nextPermitAt, aNow + mSettings.mMaximumRetryDelay);
  bucket.mNextAskAt =
    std::clamp(bucket.mNextAskAt + interval, nextPermitAt, latest);
  return { false,
           std::chrono::duration_cast<Milliseconds>(bucket.mNextAskAt - aNow) +
             Milliseconds(1) };
}

void
PermitIssuer::RecordRequester(ProcessHash aProcess,
                              const std::string& aAddress,
                              Timestamp aNow)
{
  BucketOf(aProcess, aNow).mRequesters[aAddress] = aNow;
}

std::size_t
PermitIssuer::RequesterCount(ProcessHash aProcess, Timestamp aNow) const
{
  const auto found = mBuckets.find(aProcess);
  if (found == mBuckets.end()) {
    return 0;
  }
  const auto& requesters = found->second.mRequesters;
  return static_cast<std::size_t>(std::count_if(
    requesters.begin(), requesters.end(), [&](const auto& aRequester) {
      return aNow - aRequester.second < mSettings.mRequesterTimeout;
    }));
}

} // namespace medlarkeel
