#pragma once

#include "backendscheduler.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace medlarkeel {

/** What one run of ServerLoad is to look like. */
struct LoadSettings
{
  SchedulerLimits mLimits;
  /** Arrivals over what the server can finish. */
  double mLoad = 1.0;
  /** Whether the classes have their tiers, deadlines and floors. */
  bool mClasses = true;
  /** Share of dispatches owed to reviews. */
  double mReviewFloor = 0.05;
  std::size_t mColdStart = 8;
  /** Whether the engine starts cold and crashes above what it bears. */
  bool mFragile = false;
  /** Growth of the time between tokens by each further running request. */
  double mBatchCost = 0.0;
};

/** What became of the requests of one class. */
struct ClassOutcome
{
  int mArrived = 0;
  /** Answers that came in time. */
  int mGood = 0;
  int mLate = 0;
  int mRefused = 0;
  Microseconds mLongestWait{ 0 };
};

struct LoadOutcome
{
  std::map<std::string, ClassOutcome> mClasses;
  std::uint64_t mGoodTokens = 0;
  /** Tokens of late, cut or lost answers. */
  std::uint64_t mWastedTokens = 0;
  int mCrashes = 0;
  /** Requests that may run at once, at the end. */
  std::size_t mLimit = 0;
};

/** Plays random requests against one scheduler and a model of an engine. */
class ServerLoad
{
public:
  ServerLoad(std::uint64_t aSeed, LoadSettings aSettings);

  /** @return What happened in the given time of arrivals. */
  LoadOutcome Run(Seconds aDuration);

private:
  struct Request
  {
    std::string mClass;
    Timestamp mArrival;
    std::optional<Timestamp> mDeadline;
    std::uint32_t mOutput = 0;
    std::uint32_t mDone = 0;
    /** Tokens, with the part of the next. */
    double mProgress = 1.0;
    GrantId mGrant;
    Timestamp mCommitted;
    bool mCut = false;
  };

  void Arrive();
  void Apply(const SchedulerActions& aActions);
  void Advance();
  void Complete(std::uint64_t aId);
  void CrashIfOverloaded();

  std::mt19937_64 mRandom;
  LoadSettings mSettings;
  BackendScheduler mScheduler;
  Timestamp mNow{};
  std::uint64_t mLastId = 0;
  std::map<std::uint64_t, Request> mWaiting;
  std::map<std::uint64_t, Request> mRunning;
  Timestamp mDownUntil{};
  int mFinishedSinceStart = 0;
  LoadOutcome mOutcome;
};

} // namespace medlarkeel
