#include "admissioncontrol.h"

namespace medlarkeel {

namespace {

Milliseconds
Scaled(Milliseconds aTime, double aFactor)
{
  return Milliseconds(
    static_cast<std::int64_t>(aFactor * static_cast<double>(aTime.count())));
}

} // namespace

const char*
AdmissionVerdictText(AdmissionVerdict aVerdict)
{
  switch (aVerdict) {
    case AdmissionVerdict::Admitted:
      return "admitted";
    case AdmissionVerdict::Overloaded:
      return "the backend servers are overloaded";
    case AdmissionVerdict::TooLate:
      return "the first event would come after the caller has left";
  }
  return "unknown";
}

AdmissionControl::AdmissionControl(const AdmissionSettings& aSettings)
  : mSettings(aSettings)
  , mSpeed(aSettings.mReadingSpeed)
{
}

AdmissionControl::Ramp
AdmissionControl::RampOf(const ForwardPool& aPool,
                         const AdmissionRequest& aRequest) const
{
  const TierRank tier = aRequest.mTier;
  const auto moreUrgent =
    std::count_if(aPool.mTiers.begin(),
                  aPool.mTiers.end(),
                  [tier](TierRank aOther) { return aOther < tier; });
  const auto tiers = static_cast<double>(std::max<std::size_t>(
    aPool.mTiers.size(), static_cast<std::size_t>(moreUrgent) + 1));
  const double width =
    (mSettings.mAllRefused - mSettings.mFirstRefusal) / tiers;
  const double last =
    mSettings.mAllRefused - width * static_cast<double>(moreUrgent);
  const double shift =
    aRequest.mHasComeBack ? width * mSettings.mReturnShift : 0.0;
  return { last - width + shift, last + shift };
}

Milliseconds
AdmissionControl::FullBacklogTime(const ForwardPool& aPool) const
{
  return Scaled(aPool.mLongestTarget, mSettings.mBacklogShare);
}

AdmissionControl::Loads
AdmissionControl::LoadsOf(const ForwardPool& aPool, const MeanLoad& aLoad) const
{
  const auto full = static_cast<double>(FullBacklogTime(aPool).count());
  const auto backlog =
    static_cast<double>(mSpeed.TimeFor(aLoad.mUnreadTokens).count());
  return { aLoad.mSlotShare, full > 0.0 ? backlog / full : 0.0 };
}

AdmissionControl::Loads
AdmissionControl::LoadsFor(const ForwardPool& aPool,
                           const BackendChoice& aChoice) const
{
  const Loads lane = LoadsOf(aPool, aChoice.mLaneLoad);
  const Loads pool = LoadsOf(aPool, aChoice.mPoolLoad);
  return aChoice.mIsShortPrompt && pool.Most() < lane.Most() ? pool : lane;
}

Milliseconds
AdmissionControl::ReturnTime(const ForwardPool& aPool,
                             const AdmissionRequest& aRequest,
                             const Loads& aLoads,
                             const Ramp& aRamp) const
{
  const double backlogExcess = std::max(0.0, aLoads.mBacklog - aRamp.mFirst);
  const double slotExcess = std::max(0.0, aLoads.mSlots - aRamp.mFirst);
  const Milliseconds streams =
    aRequest.mChoice.mIsShortPrompt ? mShortStreams : mLongStreams;
  const Milliseconds backlog = Scaled(FullBacklogTime(aPool), backlogExcess);
  const Milliseconds slots = slotExcess > 0.0
                               ? Scaled(streams, slotExcess / aLoads.mSlots)
                               : Milliseconds(0);
  const Milliseconds least =
    std::max({ mSettings.mLeastReturn, backlog, slots });
  // Half as long again at most, so that those refused at once don't all return
  // at once.
  return least + Scaled(least, aRequest.mSpread / 2.0);
}

AdmissionDecision
AdmissionControl::Decide(const ForwardPool& aPool,
                         const AdmissionRequest& aRequest) const
{
  AdmissionDecision decision;
  const Loads loads = LoadsFor(aPool, aRequest.mChoice);
  decision.mLoad = loads.Most();
  decision.mExpected = mSpeed.TimeFor(aRequest.mChoice.TokensAhead());
  const Ramp ramp = RampOf(aPool, aRequest);
  const double refused =
    (decision.mLoad - ramp.mFirst) / (ramp.mLast - ramp.mFirst);
  if (decision.mExpected > aRequest.mPatience) {
    decision.mVerdict = AdmissionVerdict::TooLate;
  } else if (aRequest.mChance < refused) {
    decision.mVerdict = AdmissionVerdict::Overloaded;
  } else {
    return decision;
  }
  decision.mReturnAfter = ReturnTime(aPool, aRequest, loads, ramp);
  return decision;
}

void
AdmissionControl::RecordStream(bool aIsShortPrompt, Microseconds aTime)
{
  /** Streams whose mean is remembered. */
  constexpr int kMemory = 16;
  Milliseconds& mean = aIsShortPrompt ? mShortStreams : mLongStreams;
  mean += (std::chrono::duration_cast<Milliseconds>(aTime) - mean) / kMemory;
}

} // namespace medlarkeel
