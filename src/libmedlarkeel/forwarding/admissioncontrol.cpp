#include "admissioncontrol.h"

namespace medlarkeel {

namespace {

Milliseconds
Scaled(Milliseconds aTime, double aFactor)
{
  return Milliseconds(
    static_cast<std::int64_t>(aFactor * static_cast<double>(aTime.count())));
}

/** @return Whether no requests of the pool are less urgent. */
bool
IsLeastUrgent(const ForwardPool& aPool, const RequestPriority& aPriority)
{
  return aPool.mPriorities.empty() || !(aPriority < aPool.mPriorities.back());
}

/** @return Whether forecasts for a choice are corrected. For long prompts, the
 * correction doesn't reduce the error: their forecasts are right in the median,
 * and the rest depends on requests that arrive later. */
bool
IsForecastCorrected(const BackendChoice& aChoice)
{
  return aChoice.mIsShortPrompt &&
         aChoice.mCostKind == ServerCostKind::ExpectedDelay;
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
  , mShortPromptCorrection(aSettings.mForecastCorrectionSettings)
{
}

AdmissionControl::RefusalRamp
AdmissionControl::RefusalRampFor(const ForwardPool& aPool,
                                 const RequestPriority& aPriority) const
{
  if (IsLeastUrgent(aPool, aPriority)) {
    return { mSettings.mPartialRefusalLoad, mSettings.mFullRefusalLoad };
  }
  const auto lessUrgent = static_cast<double>(std::count_if(
    aPool.mPriorities.begin(),
    aPool.mPriorities.end(),
    [&](const RequestPriority& aOther) { return aPriority < aOther; }));
  const auto urgentPriorities =
    static_cast<double>(aPool.mPriorities.size() - 1);
  const double width =
    (mSettings.mUrgentRefusalLoad - mSettings.mFullRefusalLoad) /
    urgentPriorities;
  const double end = mSettings.mFullRefusalLoad + width * lessUrgent;
  return { end - width, end };
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
AdmissionControl::BacklogTargetTime(const ForwardPool& aPool,
                                    const RequestPriority& aPriority) const
{
  return Scaled(aPool.mMaximumLatencyTarget,
                IsLeastUrgent(aPool, aPriority)
                  ? mSettings.mBacklogTargetShare
                  : mSettings.mUrgentBacklogTargetShare);
}

AdmissionControl::RelativeLoads
AdmissionControl::RelativeLoadsOf(const MeanLoad& aLoad,
                                  Milliseconds aBacklogTarget) const
{
  const auto targetMs = static_cast<double>(aBacklogTarget.count());
  const auto backlog =
    static_cast<double>(mPrefillRate.PrefillTime(aLoad.mPrefillTokens).count());
  return { aLoad.mSlotShare, targetMs > 0.0 ? backlog / targetMs : 0.0 };
}

AdmissionControl::RelativeLoads
AdmissionControl::RelativeLoadsFor(const BackendChoice& aChoice,
                                   Milliseconds aBacklogTarget) const
{
  const RelativeLoads sizeGroup =
    RelativeLoadsOf(aChoice.mSizeGroupLoad, aBacklogTarget);
  const RelativeLoads pool = RelativeLoadsOf(aChoice.mPoolLoad, aBacklogTarget);
  return aChoice.mIsShortPrompt && pool.Highest() < sizeGroup.Highest()
           ? pool
           : sizeGroup;
}

Milliseconds
AdmissionControl::ExpectedFirstEventTime(const AdmissionRequest& aRequest) const
{
  const double tokens = aRequest.mChoice.TokensBeforeFirstEvent();
  const Milliseconds forecast = mPrefillRate.PrefillTime(tokens);
  return IsForecastCorrected(aRequest.mChoice)
           ? mShortPromptCorrection.Corrected(tokens, forecast, aRequest.mNow)
           : forecast;
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
  const Milliseconds backlog =
    Scaled(BacklogTargetTime(aPool, aRequest.mPriority), backlogExcess);
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
  const RelativeLoads loads = RelativeLoadsFor(
    aRequest.mChoice, BacklogTargetTime(aPool, aRequest.mPriority));
  decision.mLoad = loads.Highest();
  decision.mSlotLoad = loads.mSlotLoad;
  decision.mBacklogLoad = loads.mBacklogLoad;
  decision.mTokensPerMs = mPrefillRate.TokensPerMs();
  decision.mExpectedFirstEventTime = ExpectedFirstEventTime(aRequest);
  const RefusalRamp ramp = RefusalRampFor(aPool, aRequest.mPriority);
  const double refusedShare =
    RefusedShare(decision.mLoad, ramp, aRequest.mUsedTimeShare);
  decision.mRefusedShare = std::clamp(refusedShare, 0.0, 1.0);
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
AdmissionControl::RecordForecast(const BackendChoice& aChoice,
                                 Milliseconds aForecast,
                                 Microseconds aActual,
                                 Timestamp aNow)
{
  mForecastError.Record(aChoice.mIsShortPrompt, aForecast, aActual, aNow);
  if (IsForecastCorrected(aChoice)) {
    mShortPromptCorrection.Record(
      aChoice.TokensBeforeFirstEvent(), aActual, aNow);
  }
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
