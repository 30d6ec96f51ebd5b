#include "workload.h"

#include <algorithm>
#include <random>
#include <utility>

namespace medlarkeel {

namespace {

using nlohmann::json;

constexpr double kMillisecondsPerSecond = 1000;
constexpr double kExcessFactor = 5;
constexpr double kBurstStart = 3000; // milliseconds

std::vector<ClassLoad>
ReadClasses(const json& aDocument, const json& aPlan)
{
  std::vector<ClassLoad> result;
  for (const json& entry : aPlan.at("classes")) {
    ClassLoad load;
    load.mName = entry.at("name");
    load.mMethod = entry.value("method", load.mMethod);
    load.mPath = entry.value("path", load.mPath);
    load.mModel = entry.value("model", "");
    load.mService = entry.value("service", "");
    load.mWeight = entry.at("weight");
    for (const json& declared : aDocument.at("classes")) {
      if (declared.at("name") == load.mName) {
        load.mTier = declared.at("tier");
        load.mFirstByteTarget = declared.value("firstByteTargetMs", 0.0);
        load.mTokenGapTarget = declared.value("tokenGapTargetMs", 0.0);
        load.mCompletionTarget = declared.value("completionTargetMs", 0.0);
      }
    }
    result.push_back(std::move(load));
  }
  return result;
}

std::vector<TeamLoad>
ReadTeams(const json& aDocument, const std::vector<ClassLoad>& aClasses)
{
  std::vector<TeamLoad> result;
  for (const json& entry : aDocument.at("teams")) {
    TeamLoad team;
    team.mName = entry.at("name");
    const std::string keyId = entry.at("keys").at(0).at("id");
    team.mKey = "mk_";
    team.mKey.append(keyId).append("_only-for-tests-").append(keyId);
    team.mRate = entry.at("rate");
    team.mBurst = entry.at("burst");
    const json allowed = entry.value("classes", json::array());
    for (std::size_t index = 0; index < aClasses.size(); ++index) {
      const auto found =
        std::find(allowed.begin(), allowed.end(), aClasses[index].mName);
      if (allowed.empty() || found != allowed.end()) {
        team.mClasses.push_back(index);
      }
    }
    result.push_back(std::move(team));
  }
  return result;
}

/** Draws the arrivals of one workload. */
class ArrivalDraw
{
public:
  ArrivalDraw(Workload& aWorkload, const WorkloadOptions& aOptions)
    : mWorkload(aWorkload)
    , mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
  }

  void Steady(double aLoad, const std::string& aExcessTeam)
  {
    for (std::size_t team = 0; team < mWorkload.mTeams.size(); ++team) {
      const TeamLoad& load = mWorkload.mTeams[team];
      const bool exceeds = load.mName == aExcessTeam;
      const double rate = load.mRate * (exceeds ? kExcessFactor : aLoad);
      std::vector<double> weights;
      for (const std::size_t index : load.mClasses) {
        weights.push_back(mWorkload.mClasses[index].mWeight);
      }
      std::discrete_distribution<std::size_t> pick(weights.begin(),
                                                   weights.end());
      const double end = mOptions.mSeconds * kMillisecondsPerSecond;
      for (double at = Gap(rate); at < end; at += Gap(rate)) {
        Add(at, team, load.mClasses[pick(mRandom)]);
      }
    }
  }

  /** Spreads a burst over the teams by their rates. */
  void Burst(const json& aBurst)
  {
    std::vector<double> weights;
    std::size_t wanted = 0;
    while (mWorkload.mClasses[wanted].mName != aBurst.at("class")) {
      ++wanted;
    }
    for (const TeamLoad& team : mWorkload.mTeams) {
      const auto& classes = team.mClasses;
      const bool may =
        std::find(classes.begin(), classes.end(), wanted) != classes.end();
      weights.push_back(may ? team.mRate : 0);
    }
    std::discrete_distribution<std::size_t> pick(weights.begin(),
                                                 weights.end());
    const double rate = aBurst.at("rate");
    const double end =
      kBurstStart + aBurst.at("seconds").get<double>() * kMillisecondsPerSecond;
    for (double at = kBurstStart + Gap(rate); at < end; at += Gap(rate)) {
      Add(at, pick(mRandom), wanted);
    }
  }

private:
  double Gap(double aRate)
  {
    std::exponential_distribution<double> gap(aRate / kMillisecondsPerSecond);
    return gap(mRandom);
  }

  void Add(double aAt, std::size_t aTeam, std::size_t aClass)
  {
    Arrival arrival;
    arrival.mAt = aAt;
    arrival.mTeam = aTeam;
    arrival.mClass = aClass;
    arrival.mEntry = mRandom() % mOptions.mEntries;
    arrival.mWithTicket = mRandom() % 2 == 0;
    arrival.mMarker = "m" + std::to_string(mOptions.mSeed) + "-" +
                      std::to_string(mWorkload.mArrivals.size());
    mWorkload.mArrivals.push_back(std::move(arrival));
  }

  Workload& mWorkload;
  const WorkloadOptions& mOptions;
  std::mt19937_64 mRandom;
};

/** Marks what one all-knowing token bucket for each team admits. */
void
MarkEntitled(Workload& aWorkload)
{
  std::vector<double> tokens;
  for (const TeamLoad& team : aWorkload.mTeams) {
    tokens.push_back(team.mBurst);
  }
  std::vector<double> last(tokens.size(), 0);
  for (Arrival& arrival : aWorkload.mArrivals) {
    const TeamLoad& team = aWorkload.mTeams[arrival.mTeam];
    double& held = tokens[arrival.mTeam];
    const double passed = arrival.mAt - last[arrival.mTeam];
    last[arrival.mTeam] = arrival.mAt;
    held = std::min(team.mBurst,
                    held + passed * team.mRate / kMillisecondsPerSecond);
    arrival.mEntitled = held >= 1;
    held -= arrival.mEntitled ? 1 : 0;
  }
}

} // namespace

Workload
MakeWorkload(const json& aDocument,
             const json& aPlan,
             const WorkloadOptions& aOptions)
{
  Workload result;
  result.mClasses = ReadClasses(aDocument, aPlan);
  result.mTeams = ReadTeams(aDocument, result.mClasses);
  ArrivalDraw draw(result, aOptions);
  const bool excess = aOptions.mScenario == "team";
  draw.Steady(aPlan.at("load"), excess ? aPlan.value("excessTeam", "") : "");
  if (aOptions.mScenario == "burst") {
    draw.Burst(aPlan.at("burst"));
  }
  std::sort(result.mArrivals.begin(),
            result.mArrivals.end(),
            [](const Arrival& aLeft, const Arrival& aRight) {
              return aLeft.mAt < aRight.mAt;
            });
  MarkEntitled(result);
  return result;
}

} // namespace medlarkeel
