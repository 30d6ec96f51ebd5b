#include "serviceestimator.h"

#include <algorithm>
#include <optional>

namespace medlarkeel {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1000.0;

Microseconds
NotNegative(Microseconds aDuration)
{
  return std::max(aDuration, Microseconds(0));
}

} // namespace

void
ServiceEstimator::RecordSuccess(const Slot& aSlot, Timestamp aNow)
{
  const ClassName& name = aSlot.mReservation.mClass;
  if (aSlot.mTokens > 0) {
    mTokens[name].Record(static_cast<double>(aSlot.mTokens));
  }
  if (aSlot.mCommitted) {
    const Microseconds elapsed = aNow - *aSlot.mCommitted;
    mDurations[name].Record(static_cast<double>(elapsed.count()) /
                            kMicrosecondsPerMillisecond);
  }
}

bool
ServiceEstimator::Knows(const ClassName& aClass) const
{
  return mDurations.count(aClass) != 0;
}

Microseconds
ServiceEstimator::Total(const Reservation& aReservation, double aQuantile) const
{
  if (mKind == PoolKind::Service) {
    return Duration(aReservation.mClass, Microseconds(0), aQuantile);
  }
  return FirstByte(aReservation, aQuantile) +
         Output(aReservation, 0, aQuantile);
}

Microseconds
ServiceEstimator::FirstByte(const Reservation& aReservation,
                            double aQuantile) const
{
  if (mKind == PoolKind::Service) {
    return Total(aReservation, aQuantile);
  }
  return mSpeed.FirstToken(aReservation.mPromptTokens)
    .value_or(Microseconds(0));
}

Microseconds
ServiceEstimator::Remaining(const Slot& aSlot,
                            Timestamp aNow,
                            double aQuantile) const
{
  if (!aSlot.mCommitted) {
    return Total(aSlot.mReservation, aQuantile);
  }
  const Microseconds elapsed = aNow - *aSlot.mCommitted;
  if (mKind == PoolKind::Service) {
    return Duration(aSlot.mReservation.mClass, elapsed, aQuantile);
  }
  if (!aSlot.mFirstToken) {
    return NotNegative(Total(aSlot.mReservation, aQuantile) - elapsed);
  }
  return Output(aSlot.mReservation, aSlot.mTokens, aQuantile);
}

Microseconds
ServiceEstimator::Output(const Reservation& aReservation,
                         std::uint32_t aReached,
                         double aQuantile) const
{
  const auto gap = mSpeed.TokenGap();
  const auto histogram = mTokens.find(aReservation.mClass);
  if (!gap || histogram == mTokens.end()) {
    return Microseconds(0);
  }
  const auto reached = static_cast<double>(aReached);
  double tokens =
    histogram->second.Quantile(aQuantile, reached).value_or(reached);
  if (aReservation.mMaxTokens > 0) {
    tokens = std::min(tokens, static_cast<double>(aReservation.mMaxTokens));
  }
  const double left = std::max(0.0, tokens - reached);
  const double time = left * static_cast<double>(gap->count());
  return Microseconds(static_cast<Microseconds::rep>(time));
}

Microseconds
ServiceEstimator::Duration(const ClassName& aClass,
                           Microseconds aElapsed,
                           double aQuantile) const
{
  const auto histogram = mDurations.find(aClass);
  if (histogram == mDurations.end()) {
    return Microseconds(0);
  }
  const double elapsed =
    static_cast<double>(aElapsed.count()) / kMicrosecondsPerMillisecond;
  const double total =
    histogram->second.Quantile(aQuantile, elapsed).value_or(elapsed);
  const double left =
    std::max(0.0, total - elapsed) * kMicrosecondsPerMillisecond;
  return Microseconds(static_cast<Microseconds::rep>(left));
}

} // namespace medlarkeel
