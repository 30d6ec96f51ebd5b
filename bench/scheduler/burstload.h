#pragma once

#include "backendscheduler.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace medlarkeel {

/** Order of the work of one tier in a burst. */
enum class BurstOrder
{
  Deadline,
  NewestFirst,
  Targets
};

struct BurstSettings
{
  BurstOrder mOrder = BurstOrder::Targets;
  SchedulerLimits mLimits;
  /** Mean time from a grant to its commit. */
  Milliseconds mCommitDelay{ 5 };
  /** Share of waiting requests that hold a second place in the queue. */
  double mSecondShare = 0.0;
};

/** What became of one class. */
struct BurstOutcome
{
  int mArrived = 0;
  /** First bytes in time. */
  int mMet = 0;
  int mWhole = 0;
  int mRefusedAtOnce = 0;
  int mRefusedLater = 0;
};

/**
 * Plays bursts of drafts against one scheduler before an engine whose answers
 * all take equally long, with a tail of steady work after each burst.
 */
class BurstLoad
{
public:
  BurstLoad(std::uint64_t aSeed, BurstSettings aSettings);

  std::map<std::string, BurstOutcome> Run(int aRounds);

private:
  struct Request
  {
    std::size_t mClass = 0;
    /** The other place of the same request; 0 for none. */
    std::uint64_t mOther = 0;
    Timestamp mArrival;
    GrantId mGrant;
    Timestamp mCommitted;
    bool mIsCommitted = false;
    bool mHasFirst = false;
    bool mCut = false;
  };

  void Step();
  void Arrive(std::size_t aClass);
  std::uint64_t Reserve(const Request& aRequest);
  void GiveUpOther(Request& aRequest);
  void Commit();
  void Advance();
  void Apply(const SchedulerActions& aActions);
  void Refuse(std::uint64_t aId);
  std::vector<ServiceClass> Classes() const;
  Timestamp DeadlineOf(std::size_t aClass) const;
  BurstOutcome& OutcomeOf(const Request& aRequest);

  std::mt19937_64 mRandom;
  const BurstSettings mSettings;
  BackendScheduler mScheduler;
  Timestamp mNow{};
  Timestamp mRound{};
  std::uint64_t mLastId = 0;
  std::map<std::uint64_t, Request> mRequests;
  std::map<std::string, BurstOutcome> mOutcomes;
};

} // namespace medlarkeel
