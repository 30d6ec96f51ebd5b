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
    case AdmissionVerdict::WouldTimeOut:
      return "the first event would come after the caller has left";
  }
  return "unknown";
}

AdmissionControl::AdmissionControl(const AdmissionSettings& aSettings,
                                   std::uint32_t aPool)
  : mSettings(aSettings)
  , mPool(aPool)
  , mPrefillRate(aSettings.mPrefillRateSettings)
{
}

AdmissionControl::RefusalRamp
AdmissionControl::RefusalRampFor(const ForwardPool& aPool,
                                 const RequestPriority& aPriority) const
{
  const auto moreUrgent = std::count_if(
    aPool.mPriorities.begin(),
    aPool.mPriorities.end(),
    [&](const RequestPriority& aOther) { return aOther < aPriority; });
  const auto priorities = static_cast<double>(std::max<std::size_t>(
    aPool.mPriorities.size(), static_cast<std::size_t>(moreUrgent) + 1));
  const double rampWidth =
    (mSettings.mFullRefusalLoad - mSettings.mPartialRefusalLoad) / priorities;
  const double rampEnd =
    mSettings.mFullRefusalLoad - rampWidth * static_cast<double>(moreUrgent);
  return { rampEnd - rampWidth, rampEnd };
}

double
AdmissionControl::RefusedShare(double aLoad,
                               const RefusalRamp& aRamp,
                               double aUsedTimeShare) const
{
  const double position =
    (aLoad - aRamp.mStartLoad) / (aRamp.mFullLoad - aRamp.mStartLoad);
  const double precedence =
    std::min(1.0, aUsedTimeShare / mSettings.mFullPrecedenceTimeShare);
  return 2.0 * position - precedence;
}

Milliseconds
AdmissionControl::BacklogTargetTime(const ForwardPool& aPool) const
{
  return Scaled(aPool.mMaximumLatencyTarget, mSettings.mBacklogTargetShare);
}

AdmissionControl::RelativeLoads
AdmissionControl::RelativeLoadsOf(const ForwardPool& aPool,
                                  const MeanLoad& aLoad) const
{
  const auto targetMs = static_cast<double>(BacklogTargetTime(aPool).count());
  const auto backlog =
    static_cast<double>(mPrefillRate.PrefillTime(aLoad.mPrefillTokens).count());
  return { aLoad.mSlotShare, targetMs > 0.0 ? backlog / targetMs : 0.0 };
}

AdmissionControl::RelativeLoads
AdmissionControl::RelativeLoadsFor(const ForwardPool& aPool,
                                   const BackendChoice& aChoice) const
{
  const RelativeLoads sizeGroup =
    RelativeLoadsOf(aPool, aChoice.mSizeGroupLoad);
  const RelativeLoads pool = RelativeLoadsOf(aPool, aChoice.mPoolLoad);
  return aChoice.mIsShortPrompt && pool.Highest() < sizeGroup.Highest()
           ? pool
           : sizeGroup;
}

Milliseconds
AdmissionControl::RetryDelay(const ForwardPool& aPool,
                             const AdmissionRequest& aRequest,
                             const RelativeLoads& aLoads,
                             const RefusalRamp& aRamp) const
{
  const double backlogExcess =
    std::max(0.0, aLoads.mBacklogLoad - aRamp.mStartLoad);
  const double slotExcess = std::max(0.0, aLoads.mSlotLoad - aRamp.mStartLoad);
  const Milliseconds streamTime = aRequest.mChoice.mIsShortPrompt
                                    ? mShortPromptStreamTime
                                    : mLongPromptStreamTime;
  const Milliseconds backlog = Scaled(BacklogTargetTime(aPool), backlogExcess);
  const Milliseconds slotDelay =
    slotExcess > 0.0 ? Scaled(streamTime, slotExcess / aLoads.mSlotLoad)
                     : Milliseconds(0);
  const Milliseconds minimumDelay =
    std::max({ mSettings.mMinimumRetryDelay, backlog, slotDelay });
  // Jitter of up to 50 % keeps requests that were refused at the same time from
  // being retried at the same time.
  return minimumDelay + Scaled(minimumDelay, aRequest.mJitterSample / 2.0);
}

AdmissionDecision
AdmissionControl::Decide(const ForwardPool& aPool,
                         const AdmissionRequest& aRequest) const
{
  AdmissionDecision decision;
  const RelativeLoads loads = RelativeLoadsFor(aPool, aRequest.mChoice);
  decision.mLoad = loads.Highest();
  decision.mSlotLoad = loads.mSlotLoad;
  decision.mBacklogLoad = loads.mBacklogLoad;
  decision.mTokensPerMs = mPrefillRate.TokensPerMs();
  decision.mExpectedFirstEventTime =
    mPrefillRate.PrefillTime(aRequest.mChoice.TokensBeforeFirstEvent());
  const RefusalRamp ramp = RefusalRampFor(aPool, aRequest.mPriority);
  const double refusedShare =
    RefusedShare(decision.mLoad, ramp, aRequest.mUsedTimeShare);
  if (decision.mExpectedFirstEventTime > aRequest.mFirstEventTimeout) {
    decision.mVerdict = AdmissionVerdict::WouldTimeOut;
  } else if (aRequest.mRefusalSample < refusedShare) {
    decision.mVerdict = AdmissionVerdict::Overloaded;
  } else {
    return decision;
  }
  decision.mRetryDelay = RetryDelay(aPool, aRequest, loads, ramp);
  return decision;
}

void
AdmissionControl::FillReport(EntryLoad& aLoad) const
{
  aLoad.mPrefill[mPool] = mPrefillRate.OwnSample();
}

void
AdmissionControl::SetPeerLoad(const EntryLoad& aLoad)
{
  const auto sample = aLoad.mPrefill.find(mPool);
  mPrefillRate.SetPeerSample(sample == aLoad.mPrefill.end() ? PrefillSample()
                                                            : sample->second);
}

void
AdmissionControl::RecordStreamDuration(bool aIsShortPrompt, Microseconds aTime)
{
  /** The weight of a new stream in the moving average is 1/16. */
  constexpr int kAveragedStreams = 16;
  Milliseconds& mean =
    aIsShortPrompt ? mShortPromptStreamTime : mLongPromptStreamTime;
  mean +=
    (std::chrono::duration_cast<Milliseconds>(aTime) - mean) / kAveragedStreams;
}

} // namespace medlarkeel
