#pragma once

#include "backendchooser.h"
#include "forwardingdocument.h"
#include "readingspeed.h"

#include <algorithm>

namespace medlarkeel {

/** From which load on requests are refused. */
struct AdmissionSettings
{
  /** Load from which the least urgent tier is refused in part: more than half
   * of the slots, so that refusals leave no server idle. */
  double mFirstRefusal = 0.6;
  /** Load from which all tiers are refused. */
  double mAllRefused = 1.05;
  /** Share of the pool's longest latency target that a backlog may take to
   * read: the rest is for the request's own prompt and a busy server. */
  double mBacklogShare = 0.4;
  /** Part of a tier's range of loads by which the range is moved up for
   * callers who come back, so that few of them are refused once more. */
  double mReturnShift = 1.0;
  /** Shortest time to come back, before it is spread. */
  Milliseconds mLeastReturn{ 100 };
  ReadingSpeedSettings mReadingSpeed;
};

/** A request that asks to be sent to a backend server. */
struct AdmissionRequest
{
  TierRank mTier;
  /** The server that it would be sent to. */
  BackendChoice mChoice;
  /** Whether the caller was refused before: part of its time is used. */
  bool mHasComeBack = false;
  /** Time for which the caller waits for the first event. */
  Milliseconds mPatience{ 0 };
  /** A number from 0 to 1 by chance that decides where part is refused. */
  double mChance = 0.0;
  /** A number from 0 to 1 by chance that spreads the times to come back. */
  double mSpread = 0.0;
};

enum class AdmissionVerdict
{
  Admitted,
  /** The pool is so loaded that requests of this tier are refused. */
  Overloaded,
  /** The caller would leave before the first event. */
  TooLate
};

struct AdmissionDecision
{
  AdmissionVerdict mVerdict = AdmissionVerdict::Admitted;
  /** Load of the pool; 1 is as much as it bears. */
  double mLoad = 0.0;
  /** Expected time to the first event. */
  Milliseconds mExpected{ 0 };
  /** When a refused caller should come back. */
  Milliseconds mReturnAfter{ 0 };
};

/** @return What a verdict means, for logs and answers. */
const char*
AdmissionVerdictText(AdmissionVerdict aVerdict);

/**
 * Decides which requests for model engines are turned away when more arrives
 * than the engines bear.
 *
 * Load pattern: long prompts come faster than they are read. Without refusals
 * the queues grow beyond what callers wait for; prompts are read for nobody,
 * cached parts are lost and read again, and streams of all tiers pause. So
 * tiers are refused one after the other, the least urgent first and each in
 * part before the next begins, as the mean load of the servers rises. Callers
 * who come back are served before new ones of their tier.
 *
 * What counts is the load of the servers that prompts of that size are kept on.
 * Short prompts are refused only when the whole pool is loaded too: else long
 * prompts of less urgent tiers would be served while urgent short ones are
 * refused.
 */
class AdmissionControl
{
public:
  explicit AdmissionControl(const AdmissionSettings& aSettings);

  AdmissionDecision Decide(const ForwardPool& aPool,
                           const AdmissionRequest& aRequest) const;

  /**
   * Notes how long a stream went on after its first event, which tells how fast
   * slots become free.
   */
  void RecordStream(bool aIsShortPrompt, Microseconds aTime);

  /** Notes a first event; see ReadingSpeed. */
  void RecordFirstEvent(double aTokensAhead, Microseconds aElapsed)
  {
    mSpeed.Record(aTokensAhead, aElapsed);
  }

private:
  /** Loads between which a tier is refused more and more. */
  struct Ramp
  {
    double mFirst = 0.0;
    double mLast = 0.0;
  };

  Ramp RampOf(const ForwardPool& aPool, const AdmissionRequest& aRequest) const;
  /** @return The time in which a pool reads what counts as a load of 1. */
  Milliseconds FullBacklogTime(const ForwardPool& aPool) const;
  /** Loads of a kind of server; 1 is as much as it bears. */
  struct Loads
  {
    double mSlots = 0.0;
    double mBacklog = 0.0;

    double Most() const { return std::max(mSlots, mBacklog); }
  };

  Loads LoadsOf(const ForwardPool& aPool, const MeanLoad& aLoad) const;
  Loads LoadsFor(const ForwardPool& aPool, const BackendChoice& aChoice) const;
  /** @return When the load may be down to what the tier is served at. */
  Milliseconds ReturnTime(const ForwardPool& aPool,
                          const AdmissionRequest& aRequest,
                          const Loads& aLoads,
                          const Ramp& aRamp) const;

  AdmissionSettings mSettings;
  ReadingSpeed mSpeed;
  /** Mean times of streams of short and of other prompts. */
  Milliseconds mShortStreams{ 0 };
  Milliseconds mLongStreams{ 0 };
};

} // namespace medlarkeel
