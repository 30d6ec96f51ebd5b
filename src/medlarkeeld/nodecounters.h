#pragma once

#include "environmentdocument.h"
#include "metrics.h"
#include "nodestatus.h"
#include "refusal.h"
#include "types.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace medlarkeel {

/** How one admitted request ended, for the counters. */
struct CountedEnd
{
  ClassName mClass;
  TeamName mTeam;
  RequestOutcome mOutcome = RequestOutcome::Completed;
  bool mAttained = false;
  /** Set when the request was refused or its answer cut. */
  std::optional<Refusal> mRefusal;
  std::optional<Microseconds> mFirstByte;
};

/** Counts what one process does, for its status page and its metrics. */
class NodeCounters
{
public:
  void RecordEnd(const CountedEnd& aEnd);

  /**
   * Counts a request that was refused for its team's rate.
   *
   * @param aInsideRate Whether the team may have been inside its rate.
   */
  void RecordRateRefusal(const ClassName& aClass,
                         const TeamName& aTeam,
                         const Refusal& aRefusal,
                         bool aInsideRate);

  /** Counts a request that was refused before its class was known. */
  void RecordEarlyRefusal(const Refusal& aRefusal);

  /** Counts a request that runs until RecordEnd. */
  void RecordAdmitted(const TeamName& aTeam);

  /** Counts a broken answer of the backend server. */
  void RecordBrokenAnswer(AnswerFault aFault);

  void RecordTokens(const ClassName& aClass, TokenUse aUse, std::size_t aCount);

  /** Takes a document that has come into force. */
  void ApplyDocument(const EnvironmentDocument& aDocument);

  /** Adds classes, teams, zones and zone changes to a status. */
  void Fill(NodeStatus& aStatus);

  Metrics& Prometheus() { return mMetrics; }

private:
  /** Takes the number of requests that run; call with the mutex held. */
  void SetRunning(std::size_t aCount);
  void RecordZoneChanges(const EnvironmentDocument& aDocument);

  std::mutex mMutex;
  Metrics mMetrics;
  std::map<ClassName, ClassCounters> mClasses;
  std::map<TeamName, TeamCounters> mTeams;
  std::size_t mRunning = 0;
  std::vector<ServiceClass> mServiceClasses;
  std::vector<ZoneEntry> mZones;
  std::vector<ZoneChange> mZoneChanges;
};

} // namespace medlarkeel
