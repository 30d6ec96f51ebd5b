#pragma once

#include "backendchoice.h"
#include "forecastcorrection.h"
#include "forecasterror.h"
#include "forwardingdocument.h"
#include "prefillrate.h"

#include <algorithm>

namespace medlarkeel {

/**
 * Loads at which requests are refused, and retry delays. A load of 1 means that
 * all slots are in use, or that the prefill of the backlog takes its share of
 * the maximum latency target.
 */
struct AdmissionSettings
{
  /** Load above which the least urgent requests are partly refused. It is above
   * half of the slots, so that refusals leave no server idle. */
  double mPartialRefusalLoad = 0.8;
  /** Load from which all of the least urgent requests are refused, and above
   * which others are partly refused. */
  double mFullRefusalLoad = 1.5;
  /** Load from which all requests are refused. */
  double mUrgentRefusalLoad = 1.8;
  /** Share of the pool's maximum latency target that the prefill of the
   * backlog may take. The rest is for the prefill of the request itself and
   * for delays at a busy server. */
  double mBacklogTargetShare = 0.4;
  /** The same share for all but the least urgent requests. No less urgent ones
   * delay them, and refusing them while those are served breaks the order. */
  double mUrgentBacklogTargetShare = 0.7;
  /** Share of its time limit that a caller has used when it is the last one of
   * its priority to be refused. */
  double mFullPrecedenceTimeShare = 0.5;
  /** Minimum retry delay before jitter is added. */
  Milliseconds mMinimumRetryDelay{ 100 };
  PrefillRateSettings mPrefillRateSettings;
  ForecastCorrectionSettings mForecastCorrectionSettings;
};

/** A request for which admission is decided. */
struct AdmissionRequest
{
  RequestPriority mPriority;
  /** The backend server that was chosen for the request. */
  BackendChoice mChoice;
  /** Share of the route's time limit for which the caller no longer waits, from
   * 0 to 1. It is higher for retries. */
  double mUsedTimeShare = 0.0;
  /** Time of the decision. */
  Timestamp mNow;
  /** Time that the caller still waits for the first event. */
  Milliseconds mFirstEventTimeout{ 0 };
  /** Random number from 0 to 1. The request is refused if it is below the share
   * of requests that is refused at the current load. */
  double mRefusalSample = 0.0;
  /** Random number from 0 to 1 that determines the jitter of the retry delay.
   */
  double mJitterSample = 0.0;
};

enum class AdmissionVerdict
{
  Admitted,
  /** Refused because the load is too high for the priority of the request. */
  Overloaded,
  /** Refused because the caller would time out before the first event. */
  WouldTimeOut
};

struct AdmissionDecision
{
  AdmissionVerdict mVerdict = AdmissionVerdict::Admitted;
  /** Load that the decision is based on, the higher one of the two parts below;
   * 1 is the capacity. */
  double mLoad = 0.0;
  /** Share of the slots that are in use. */
  double mSlotLoad = 0.0;
  /** Prefill time of the backlog, as a multiple of the time that it may take.
   */
  double mBacklogLoad = 0.0;
  /** Share of the requests with this priority and used time that is refused at
   * the load, from 0 to 1. */
  double mRefusedShare = 0.0;
  /** Prefill rate that the backlog's time is estimated with, in prompt tokens
   * per millisecond. */
  double mTokensPerMs = 0.0;
  /** Expected time from sending the request to its first event. */
  Milliseconds mExpectedFirstEventTime{ 0 };
  /** Time after which a refused request should be retried. */
  Milliseconds mRetryDelay{ 0 };
};

/** @return A description of a verdict, for logs and answers. */
const char*
AdmissionVerdictText(AdmissionVerdict aVerdict);

/**
 * Decides which requests are refused when the backend servers are overloaded.
 *
 * It handles long prompts that arrive faster than their prefill completes.
 * Without refusals, queueing delays exceed the time that callers wait. Servers
 * then run the prefill of requests whose callers have left, evict cached parts
 * of prompts and compute them again, and all streams stall. Therefore requests
 * are refused in order of priority as the mean load of the servers rises, the
 * least urgent first. The refused share of a priority grows from none to all
 * before the next one is refused. Within a priority, callers that wait for less
 * time take precedence, as retries do.
 *
 * The decision uses the load of the servers that are kept for prompts of the
 * request's size. Short prompts are refused only if the load of the whole pool
 * is high too. Otherwise, urgent short prompts could be refused while less
 * urgent long prompts are served.
 */
class AdmissionControl
{
public:
  /** @param aPool Pool whose requests are decided on; see PoolHash(). */
  AdmissionControl(const AdmissionSettings& aSettings, std::uint32_t aPool);

  /**
   * Decides whether a request is sent to its backend server.
   *
   * @param aPool Pool that the request is for.
   * @return The verdict, the values that it is based on and, for a refused
   * request, the retry delay.
   */
  AdmissionDecision Decide(const ForwardPool& aPool,
                           const AdmissionRequest& aRequest) const;

  /**
   * Records the duration of a stream, which determines how fast slots are
   * released.
   *
   * @param aIsShortPrompt Whether the stream answers a short prompt.
   * @param aTime Time from the first event to the end of the stream.
   */
  void RecordStreamDuration(bool aIsShortPrompt, Microseconds aTime);

  /**
   * Records the time to a first event, from which the prefill rate is
   * estimated.
   *
   * @param aTokensAhead Prompt tokens whose prefill preceded the event.
   * @param aElapsed Time from sending the request to its first event.
   */
  void RecordFirstEvent(double aTokensAhead, Microseconds aElapsed)
  {
    mPrefillRate.Record(aTokensAhead, aElapsed);
  }

  /**
   * Records the time to the first event of a request that was admitted.
   *
   * @param aChoice The backend server that the forecast was made for.
   * @param aForecast The expected time, from the decision on admission.
   * @param aActual Time from sending the request to its first event.
   * @param aNow Time of the event.
   */
  void RecordForecast(const BackendChoice& aChoice,
                      Milliseconds aForecast,
                      Microseconds aActual,
                      Timestamp aNow);

  /** @return The errors of recent forecasts. */
  const ForecastError& ForecastErrors() const { return mForecastError; }

  /** Adds this entry's measurements to a report. */
  void FillReport(EntryLoad& aLoad) const;

  /** Replaces the measurements of the peers. */
  void SetPeerLoad(const EntryLoad& aLoad);

private:
  /** Range of loads in which the refused share of a priority rises from none to
   * all: in the lower half for callers that have all of their time left, in the
   * upper half for those that have used much of it. */
  struct RefusalRamp
  {
    double mStartLoad = 0.0;
    double mFullLoad = 0.0;
  };

  RefusalRamp RefusalRampFor(const ForwardPool& aPool,
                             const RequestPriority& aPriority) const;
  /** @return The share of requests that is refused at a load; below 0 for none,
   * above 1 for all. */
  double RefusedShare(double aLoad,
                      const RefusalRamp& aRamp,
                      double aUsedTimeShare) const;
  /** @return The prefill time of a backlog that counts as a load of 1. */
  Milliseconds BacklogTargetTime(const ForwardPool& aPool,
                                 const RequestPriority& aPriority) const;
  /** Mean loads of a group of servers; 1 is their capacity. */
  struct RelativeLoads
  {
    double mSlotLoad = 0.0;
    double mBacklogLoad = 0.0;

    double Highest() const { return std::max(mSlotLoad, mBacklogLoad); }
  };

  RelativeLoads RelativeLoadsOf(const MeanLoad& aLoad,
                                Milliseconds aBacklogTarget) const;
  /** @return The loads that decide on a request: those of the servers for its
   * prompt size, or those of the pool if the prompt is short and the pool has
   * the lower load. */
  RelativeLoads RelativeLoadsFor(const BackendChoice& aChoice,
                                 Milliseconds aBacklogTarget) const;
  /** @return Expected time from sending a request to its first event. */
  Milliseconds ExpectedFirstEventTime(const AdmissionRequest& aRequest) const;
  /** @return The estimated time, with jitter, until the load has fallen to the
   * start of the ramp, at least mMinimumRetryDelay. */
  Milliseconds RetryDelay(const ForwardPool& aPool,
                          const AdmissionRequest& aRequest,
                          const RelativeLoads& aLoads,
                          const RefusalRamp& aRamp) const;

  AdmissionSettings mSettings;
  std::uint32_t mPool;
  PrefillRate mPrefillRate;
  ForecastError mForecastError;
  ForecastCorrection mShortPromptCorrection;
  /** Moving averages of the duration of streams after their first event; 0 at
   * the start. */
  Milliseconds mShortPromptStreamTime{ 0 };
  Milliseconds mLongPromptStreamTime{ 0 };
};

} // namespace medlarkeel
