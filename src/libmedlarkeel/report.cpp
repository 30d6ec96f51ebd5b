#include "report.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace medlarkeel {

namespace {

constexpr double kNoTrafficRank = 2.0; // above every share

double
Share(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0.0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

/** Keeps one status for each node: that of its last life. */
std::map<InstanceId, const NodeStatus*>
LastLives(const std::vector<NodeStatus>& aNodes)
{
  std::map<InstanceId, const NodeStatus*> last;
  for (const NodeStatus& node : aNodes) {
    const NodeStatus*& kept = last[node.mId];
    if (kept == nullptr || kept->mIncarnation < node.mIncarnation ||
        kept->mIncarnation == node.mIncarnation) {
      kept = &node;
    }
  }
  return last;
}

/** Collects the nodes' statuses into one report. */
class ReportBuilder
{
public:
  void Add(const NodeStatus& aNode)
  {
    mReport.mNodes.push_back(
      { aNode.mId, aNode.mRole, aNode.mZone, aNode.mUptime, aNode.mDocument });
    for (const ClassStatus& status : aNode.mClasses) {
      AddClass(status, aNode.mDocument.mStamp);
    }
    for (const TeamStatus& status : aNode.mTeams) {
      Merge(mTeams[status.mName], status.mCounters);
    }
    for (const ZoneChange& change : aNode.mZoneChanges) {
      mChanges.push_back(change);
    }
  }

  Report Finish()
  {
    FinishClasses();
    FinishTeams();
    FinishZoneChanges();
    return std::move(mReport);
  }

private:
  struct LevelledClass
  {
    ClassOutcome mOutcome;
    DocumentStamp mStamp;
  };

  /** The level of the newest document counts, whoever reports it. */
  void AddClass(const ClassStatus& aStatus, const DocumentStamp& aStamp)
  {
    const auto [place, isNew] = mClasses.try_emplace(aStatus.mName);
    LevelledClass& levelled = place->second;
    if (isNew || levelled.mStamp < aStamp) {
      levelled.mOutcome.mName = aStatus.mName;
      levelled.mOutcome.mTier = aStatus.mTier;
      levelled.mOutcome.mAttainmentTarget = aStatus.mAttainmentTarget;
      levelled.mStamp = aStamp;
    }
    Merge(levelled.mOutcome.mCounters, aStatus.mCounters);
  }

  void FinishClasses()
  {
    for (auto& [name, levelled] : mClasses) {
      ClassOutcome& outcome = levelled.mOutcome;
      const ClassCounters& counters = outcome.mCounters;
      outcome.mAttainment = Share(counters.mMetTarget, counters.mRequests);
      if (counters.mRequests > 0) {
        outcome.mVerdict = outcome.mAttainment >= outcome.mAttainmentTarget
                             ? LevelVerdict::Met
                             : LevelVerdict::Missed;
      }
      mReport.mRequests += counters.mRequests;
      mReport.mGoodput += counters.mMetTarget;
      mReport.mTokensUseful += counters.mTokensUseful;
      mReport.mTokensWasted += counters.mTokensWasted;
      for (const auto& [reason, count] : counters.mRefused) {
        mReport.mRefused[reason] += count;
      }
      mReport.mClasses.push_back(outcome);
    }
    std::stable_sort(mReport.mClasses.begin(),
                     mReport.mClasses.end(),
                     [](const ClassOutcome& aLeft, const ClassOutcome& aRight) {
                       return aLeft.mTier < aRight.mTier;
                     });
  }

  void FinishTeams()
  {
    for (const auto& [name, counters] : mTeams) {
      TeamOutcome outcome{ name, counters, std::nullopt };
      if (counters.mRequests > 0) {
        outcome.mAttainment = Share(counters.mMetTarget, counters.mRequests);
      }
      mReport.mRefusedInsideRate += counters.mRefusedInsideRate;
      mReport.mTeams.push_back(outcome);
    }
    std::stable_sort(mReport.mTeams.begin(),
                     mReport.mTeams.end(),
                     [](const TeamOutcome& aLeft, const TeamOutcome& aRight) {
                       return aLeft.mAttainment.value_or(kNoTrafficRank) <
                              aRight.mAttainment.value_or(kNoTrafficRank);
                     });
  }

  /** Nodes act on one change at slightly different times; the first counts. */
  void FinishZoneChanges()
  {
    std::sort(mChanges.begin(),
              mChanges.end(),
              [](const ZoneChange& aLeft, const ZoneChange& aRight) {
                return std::tie(aLeft.mAtUnixMs, aLeft.mZone) <
                       std::tie(aRight.mAtUnixMs, aRight.mZone);
              });
    for (const ZoneChange& change : mChanges) {
      if (IsFirstSight(change)) {
        mReport.mZoneChanges.push_back(change);
      }
    }
  }

  /** Without a version, a change to the state that the zone already has is
   * taken for the same change on another node. */
  bool IsFirstSight(const ZoneChange& aChange)
  {
    if (aChange.mDocumentVersion != 0) {
      return mSeen.emplace(aChange.mZone, aChange.mDocumentVersion).second;
    }
    const auto [state, isNew] = mStates.emplace(aChange.mZone, aChange.mState);
    const bool differs = isNew || state->second != aChange.mState;
    state->second = aChange.mState;
    return differs;
  }

  Report mReport;
  std::map<ClassName, LevelledClass> mClasses;
  std::map<TeamName, TeamCounters> mTeams;
  std::vector<ZoneChange> mChanges;
  std::set<std::pair<ZoneName, std::uint64_t>> mSeen;
  std::map<ZoneName, ZoneState> mStates;
};

void
FindFaults(Report& aReport)
{
  for (const ClassOutcome& outcome : aReport.mClasses) {
    if (outcome.mVerdict == LevelVerdict::Missed) {
      aReport.mFaults.push_back("class " + outcome.mName.Text() +
                                " missed its level");
    }
  }
  if (aReport.mRefusedInsideRate > 0) {
    aReport.mFaults.push_back(std::to_string(aReport.mRefusedInsideRate) +
                              " requests refused although inside their team's "
                              "rate");
  }
  std::set<std::string> hashes;
  for (const NodeOutcome& node : aReport.mNodes) {
    hashes.insert(node.mDocument.mStamp.mHash);
    if (node.mDocument.mRejectedRevision) {
      aReport.mFaults.push_back("node " + node.mId.Text() +
                                " refused a newer document");
    }
  }
  if (hashes.size() > 1) {
    aReport.mFaults.push_back("nodes act on " + std::to_string(hashes.size()) +
                              " different documents");
  }
}

void
FindGaps(Report& aReport, const std::vector<std::string>& aSilent)
{
  for (const std::string& silent : aSilent) {
    aReport.mGaps.push_back("no status from " + silent);
  }
  if (aReport.mRequests == 0) {
    aReport.mGaps.emplace_back("no request ended");
  }
}

} // namespace

Report
BuildReport(const std::vector<NodeStatus>& aNodes,
            const std::vector<std::string>& aSilent)
{
  ReportBuilder builder;
  for (const auto& [id, node] : LastLives(aNodes)) {
    builder.Add(*node);
  }
  Report report = builder.Finish();
  FindFaults(report);
  FindGaps(report, aSilent);
  return report;
}

const char*
VerdictText(const Report& aReport)
{
  if (!aReport.mFaults.empty()) {
    return "no";
  }
  return aReport.mGaps.empty() ? "yes" : "not known";
}

const char*
VerdictText(LevelVerdict aVerdict)
{
  switch (aVerdict) {
    case LevelVerdict::Met:
      return "met";
    case LevelVerdict::Missed:
      return "missed";
    case LevelVerdict::NoTraffic:
      break;
  }
  return "no traffic";
}

double
WastedShare(const Report& aReport)
{
  return Share(aReport.mTokensWasted,
               aReport.mTokensUseful + aReport.mTokensWasted);
}

} // namespace medlarkeel
