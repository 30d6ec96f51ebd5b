#pragma once

#include "../../tests/core/limitfleet.h"
#include "meteredlimiter.h"

#include <malloc.h>

#include <cstddef>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace medlarkeel {

/** Requests a second that one entry gets at the size aimed at. */
constexpr double kRequestsPerEntry = 5600.0 / 410.0;

/** Costs of one entry in a fleet of a given size. */
struct SizeResult
{
  std::size_t mEntries = 0;
  std::size_t mTeams = 0;
  double mAdmitNanoseconds = 0.0;
  double mReceiveNanoseconds = 0.0;
  double mTickNanoseconds = 0.0;
  double mObserveNanoseconds = 0.0;
  /** Share of one core that all calls take at one entry, in percent. */
  double mCorePercent = 0.0;
  double mMessagesPerSecond = 0.0;
  double mBytesPerSecond = 0.0;
  double mActiveTeams = 0.0;
  double mLedgers = 0.0;
  std::size_t mArrived = 0;
  std::size_t mReference = 0;
  std::size_t mWrongful = 0;
};

/** Teams whose demand falls with their rank, with 25% room each. */
inline std::vector<TeamLimit>
RankedTeams(std::size_t aCount, double aDemand, std::vector<double>& aWeights)
{
  double sum = 0.0;
  for (std::size_t rank = 1; rank <= aCount; ++rank) {
    aWeights.push_back(1.0 / static_cast<double>(rank));
    sum += aWeights.back();
  }
  std::vector<TeamLimit> teams;
  teams.reserve(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    const double rate = 1.25 * aDemand * aWeights[index] / sum;
    const double burst = std::max(10.0, 4.0 * rate);
    teams.push_back(
      TeamLimit{ TeamName("team-" + std::to_string(index)), rate, burst });
  }
  return teams;
}

/** Requests of all teams at all entries of a fleet. */
class FleetLoad
{
public:
  using Fleet = BasicLimitFleet<MeteredLimiter>;

  FleetLoad(Fleet& aFleet, std::size_t aTeams, double aDemand)
    : mFleet(aFleet)
    , mDemand(aDemand)
    , mTeams(RankedTeams(aTeams, aDemand, mWeights))
    , mPick(mWeights.begin(), mWeights.end())
  {
  }

  const std::vector<TeamLimit>& Teams() const { return mTeams; }

  void Next()
  {
    std::exponential_distribution<double> gap(mDemand / 1e6);
    const double wait = gap(mFleet.Generator());
    mFleet.After(Microseconds(static_cast<std::int64_t>(wait) + 1), [this] {
      const std::size_t team = mPick(mFleet.Generator());
      mFleet.Arrive(mTeams[team], mFleet.Generator()() % mFleet.Size());
      Next();
    });
  }

private:
  Fleet& mFleet;
  double mDemand;
  std::vector<double> mWeights;
  std::vector<TeamLimit> mTeams;
  std::discrete_distribution<std::size_t> mPick;
};

/** Whether the list can be read while a size is measured. */
enum class ListState
{
  Readable,
  Lost
};

/** Runs a whole fleet and measures what one of its entries costs. */
inline SizeResult
MeasureSize(std::size_t aEntries, std::size_t aTeams, ListState aList)
{
  constexpr Microseconds kWarmUp = Seconds(45);
  constexpr double kMeasuredSeconds = 20.0;
  TeamLimiterSettings settings;
  FleetNetwork network;
  network.mLag = settings.mOwnership.mListLag;
  FleetLoad::Fleet fleet(settings, network, 20261204);
  const auto entries = static_cast<double>(aEntries);
  FleetLoad load(fleet, aTeams, kRequestsPerEntry * entries);
  fleet.SetTeams(load.Teams());
  for (std::size_t index = 0; index < aEntries; ++index) {
    fleet.Start("entry-" + std::to_string(index));
  }
  const RangeOwnership ownership(InstanceId(), settings.mOwnership, {});
  fleet.SetReferenceStart(fleet.Now() + ownership.TakeoverWait());
  load.Next();
  fleet.Run(kWarmUp);
  if (aList == ListState::Lost) {
    fleet.LoseListForAll(Seconds(600));
    fleet.Run(Seconds(30));
  }
  fleet.ForgetOutcomes();
  MeteredLimiter::All() = {};
  fleet.Run(Microseconds(static_cast<std::int64_t>(kMeasuredSeconds * 1e6)));
  const MeteredLimiter::Meters& meters = MeteredLimiter::All();
  const auto mean = [&](MeteredCall aCall) {
    return meters[static_cast<std::size_t>(aCall)].Mean();
  };
  SizeResult result;
  result.mEntries = aEntries;
  result.mTeams = aTeams;
  result.mAdmitNanoseconds = mean(MeteredCall::Admit);
  result.mReceiveNanoseconds = mean(MeteredCall::Receive);
  result.mTickNanoseconds = mean(MeteredCall::Tick);
  result.mObserveNanoseconds = mean(MeteredCall::ObserveList);
  double nanoseconds = 0.0;
  for (const CallMeter& meter : meters) {
    nanoseconds += static_cast<double>(meter.mTime.count());
  }
  const double entrySeconds = entries * kMeasuredSeconds;
  result.mCorePercent = nanoseconds / 1e9 / entrySeconds * 100.0;
  result.mMessagesPerSecond =
    static_cast<double>(fleet.Messages()) / entrySeconds;
  result.mBytesPerSecond = static_cast<double>(fleet.Bytes()) / entrySeconds;
  for (std::size_t index = 0; index < aEntries; ++index) {
    const auto statistics = fleet.At(index).mLimiter->Statistics();
    result.mActiveTeams +=
      static_cast<double>(statistics.mActiveTeams) / entries;
    result.mLedgers += static_cast<double>(statistics.mLedgers) / entries;
  }
  for (const TeamLimit& team : load.Teams()) {
    const TeamOutcome& outcome = fleet.Outcome(team.mTeam);
    result.mArrived += outcome.mArrived;
    result.mReference += outcome.mReferenceAdmitted;
    result.mWrongful += outcome.mWrongful;
  }
  return result;
}

/** Bytes that one limiter holds. */
struct StateResult
{
  std::size_t mEntries = 0;
  std::size_t mTeams = 0;
  std::size_t mActive = 0;
  std::size_t mIdleBytes = 0;
  std::size_t mListBytes = 0;
  std::size_t mActiveBytes = 0;
};

/** Measures the heap that one limiter takes. */
inline StateResult
MeasureState(std::size_t aEntries, std::size_t aTeams)
{
  constexpr std::size_t kActiveTeams = 400;
  const auto used = [] { return mallinfo2().uordblks; };
  const Timestamp start{ Seconds(100) };
  std::vector<double> weights;
  const std::vector<TeamLimit> teams = RankedTeams(aTeams, 5600.0, weights);
  LaggingList list;
  for (std::size_t index = 0; index < aEntries; ++index) {
    list.Put(InstanceId("entry-" + std::to_string(index)),
             InstanceState::Live,
             RegionName("r"),
             start);
  }
  const InstanceList reading = list.Latest();
  StateResult result;
  result.mEntries = aEntries;
  result.mTeams = aTeams;
  result.mActive = std::min(aTeams, kActiveTeams);
  const std::size_t before = used();
  TeamLimiter limiter(InstanceId("entry-0"), {}, 1);
  limiter.SetTeams(teams, start);
  const std::size_t withTeams = used();
  limiter.ObserveList(reading, start, start);
  const std::size_t withList = used();
  const Timestamp later = start + Seconds(100);
  limiter.ObserveList(reading, later, later);
  for (std::size_t index = 0; index < result.mActive; ++index) {
    limiter.Admit(teams[index].mTeam, later);
  }
  result.mIdleBytes = withTeams - before;
  result.mListBytes = withList - withTeams;
  result.mActiveBytes = used() - withList;
  return result;
}

} // namespace medlarkeel
