#include "reportformat.h"

#include <nlohmann/json.hpp>

namespace medlarkeel {

namespace {

using Json = nlohmann::ordered_json;

Json
ClassesJson(const Report& aReport)
{
  Json classes = Json::array();
  for (const ClassOutcome& outcome : aReport.mClasses) {
    classes.push_back({ { "name", outcome.mName.Text() },
                        { "tier", outcome.mTier.mValue },
                        { "requests", outcome.mCounters.mRequests },
                        { "metTarget", outcome.mCounters.mMetTarget },
                        { "attainment", outcome.mAttainment },
                        { "attainmentTarget", outcome.mAttainmentTarget },
                        { "verdict", VerdictText(outcome.mVerdict) },
                        { "refused", outcome.mCounters.mRefused } });
  }
  return classes;
}

Json
TeamsJson(const Report& aReport)
{
  Json teams = Json::array();
  for (const TeamOutcome& team : aReport.mTeams) {
    Json value{ { "name", team.mName.Text() },
                { "requests", team.mCounters.mRequests },
                { "metTarget", team.mCounters.mMetTarget },
                { "admitted", team.mCounters.mAdmitted },
                { "refusedForRate", team.mCounters.mRefusedForRate },
                { "refusedInsideRate", team.mCounters.mRefusedInsideRate } };
    value["attainment"] =
      team.mAttainment ? Json(*team.mAttainment) : Json(nullptr);
    teams.push_back(value);
  }
  return teams;
}

Json
NodesJson(const Report& aReport)
{
  Json nodes = Json::array();
  for (const NodeOutcome& node : aReport.mNodes) {
    const DocumentStatus& document = node.mDocument;
    Json value{ { "instanceId", node.mId.Text() },
                { "role", RoleText(node.mRole) },
                { "zone", node.mZone.Text() },
                { "uptimeMs", node.mUptime.count() },
                { "version", document.mStamp.mVersion },
                { "revision", document.mStamp.mRevision },
                { "hash", document.mStamp.mHash } };
    value["confirmationAgeMs"] = document.mConfirmationAge
                                   ? Json(document.mConfirmationAge->count())
                                   : Json(nullptr);
    nodes.push_back(value);
  }
  return nodes;
}

Json
ZoneChangesJson(const Report& aReport)
{
  Json changes = Json::array();
  for (const ZoneChange& change : aReport.mZoneChanges) {
    changes.push_back({ { "zone", change.mZone.Text() },
                        { "state", ZoneStateText(change.mState) },
                        { "documentVersion", change.mDocumentVersion },
                        { "atUnixMs", change.mAtUnixMs } });
  }
  return changes;
}

} // namespace

std::string
ReportJson(const Report& aReport)
{
  const Json value{ { "wentWell", VerdictText(aReport) },
                    { "faults", aReport.mFaults },
                    { "gaps", aReport.mGaps },
                    { "requests", aReport.mRequests },
                    { "goodput", aReport.mGoodput },
                    { "tokensUseful", aReport.mTokensUseful },
                    { "tokensWasted", aReport.mTokensWasted },
                    { "refusedInsideRate", aReport.mRefusedInsideRate },
                    { "refused", aReport.mRefused },
                    { "classes", ClassesJson(aReport) },
                    { "teams", TeamsJson(aReport) },
                    { "zoneChanges", ZoneChangesJson(aReport) },
                    { "nodes", NodesJson(aReport) } };
  return value.dump(2) + "\n";
}

} // namespace medlarkeel
