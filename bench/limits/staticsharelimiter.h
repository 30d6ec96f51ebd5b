#pragma once

#include "instancelist.h"
#include "limitmessage.h"
#include "rangeownership.h"
#include "teamlimit.h"
#include "teamlimiter.h"
#include "tokenbucket.h"
#include "types.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace medlarkeel {

/**
 * The plain alternative: each entry grants rate / n and burst / n, where n is
 * the number of live entries by its newest reading.
 */
class StaticShareLimiter
{
public:
  StaticShareLimiter(const InstanceId&,
                     const TeamLimiterSettings&,
                     std::uint64_t)
  {
  }

  void SetTeams(const std::vector<TeamLimit>& aTeams, Timestamp aNow)
  {
    for (const TeamLimit& team : aTeams) {
      mTeams.try_emplace(team.mTeam,
                         TeamShare{ SlicedLimit(team, 1), TokenBucket(aNow) });
    }
  }

  void ObserveList(const InstanceList& aList, Timestamp, Timestamp)
  {
    mEntries = std::count_if(aList.mInstances.begin(),
                             aList.mInstances.end(),
                             [](const InstanceRecord& aRecord) {
                               return aRecord.mState == InstanceState::Live;
                             });
  }

  AdmitVerdict Admit(const TeamName& aTeam,
                     Timestamp aNow,
                     AdmitAttempt = AdmitAttempt::First)
  {
    AdmitVerdict verdict;
    verdict.mCause = ShortageCause::LocalShortage;
    if (mEntries == 0) {
      return verdict;
    }
    TeamShare& team = mTeams.at(aTeam);
    const MicroTokens burst = team.mLimit.Burst() / mEntries;
    team.mBucket.Accrue(team.mLimit.PerSecond() / mEntries, burst, aNow);
    if (team.mBucket.Level() >= kWholeToken) {
      team.mBucket.Take(kWholeToken);
      verdict.mAdmitted = true;
    }
    return verdict;
  }

  std::vector<LimitMessage> Receive(const LimitMessage&, Timestamp)
  {
    return {};
  }

  std::vector<LimitMessage> Tick(Timestamp) { return {}; }

  void ResumeAfterPause(Timestamp) {}

private:
  struct TeamShare
  {
    SlicedLimit mLimit;
    TokenBucket mBucket;
  };

  std::unordered_map<TeamName, TeamShare> mTeams;
  std::int64_t mEntries = 0;
};

} // namespace medlarkeel
