#pragma once

#include "nodestatus.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarkeel {

enum class LevelVerdict
{
  Met,
  Missed,
  /** No request of the class ended. */
  NoTraffic
};

/** A class over all nodes, judged against its level. */
struct ClassOutcome
{
  ClassName mName;
  TierRank mTier;
  double mAttainmentTarget = 0.0;
  ClassCounters mCounters;
  /** Share of requests that met their targets; 0 without traffic. */
  double mAttainment = 0.0;
  LevelVerdict mVerdict = LevelVerdict::NoTraffic;
};

/** A team over all nodes. */
struct TeamOutcome
{
  TeamName mName;
  TeamCounters mCounters;
  /** Share of requests that met their targets; nothing without traffic. */
  std::optional<double> mAttainment;
};

/** What one node acts on. */
struct NodeOutcome
{
  InstanceId mId;
  InstanceRole mRole = InstanceRole::Entry;
  ZoneName mZone;
  Milliseconds mUptime{ 0 };
  DocumentStatus mDocument;
};

/** The owner's page: whether the nodes kept what the document promises. */
struct Report
{
  /** Why it did not go well; empty when it did. */
  std::vector<std::string> mFaults;
  /** What the page can't tell, such as nodes that didn't answer. */
  std::vector<std::string> mGaps;
  std::vector<ClassOutcome> mClasses; // by tier, then name
  std::vector<TeamOutcome> mTeams;    // worst served first
  std::vector<NodeOutcome> mNodes;    // by id
  std::vector<ZoneChange> mZoneChanges;
  RefusalCounters mRefused;
  /** Requests that met their targets. */
  std::uint64_t mGoodput = 0;
  std::uint64_t mRequests = 0;
  std::uint64_t mTokensUseful = 0;
  std::uint64_t mTokensWasted = 0;
  std::uint64_t mRefusedInsideRate = 0;
};

/**
 * Merges the statuses of nodes and judges them.
 *
 * @param aNodes Statuses; of several with one id the last life counts.
 * @param aSilent Nodes that gave no status, with the reason.
 */
Report
BuildReport(const std::vector<NodeStatus>& aNodes,
            const std::vector<std::string>& aSilent);

/** @return "yes", "no" or "not known". */
const char*
VerdictText(const Report& aReport);

/** @return "met", "missed" or "no traffic". */
const char*
VerdictText(LevelVerdict aVerdict);

/** @return Wasted share of all tokens, in [0, 1]. */
double
WastedShare(const Report& aReport);

} // namespace medlarkeel
