#include "restoredfleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

namespace medlarkeel {

namespace {

/** Times of a schedule, after the start. */
constexpr Milliseconds kCopyAt{ 4000 };
constexpr Milliseconds kStep{ 100 };
/** Time after the last restore after which all entries must know the same. */
constexpr Milliseconds kSettled{ 12'000 };

/** One random schedule of restores, faults and changes. */
struct Schedule
{
  RestoredFleetSettings mFleet;
  Milliseconds mCopyAge{ 0 };
  Milliseconds mUnavailable{ 0 };
  bool mHasSecondRestore = false;
  Milliseconds mSecondRestoreAfter{ 0 };
  bool mIsHistoryLost = false;
  bool mStartsEntry = false;
  /** Times of changes: before the first restore as parts of the copy's age,
   * after the last one in ms. */
  double mDrainBefore = 0.0;
  double mLeaveBefore = 0.0;
  double mEvacuateBefore = 0.0;
  double mReturnBefore = 0.0;
  Milliseconds mChangesAfter{ 0 };
};

int
AnyOf(int aLow, int aHigh)
{
  return *rc::gen::inRange(aLow, aHigh + 1);
}

Schedule
AnySchedule()
{
  Schedule schedule;
  RestoredFleetSettings& fleet = schedule.mFleet;
  fleet.mEntries = static_cast<std::size_t>(AnyOf(1, 60));
  fleet.mZones = fleet.mEntries > 40 ? 3 : 0;
  fleet.mChangeBound = Milliseconds(fleet.mEntries > 20 ? 3000 : 2000);
  fleet.mReportLossRate = AnyOf(0, 20) / 100.0;
  fleet.mCutEntries =
    std::min<std::size_t>(fleet.mEntries - 1, std::size_t(AnyOf(0, 2)));
  // Calls aren't lost: the time until a lost call is noticed and the delay of a
  // removal after an outage are longer than the bound together.
  fleet.mAnswerTime = Milliseconds(AnyOf(0, 2) == 0 ? 250 : 5);
  fleet.mSeed = static_cast<std::uint64_t>(AnyOf(1, 1'000'000));
  schedule.mCopyAge = Milliseconds(AnyOf(500, 20'000));
  schedule.mUnavailable =
    std::min(schedule.mCopyAge, Milliseconds(AnyOf(0, 2000)));
  schedule.mHasSecondRestore = AnyOf(0, 2) == 0;
  schedule.mSecondRestoreAfter = Milliseconds(AnyOf(300, 8000));
  schedule.mIsHistoryLost = AnyOf(0, 2) == 0;
  schedule.mStartsEntry = AnyOf(0, 1) == 0;
  schedule.mDrainBefore = AnyOf(0, 100) / 100.0;
  schedule.mLeaveBefore = AnyOf(0, 100) / 100.0;
  schedule.mEvacuateBefore = AnyOf(0, 100) / 100.0;
  schedule.mReturnBefore = AnyOf(0, 100) / 100.0;
  schedule.mChangesAfter = Milliseconds(AnyOf(0, 3000));
  return schedule;
}

/**
 * Plays a schedule. Server "drained" drains, "left" leaves and the zone of
 * "evacuated" is evacuated between copy and restore; the evacuation of the zone
 * of "returned" ends then. After the last restore "late" drains and a document
 * is published.
 */
class Play
{
public:
  explicit Play(const Schedule& aSchedule)
    : mSchedule(aSchedule)
    , mFleet(aSchedule.mFleet)
    , mRestoreAt(kCopyAt + aSchedule.mCopyAge)
    , mLastRestoreAt(mRestoreAt + (aSchedule.mHasSecondRestore
                                     ? aSchedule.mSecondRestoreAfter
                                     : Milliseconds(0)))
    , mChangesAt(mLastRestoreAt + aSchedule.mChangesAfter)
  {
  }

  /** @return The first fault; empty when there is none. */
  std::string Run()
  {
    Plan();
    std::string fault;
    const Milliseconds end = mLastRestoreAt + kSettled;
    while (mFleet.Elapsed() < end && fault.empty()) {
      mFleet.RunUntil(mFleet.Elapsed() + kStep);
      fault = FaultNow();
    }
    if (fault.empty() && !mFleet.IsAgreed()) {
      fault = "entries don't agree";
    }
    return fault.empty() ? fault : fault + TimeText();
  }

private:
  void Plan()
  {
    for (const char* const id : { "drained", "left", "late", "kept" }) {
      mFleet.AddServer(id, "main");
    }
    mFleet.AddServer("evacuated", "evacuated");
    mFleet.AddServer("returned", "returned");
    mFleet.At(Milliseconds(500),
              [this]() { mFleet.SetEvacuated("returned", true); });
    mFleet.At(kCopyAt, [this]() { mFleet.TakeCopy(); });
    const Milliseconds available = mSchedule.mCopyAge - mSchedule.mUnavailable;
    const auto before = [&](double aPart) {
      // Changes need a store that answers.
      return kCopyAt + Milliseconds(static_cast<std::int64_t>(
                         aPart * static_cast<double>(available.count())));
    };
    mDrainedAt = before(mSchedule.mDrainBefore);
    mLeftAt = before(mSchedule.mLeaveBefore);
    mEvacuatedAt = before(mSchedule.mEvacuateBefore);
    mReturnedAt = before(mSchedule.mReturnBefore);
    mFleet.At(mDrainedAt, [this]() { mFleet.Drain("drained"); });
    mFleet.At(mLeftAt, [this]() { mFleet.Leave("left"); });
    mFleet.At(mEvacuatedAt,
              [this]() { mFleet.SetEvacuated("evacuated", true); });
    mFleet.At(mReturnedAt,
              [this]() { mFleet.SetEvacuated("returned", false); });
    mFleet.At(mRestoreAt - mSchedule.mUnavailable, [this]() {
      mFleet.StopDirectory();
      mFleet.SetIsCut(true);
    });
    mFleet.At(mRestoreAt,
              [this]() { mFleet.Restore(mSchedule.mIsHistoryLost); });
    if (mSchedule.mHasSecondRestore) {
      mFleet.At(mLastRestoreAt,
                [this]() { mFleet.Restore(mSchedule.mIsHistoryLost); });
    }
    mFleet.At(mChangesAt, [this]() {
      mFleet.Drain("late");
      mFleet.PublishDocument(7);
      mFleet.SetIsCut(false);
      if (mSchedule.mStartsEntry) {
        mFleet.StartEntry();
      }
    });
  }

  /** @return When a change that was made before the restore is in force: after
   * the bound, or after it was written again. */
  Milliseconds InForceAt(Milliseconds aChangedAt, Milliseconds aRewriting) const
  {
    const Milliseconds bound = mSchedule.mFleet.mChangeBound;
    const bool isBefore =
      aChangedAt + bound <= mRestoreAt - mSchedule.mUnavailable;
    return isBefore ? aChangedAt + bound : mLastRestoreAt + aRewriting + bound;
  }

  /** @return Time from which on all entries have to know a change that is in
   * force at a time: those that were cut off learn of it later. */
  bool IsDue(Milliseconds aInForceAt) const
  {
    const Milliseconds bound = mSchedule.mFleet.mChangeBound;
    const Milliseconds now = mFleet.Elapsed();
    const bool isHealing = now >= mChangesAt && now < mChangesAt + bound;
    return now >= aInForceAt && !isHealing;
  }

  /** @return Number of entries that use a server. One that starts after the
   * restore counts only when everything must have been written again. */
  std::size_t UserCount(const std::string& aId, std::size_t aFirst = 0) const
  {
    const bool isWritten =
      mFleet.Elapsed() >= mLastRestoreAt + RestoredFleet::kRewritingDelay +
                            mSchedule.mFleet.mChangeBound;
    return mFleet.UserCount(
      aId, aFirst, isWritten ? mFleet.EntryCount() : mSchedule.mFleet.mEntries);
  }

  std::string FaultNow() const
  {
    constexpr Milliseconds kHeartbeat = RestoredFleet::kHeartbeat;
    constexpr Milliseconds kOperator = RestoredFleet::kRewritingDelay;
    if (IsDue(InForceAt(mDrainedAt, kHeartbeat)) && UserCount("drained") > 0) {
      return "drained server in use";
    }
    // As after each outage, an entry that was cut off keeps missing servers for
    // the grace period of 2,300 ms from its first read on.
    const Milliseconds bound = mSchedule.mFleet.mChangeBound;
    const bool isGraceOver =
      mFleet.Elapsed() >= mChangesAt + bound + FollowerSettings().mGracePeriod;
    const std::size_t first = isGraceOver ? 0 : mSchedule.mFleet.mCutEntries;
    if (IsDue(InForceAt(mLeftAt, kOperator)) && UserCount("left", first) > 0) {
      return "server that left in use";
    }
    if (IsDue(InForceAt(mEvacuatedAt, kOperator)) &&
        UserCount("evacuated") > 0) {
      return "evacuated zone in use";
    }
    if (IsDue(mChangesAt + bound) && UserCount("late") > 0) {
      return "server that drained late in use";
    }
    for (std::size_t i = 0; i < mFleet.EntryCount(); ++i) {
      const auto document = mFleet.Follower(i).Document();
      if (IsDue(mChangesAt + bound) && (!document || document->mVersion < 7)) {
        return "document isn't in force";
      }
    }
    if (mFleet.Elapsed() > kCopyAt && mFleet.Elapsed() < mChangesAt &&
        UserCount("kept") == 0) {
      return "server that stays isn't in use";
    }
    return "";
  }

  std::string TimeText() const
  {
    const auto text = [](const char* aName, Milliseconds aTime) {
      return std::string(", ") + aName + " " + std::to_string(aTime.count());
    };
    return text("now", mFleet.Elapsed()) + text("restored", mRestoreAt) +
           text("last", mLastRestoreAt) + text("changes", mChangesAt) +
           text("drained", mDrainedAt) + text("left", mLeftAt) +
           text("evacuated", mEvacuatedAt) + text("returned", mReturnedAt) +
           text("bound", mSchedule.mFleet.mChangeBound) +
           text("answer", mSchedule.mFleet.mAnswerTime) + ", entries " +
           std::to_string(mSchedule.mFleet.mEntries) + ", cut " +
           std::to_string(mSchedule.mFleet.mCutEntries) + ", losses " +
           std::to_string(mSchedule.mFleet.mReportLossRate) + " " +
           std::to_string(mSchedule.mFleet.mCallLossRate);
  }

  Schedule mSchedule;
  RestoredFleet mFleet;
  Milliseconds mRestoreAt;
  Milliseconds mLastRestoreAt;
  Milliseconds mChangesAt;
  Milliseconds mDrainedAt{ 0 };
  Milliseconds mLeftAt{ 0 };
  Milliseconds mEvacuatedAt{ 0 };
  Milliseconds mReturnedAt{ 0 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(storeeraproperties)

/** Guards against schedules of restores and faults after which a withdrawn
 * server or zone is used again, a change after the restore is late, or entries
 * keep differing. */
BOOST_AUTO_TEST_CASE(RestoredDirectoryKeepsItsBounds)
{
  BOOST_TEST(rc::check("restored directory", []() {
    const std::string fault = Play(AnySchedule()).Run();
    RC_ASSERT(fault == std::string());
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
