#include "circuitbreaker.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Doublings after which the open time has surely reached its maximum. */
constexpr int kMaxDoublings = 16;

} // namespace

CircuitBreaker::CircuitBreaker(const BreakerSettings& aSettings,
                               std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(static_cast<std::minstd_rand::result_type>(aSeed))
{
}

bool
CircuitBreaker::Allows(Timestamp aNow) const
{
  switch (mState) {
    case BreakerState::Closed:
      return true;
    case BreakerState::Open:
      return aNow >= mOpenUntil;
    case BreakerState::HalfOpen:
      break;
  }
  return aNow - mTrialSince >= mSettings.mTrialTimeout;
}

void
CircuitBreaker::RecordSent(Timestamp aNow)
{
  if (mState != BreakerState::Closed && Allows(aNow)) {
    mState = BreakerState::HalfOpen;
    mTrialSince = aNow;
  }
}

void
CircuitBreaker::RecordSuccess()
{
  mFailures = 0;
  if (mState == BreakerState::HalfOpen) {
    mState = BreakerState::Closed;
    mOpenings = 0;
  }
}

void
CircuitBreaker::RecordFailure(Timestamp aNow)
{
  ++mFailures;
  const bool trialFailed = mState == BreakerState::HalfOpen;
  const bool limitReached =
    mState == BreakerState::Closed && mFailures >= mSettings.mFailuresToOpen;
  if (trialFailed || limitReached) {
    Open(aNow);
  }
}

void
CircuitBreaker::Open(Timestamp aNow)
{
  const int doublings = std::min(mOpenings, kMaxDoublings);
  const Microseconds full =
    std::min(mSettings.mOpenTime * (1 << doublings), mSettings.mMaxOpenTime);
  std::uniform_real_distribution<double> share(1.0, 1.5);
  const double jittered = static_cast<double>(full.count()) * share(mRandom);
  mState = BreakerState::Open;
  mOpenUntil = aNow + Microseconds(static_cast<Microseconds::rep>(jittered));
  mFailures = 0;
  ++mOpenings;
}

} // namespace medlarkeel
