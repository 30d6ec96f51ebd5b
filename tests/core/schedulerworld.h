#pragma once

#include "backendscheduler.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace medlarkeel {

/**
 * Callers, an entry and an engine round one scheduler. Checks every action
 * against a plain list of all reservations and keeps the first fault.
 */
class SchedulerWorld
{
public:
  struct Settings
  {
    std::size_t mColdStart = 1;
    std::size_t mConcurrency = 4;
    std::size_t mQueueLimit = 6;
    std::vector<ServiceClass> mClasses;
    /** Odds of an arrival in each step, in percent. */
    int mArrivals = 45;
    /** Odds of a deadline for classes without a floor, in percent. */
    int mDeadlines = 0;
    /** Whether restarts, pauses, withdrawn keys and closures happen. */
    bool mFaults = true;
  };

  SchedulerWorld(std::uint64_t aSeed, Settings aSettings);

  /** @return The first fault; empty when none was seen. */
  std::string Run(int aSteps);

  /** @return How often an event was seen. */
  int Count(const std::string& aEvent) const;

private:
  enum class State
  {
    Waiting,
    Granted,
    Committed,
    Cut,
    Ended
  };

  struct Tracked
  {
    Reservation mReservation;
    int mTier = 0;
    Timestamp mDue;
    Timestamp mLatestStart = Timestamp::max();
    State mState = State::Waiting;
    GrantId mGrant;
    bool mFloor = false;
    bool mFirstToken = false;
    std::uint32_t mTokens = 0;
    Timestamp mCommitted;
  };

  /** Tier, whether it is late, when it is due, id. */
  using Order = std::tuple<int, bool, Timestamp, std::uint64_t>;

  std::int64_t Pick(std::int64_t aBound);
  bool Chance(int aPercent);
  void Fault(const std::string& aText);
  void Step();
  void Arrive();
  void CommitSome();
  void RunEngine();
  void Disturb();
  void Restart();

  void Apply(const SchedulerActions& aActions);
  void Check(const GrantAction& aAction);
  void Check(const RefuseAction& aAction);
  void Check(const CutAction& aAction);
  void CheckShed(const Tracked& aVictim);
  void CheckFloors(const Tracked& aGranted);
  void CheckState();

  void SetTimes(Tracked& aTracked, const ServiceClass& aClass);
  bool IsLate(const Tracked& aTracked) const;
  Order OrderOf(const Tracked& aTracked) const;
  Tracked* First();
  Tracked* FirstOf(const ClassName& aClass);
  template<typename Predicate>
  Tracked* FirstWhere(const Predicate& aPredicate);
  std::size_t InFlight() const;
  std::vector<std::uint64_t> In(State aState) const;
  bool HasFloor(const ClassName& aClass) const;

  std::mt19937_64 mRandom;
  Settings mSettings;
  BackendScheduler mScheduler;
  Timestamp mNow{};
  std::map<std::uint64_t, Tracked> mAll;
  std::uint64_t mLastId = 0;
  /** Successes since the last cold start. */
  std::size_t mSuccesses = 0;
  Timestamp mColdStart = Timestamp::min();
  /** Whether the scheduler has seen how long a prefill takes. */
  bool mKnowsPrefill = false;
  std::map<std::string, int> mCounts;
  /** Dispatches of others since a class was served or began to wait. */
  std::map<ClassName, std::uint64_t> mPassedBy;
  std::string mFault;
};

} // namespace medlarkeel
