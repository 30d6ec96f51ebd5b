#include "tally.h"

#include <algorithm>
#include <map>
#include <string>

namespace medlarkeel {

namespace {

using nlohmann::json;

constexpr double kMillisecondsPerSecond = 1000;
constexpr std::size_t kKeptFailures = 100;
const char* const kRateReason = "team-rate-exceeded";

struct Share
{
  std::uint64_t mOffered = 0;
  std::uint64_t mWhole = 0;
  std::uint64_t mAttained = 0;
  std::vector<double> mLatencies; // to the first byte, of whole answers
};

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(last * aShare)];
}

double
Ratio(double aPart, double aWhole)
{
  return aWhole > 0 ? aPart / aWhole : 1;
}

json
Describe(const Share& aShare)
{
  const auto offered = static_cast<double>(aShare.mOffered);
  return { { "offered", aShare.mOffered },
           { "whole", aShare.mWhole },
           { "attained", aShare.mAttained },
           { "attainment",
             Ratio(static_cast<double>(aShare.mAttained), offered) },
           { "firstByteMedianMs", Quantile(aShare.mLatencies, 0.5) },
           { "firstByte99Ms", Quantile(aShare.mLatencies, 0.99) } };
}

/** Adds the outcomes of one run. */
class RunTally
{
public:
  RunTally(const Workload& aWorkload, const FleetCounts& aAfter)
    : mWorkload(aWorkload)
    , mAfter(aAfter)
  {
  }

  /** Notes a request that was admitted in place of an entitled one. */
  void NoteSpare(const Arrival& aArrival, const Outcome& aOutcome)
  {
    const bool admitted = aOutcome.mReason != kRateReason;
    mSpare[aArrival.mTeam] += admitted && !aArrival.mEntitled ? 1 : 0;
  }

  void Add(const Arrival& aArrival, const Outcome& aOutcome)
  {
    const ClassLoad& load = mWorkload.mClasses[aArrival.mClass];
    const bool attained = MeetsTargets(load, aOutcome);
    const bool limited = aOutcome.mReason == kRateReason;
    const bool wrongful = limited && aArrival.mEntitled && !TakeSpare(aArrival);
    if (wrongful || !limited) {
      Count(mClasses[load.mName], aOutcome, attained);
      Count(mTeams[mWorkload.mTeams[aArrival.mTeam].mName], aOutcome, attained);
    }
    mWrongful += wrongful ? 1 : 0;
    mAttained += attained ? 1 : 0;
    mTokens += aOutcome.mWhole ? aOutcome.mTokens : 0;
    mForeign += aOutcome.mForeign ? 1 : 0;
    if (!aOutcome.mWhole) {
      ++mReasons[aOutcome.mReason];
      ++mReasonsByClass[load.mName + " " + aOutcome.mReason];
      AddFailure(aArrival, load, aOutcome);
    }
    mEntitled += aArrival.mEntitled ? 1 : 0;
    mServed[aArrival.mTeam] += aOutcome.mWhole ? 1 : 0;
    CheckRuns(aArrival, load, aOutcome);
  }

  json Result(double aSeconds, std::uint64_t aEngineTokens) const
  {
    const double made = static_cast<double>(aEngineTokens);
    const double wasted = made - static_cast<double>(mTokens);
    json classes = json::object();
    for (const auto& [name, share] : mClasses) {
      classes[name] = Describe(share);
    }
    return { { "classes", classes },
             { "goodputPerSecond", static_cast<double>(mAttained) / aSeconds },
             { "engineTokens", aEngineTokens },
             { "deliveredTokens", mTokens },
             { "wastedShare", made > 0 ? wasted / made : 0 },
             { "worstTeam", WorstTeam() },
             { "entitled", mEntitled },
             { "wrongfulRefusals", mWrongful },
             { "notServedByReason", mReasons },
             { "notServedByClass", mReasonsByClass },
             { "firstFailures", mFailures },
             { "violations",
               { { "foreignAnswers", mForeign },
                 { "doubledRuns", mDoubled },
                 { "lostRuns", mLost },
                 { "falseNotRun", mFalseNotRun },
                 { "teamsOverShare", TeamsOverShare(aSeconds) } } } };
  }

private:
  /** A team is wronged only if fewer were admitted than it had a right to,
   * not if others than the bucket's choice were. */
  bool TakeSpare(const Arrival& aArrival)
  {
    std::uint64_t& spare = mSpare[aArrival.mTeam];
    if (spare == 0) {
      return false;
    }
    --spare;
    return true;
  }

  void AddFailure(const Arrival& aArrival,
                  const ClassLoad& aLoad,
                  const Outcome& aOutcome)
  {
    if (mFailures.size() >= kKeptFailures) {
      return;
    }
    mFailures.push_back({ { "atMs", aArrival.mAt },
                          { "class", aLoad.mName },
                          { "reason", aOutcome.mReason },
                          { "executed", aOutcome.mExecuted },
                          { "withTicket", aArrival.mWithTicket },
                          { "entry", aArrival.mEntry } });
  }

  static void Count(Share& aShare, const Outcome& aOutcome, bool aAttained)
  {
    ++aShare.mOffered;
    aShare.mAttained += aAttained ? 1 : 0;
    if (aOutcome.mWhole) {
      ++aShare.mWhole;
      aShare.mLatencies.push_back(aOutcome.mFirstByte);
    }
  }

  void CheckRuns(const Arrival& aArrival,
                 const ClassLoad& aLoad,
                 const Outcome& aOutcome)
  {
    const bool isService = aLoad.mModel.empty();
    const json& runsOf = isService ? mAfter.mServiceRuns : mAfter.mEngineRuns;
    const int runs = runsOf.value(aArrival.mMarker, 0);
    const bool counted = !isService || !aLoad.mService.empty();
    if (counted && mAfter.mSilent == 0) {
      mLost += aOutcome.mWhole && runs == 0 ? 1 : 0;
      mFalseNotRun += aOutcome.mExecuted == "no" && runs > 0 ? 1 : 0;
    }
    mDoubled += !aLoad.mService.empty() && runs > 1 ? 1 : 0;
  }

  json WorstTeam() const
  {
    json worst = { { "attainment", 1.0 } };
    for (const auto& [name, share] : mTeams) {
      const json described = Describe(share);
      if (described["attainment"] <= worst["attainment"]) {
        worst = described;
        worst["name"] = name;
      }
    }
    return worst;
  }

  std::uint64_t TeamsOverShare(double aSeconds) const
  {
    std::uint64_t result = 0;
    for (const auto& [index, served] : mServed) {
      const TeamLoad& team = mWorkload.mTeams[index];
      result += served > team.mBurst + team.mRate * aSeconds + 1 ? 1 : 0;
    }
    return result;
  }

  const Workload& mWorkload;
  const FleetCounts& mAfter;
  std::map<std::string, Share> mClasses;
  std::map<std::string, Share> mTeams;
  std::map<std::string, std::uint64_t> mReasons;
  std::map<std::string, std::uint64_t> mReasonsByClass;
  std::map<std::size_t, double> mServed;
  std::map<std::size_t, std::uint64_t> mSpare;
  json mFailures = json::array();
  std::uint64_t mAttained = 0;
  std::uint64_t mTokens = 0;
  std::uint64_t mEntitled = 0;
  std::uint64_t mWrongful = 0;
  std::uint64_t mForeign = 0;
  std::uint64_t mDoubled = 0;
  std::uint64_t mLost = 0;
  std::uint64_t mFalseNotRun = 0;
};

} // namespace

bool
MeetsTargets(const ClassLoad& aClass, const Outcome& aOutcome)
{
  const auto within = [](double aValue, double aTarget) {
    return aTarget <= 0 || aValue <= aTarget;
  };
  const double gaps =
    aOutcome.mTokens > 1 ? static_cast<double>(aOutcome.mTokens - 1) : 1;
  const double gap = (aOutcome.mLastByte - aOutcome.mFirstByte) / gaps;
  return aOutcome.mWhole &&
         within(aOutcome.mFirstByte, aClass.mFirstByteTarget) &&
         within(aOutcome.mLastByte, aClass.mCompletionTarget) &&
         within(gap, aClass.mTokenGapTarget);
}

json
Tally(const Workload& aWorkload,
      const std::vector<Outcome>& aOutcomes,
      const FleetCounts& aBefore,
      const FleetCounts& aAfter,
      double aSeconds)
{
  RunTally tally(aWorkload, aAfter);
  double last = aSeconds * kMillisecondsPerSecond;
  for (std::size_t index = 0; index < aOutcomes.size(); ++index) {
    tally.NoteSpare(aWorkload.mArrivals[index], aOutcomes[index]);
  }
  for (std::size_t index = 0; index < aOutcomes.size(); ++index) {
    tally.Add(aWorkload.mArrivals[index], aOutcomes[index]);
    last = std::max(last, aWorkload.mArrivals[index].mAt);
  }
  json result = tally.Result(last / kMillisecondsPerSecond,
                             aAfter.mTokens - aBefore.mTokens);
  result["silentBackends"] = aAfter.mSilent;
  return result;
}

} // namespace medlarkeel
