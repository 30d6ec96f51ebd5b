#pragma once

#include "../../tests/core/limitfleet.h"

#include <cstddef>
#include <string>
#include <vector>

namespace medlarkeel {

/** Figures of one way under one case. */
struct CaseResult
{
  std::string mWay;
  std::string mCase;
  std::size_t mArrived = 0;
  std::size_t mAdmitted = 0;
  /** Requests that one all-knowing bucket admits. */
  std::size_t mReference = 0;
  /** Refused although the all-knowing bucket admits the request. */
  std::size_t mWrongful = 0;
  /** Of the quiet teams only. */
  std::size_t mQuietWrongful = 0;
  /** Largest excess over rate x time + burst in any interval, at least 0. */
  double mOverAdmission = 0.0;
  /** Share of the worst team's reference admissions that were refused. */
  double mWorstTeam = 0.0;
  /** Per entry, sent. */
  double mMessagesPerSecond = 0.0;
  double mBytesPerSecond = 0.0;
};

constexpr Microseconds kWarmUp = Seconds(120);
constexpr Microseconds kFaultAt = Seconds(20);
constexpr Microseconds kMeasured = Seconds(180);

/** The teams of today: two large, eight small. */
inline std::vector<TeamLimit>
TodaysTeams()
{
  std::vector<TeamLimit> teams;
  for (int index = 0; index < 10; ++index) {
    const bool large = index < 2;
    teams.push_back(TeamLimit{ TeamName("team-" + std::to_string(index)),
                               large ? 20.0 : 3.0,
                               large ? 60.0 : 10.0 });
  }
  return teams;
}

/** One run of a way under a case. */
template<typename Limiter>
class CaseRun
{
public:
  using Fleet = BasicLimitFleet<Limiter>;

  CaseRun(const TeamLimiterSettings& aSettings,
          const FleetNetwork& aNetwork,
          std::uint64_t aSeed)
    : mFleet(aSettings, aNetwork, aSeed)
    , mTeams(TodaysTeams())
  {
    mFleet.SetTeams(mTeams);
  }

  Fleet& Entries() { return mFleet; }
  const std::vector<TeamLimit>& Teams() const { return mTeams; }

  void StartEntries(int aCount, const std::string& aRegion)
  {
    for (int index = 0; index < aCount; ++index) {
      mFleet.Start(aRegion + "-entry-" + std::to_string(index), aRegion);
    }
  }

  /** Runs the warm-up, then measures with whatever was scheduled. */
  CaseResult Measure(Microseconds aTime)
  {
    mFleet.Run(kWarmUp);
    mFleet.ForgetOutcomes();
    mFleet.Run(aTime);
    return Collect(aTime);
  }

private:
  CaseResult Collect(Microseconds aTime)
  {
    CaseResult result;
    for (const TeamLimit& team : mTeams) {
      const TeamOutcome& outcome = mFleet.Outcome(team.mTeam);
      const double over =
        OverAdmission(outcome.mAdmitted, team.mRate, team.mBurst);
      result.mOverAdmission = std::max(result.mOverAdmission, over);
      result.mArrived += outcome.mArrived;
      result.mAdmitted += outcome.mAdmitted.size();
      result.mReference += outcome.mReferenceAdmitted;
      result.mWrongful += outcome.mWrongful;
      const bool greedy = team.mTeam == mTeams.front().mTeam;
      result.mQuietWrongful += greedy ? 0 : outcome.mWrongful;
      const auto reference = static_cast<double>(
        std::max<std::size_t>(outcome.mReferenceAdmitted, 1));
      result.mWorstTeam = std::max(
        result.mWorstTeam, static_cast<double>(outcome.mWrongful) / reference);
    }
    const double entries = static_cast<double>(mFleet.Reachable({}).size());
    const double seconds = std::chrono::duration<double>(aTime).count();
    const double entrySeconds = seconds * std::max(entries, 1.0);
    result.mMessagesPerSecond =
      static_cast<double>(mFleet.Messages()) / entrySeconds;
    result.mBytesPerSecond = static_cast<double>(mFleet.Bytes()) / entrySeconds;
    return result;
  }

  Fleet mFleet;
  std::vector<TeamLimit> mTeams;
};

/** Sets up one case; the fault comes kFaultAt after the warm-up. */
template<typename Limiter>
struct Case
{
  std::string mName;
  int mRegions = 1;
  int mEntries = 3;
  void (*mSetUp)(CaseRun<Limiter>&) = nullptr;
  Microseconds mMeasured = kMeasured;
};

template<typename Limiter>
void
EvenLoad(CaseRun<Limiter>& aRun, double aFactor)
{
  aRun.Entries().OfferToAll(aRun.Teams(), aFactor);
}

template<typename Limiter>
void
AtFault(CaseRun<Limiter>& aRun, Microseconds aLater, std::function<void()> aDo)
{
  aRun.Entries().After(kWarmUp + kFaultAt + aLater, std::move(aDo));
}

template<typename Limiter>
void
Unlist(CaseRun<Limiter>& aRun, std::size_t aEntry)
{
  auto& fleet = aRun.Entries();
  fleet.List().Remove(fleet.At(aEntry).mId, fleet.Now());
}

template<typename Limiter>
void
SkewedLoad(CaseRun<Limiter>& aRun)
{
  std::size_t entry = 0;
  for (const TeamLimit& team : aRun.Teams()) {
    aRun.Entries().Offer(team, team.mRate * 0.8, { entry });
    entry = (entry + 1) % 3;
  }
}

template<typename Limiter>
void
BurstsOnly(CaseRun<Limiter>& aRun)
{
  auto& fleet = aRun.Entries();
  for (int second = 5; second < 300; second += 15) {
    fleet.After(Seconds(second), [&aRun, &fleet] {
      const std::vector<std::size_t> live = fleet.Reachable({});
      for (const TeamLimit& team : aRun.Teams()) {
        const int size = static_cast<int>(team.mBurst * 0.8);
        for (int count = 0; count < size; ++count) {
          fleet.Arrive(team, live[fleet.Generator()() % live.size()]);
        }
      }
    });
  }
}

template<typename Limiter>
void
OneGreedyTeam(CaseRun<Limiter>& aRun)
{
  for (const TeamLimit& team : aRun.Teams()) {
    const bool greedy = team.mTeam == aRun.Teams().front().mTeam;
    aRun.Entries().Offer(team, team.mRate * (greedy ? 5.0 : 0.5), {});
  }
}

template<typename Limiter>
void
KillOne(CaseRun<Limiter>& aRun)
{
  EvenLoad(aRun, 0.8);
  AtFault(aRun, Seconds(0), [&aRun] { aRun.Entries().Kill(1); });
  AtFault(aRun, Seconds(3), [&aRun] { Unlist(aRun, 1); });
}

template<typename Limiter>
void
ReplaceOne(CaseRun<Limiter>& aRun)
{
  KillOne(aRun);
  AtFault(aRun, Seconds(6), [&aRun] {
    aRun.Entries().Start("new-entry", "region-0");
  });
}

template<typename Limiter>
void
DrainOne(CaseRun<Limiter>& aRun)
{
  EvenLoad(aRun, 0.8);
  AtFault(aRun, Seconds(0), [&aRun] {
    aRun.Entries().Start("new-entry", "region-0");
  });
  AtFault(aRun, Seconds(10), [&aRun] {
    auto& fleet = aRun.Entries();
    fleet.List().Put(fleet.At(1).mId,
                     InstanceState::Leaving,
                     fleet.At(1).mRegion,
                     fleet.Now());
  });
  AtFault(aRun, Seconds(25), [&aRun] {
    aRun.Entries().Kill(1);
    Unlist(aRun, 1);
  });
}

template<typename Limiter>
void
FreezeOne(CaseRun<Limiter>& aRun)
{
  EvenLoad(aRun, 0.8);
  AtFault(
    aRun, Seconds(0), [&aRun] { aRun.Entries().Pause(1, Seconds(30), true); });
}

template<typename Limiter>
void
FreezeAndUnlistOne(CaseRun<Limiter>& aRun)
{
  FreezeOne(aRun);
  AtFault(aRun, Seconds(3), [&aRun] { Unlist(aRun, 1); });
  AtFault(aRun, Seconds(60), [&aRun] {
    auto& fleet = aRun.Entries();
    fleet.List().Put(
      fleet.At(1).mId, InstanceState::Live, fleet.At(1).mRegion, fleet.Now());
  });
}

/** Cuts the entries from the given one on off from the others for 60 s. */
template<typename Limiter>
void
CutFrom(CaseRun<Limiter>& aRun, std::size_t aFirst)
{
  EvenLoad(aRun, 0.8);
  for (const int group : { 1, 0 }) {
    AtFault(aRun, Seconds(group == 1 ? 0 : 60), [&aRun, aFirst, group] {
      for (std::size_t entry = aFirst; entry < aRun.Entries().Size(); ++entry) {
        aRun.Entries().At(entry).mGroup = group;
      }
    });
  }
}

/** Takes the list from the entries from the given one on. */
template<typename Limiter>
void
ListDown(CaseRun<Limiter>& aRun, std::size_t aFirst, Microseconds aTime)
{
  EvenLoad(aRun, 0.8);
  AtFault(aRun, Seconds(0), [&aRun, aFirst, aTime] {
    auto& fleet = aRun.Entries();
    for (std::size_t entry = aFirst; entry < fleet.Size(); ++entry) {
      fleet.At(entry).mBlindUntil = fleet.Now() + aTime;
    }
  });
}

/** Nobody can read the list for 60 s, in which one entry is lost. */
template<typename Limiter>
void
ListDownAndKill(CaseRun<Limiter>& aRun)
{
  ListDown(aRun, 0, Seconds(60));
  AtFault(aRun, Seconds(20), [&aRun] {
    aRun.Entries().Kill(1);
    Unlist(aRun, 1);
  });
}

template<typename Limiter>
std::vector<Case<Limiter>>
AllCases()
{
  using Run = CaseRun<Limiter>;
  const auto even = [](Run& aRun) { EvenLoad(aRun, 0.8); };
  return {
    { "even load 0.8", 1, 3, even },
    { "even load 2.0", 1, 3, [](Run& aRun) { EvenLoad(aRun, 2.0); } },
    { "skewed load 0.8", 1, 3, &SkewedLoad<Limiter> },
    { "bursts of 0.8 burst", 1, 3, &BurstsOnly<Limiter> },
    { "one team at 5x", 1, 3, &OneGreedyTeam<Limiter> },
    { "one killed", 1, 3, &KillOne<Limiter> },
    { "one replaced", 1, 3, &ReplaceOne<Limiter> },
    { "one drained", 1, 3, &DrainOne<Limiter> },
    { "one frozen 30 s", 1, 3, &FreezeOne<Limiter> },
    { "frozen and unlisted", 1, 3, &FreezeAndUnlistOne<Limiter> },
    { "one cut off 60 s", 1, 3, [](Run& aRun) { CutFrom(aRun, 2); } },
    { "list down 60 s",
      1,
      3,
      [](Run& aRun) { ListDown(aRun, 0, Seconds(60)); } },
    { "list down 600 s",
      1,
      3,
      [](Run& aRun) { ListDown(aRun, 0, Seconds(600)); },
      Seconds(720) },
    { "list down for two",
      1,
      3,
      [](Run& aRun) { ListDown(aRun, 1, Seconds(600)); },
      Seconds(720) },
    { "list down, one lost", 1, 3, &ListDownAndKill<Limiter> },
    { "24 entries", 1, 24, even },
    { "two regions", 2, 3, even },
    { "regions apart 60 s", 2, 3, [](Run& aRun) { CutFrom(aRun, 3); } },
  };
}

/** Runs all cases of one way. */
template<typename Limiter>
std::vector<CaseResult>
RunCases(const std::string& aWay, const TeamLimiterSettings& aSettings)
{
  constexpr std::uint64_t kSeed = 20261204;
  std::vector<CaseResult> results;
  for (const Case<Limiter>& one : AllCases<Limiter>()) {
    FleetNetwork network;
    network.mLag = aSettings.mOwnership.mListLag;
    CaseRun<Limiter> run(aSettings, network, kSeed);
    for (int region = 0; region < one.mRegions; ++region) {
      run.StartEntries(one.mEntries, "region-" + std::to_string(region));
    }
    one.mSetUp(run);
    CaseResult result = run.Measure(one.mMeasured);
    result.mWay = aWay;
    result.mCase = one.mName;
    results.push_back(result);
  }
  return results;
}

} // namespace medlarkeel
