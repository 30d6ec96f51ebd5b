#include "placementjson.h"

#include <nlohmann/json.hpp>

namespace medlarkeel {

namespace {

using Json = nlohmann::ordered_json;

/** @return The text; bytes of names or queries that aren't UTF-8 are replaced,
 * since the default is an exception. */
std::string
TextOf(const Json& aValue)
{
  return aValue.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json
PoolsJson(const ForwardRoute& aRoute)
{
  Json pools = Json::array();
  for (const PoolShare& share : aRoute.mPools) {
    pools.push_back(
      { { "pool", share.mPool.Text() }, { "weight", share.mWeight } });
  }
  return pools;
}

Json
TiersJson(const PlacementTarget& aTarget)
{
  const bool hasTeamTier =
    aTarget.mTeam != nullptr && aTarget.mTeam->mTier.has_value();
  return { { "team",
             hasTeamTier ? Json(aTarget.mTeam->mTier->mValue) : Json() },
           { "route", aTarget.mRoute->mTier.mValue } };
}

Json
CostJson(const CostTerms& aCost)
{
  return { { "sum", aCost.Sum() },
           { "terms",
             { { "prefill", aCost.mPrefill },
               { "queued", aCost.mQueued },
               { "longQueue", aCost.mLongQueue },
               { "running", aCost.mRunning },
               { "beyondSlots", aCost.mBeyondSlots },
               { "cold", aCost.mCold },
               { "reservation", aCost.mReservation },
               { "otherZone", aCost.mOtherZone },
               { "nonPreferred", aCost.mNonPreferred } } } };
}

Json
EstimateJson(const ServerEstimate& aEstimate, bool aHasPrompt)
{
  Json json = Json::object();
  if (aHasPrompt) {
    json["prefillTokens"] = aEstimate.mPrefillTokens;
  }
  json["queuedTokens"] = aEstimate.mQueuedTokens;
  json["runningRequests"] = aEstimate.mRunningRequests;
  json["slots"] = aEstimate.mSlots;
  json["cold"] = aEstimate.mIsCold;
  json["otherZone"] = aEstimate.mIsOtherZone;
  if (aHasPrompt) {
    json["reservedForShort"] = aEstimate.mIsReservedForShort;
    json["preferred"] = aEstimate.mIsPreferred;
  }
  return json;
}

Json
ServerJson(const EvaluatedServer& aServer, bool aHasPrompt)
{
  const CandidateServer& server = aServer.mServer;
  Json json{ { "server", server.mListed->mEntry.mId.Text() },
             { "zone", server.mListed->mEntry.mZone.Text() },
             { "excluded",
               server.mExclusion ? Json(ServerExclusionName(*server.mExclusion))
                                 : Json() } };
  json["estimate"] = EstimateJson(aServer.mEstimate, aHasPrompt);
  json["cost"] = CostJson(aServer.mCost);
  return json;
}

const char*
VerdictName(const AdmissionDecision& aDecision)
{
  if (aDecision.mVerdict == AdmissionVerdict::WouldTimeOut) {
    return "would-time-out";
  }
  if (aDecision.mRefusedShare <= 0.0) {
    return "admitted";
  }
  return aDecision.mRefusedShare < 1.0 ? "partly-refused" : "refused";
}

Json
AdmissionJson(const AdmissionDecision& aDecision)
{
  const bool isAdmitted = aDecision.mVerdict == AdmissionVerdict::Admitted;
  return { { "verdict", VerdictName(aDecision) },
           { "expectedFirstEventMs",
             aDecision.mExpectedFirstEventTime.count() },
           { "load", aDecision.mLoad },
           { "slotLoad", aDecision.mSlotLoad },
           { "backlogLoad", aDecision.mBacklogLoad },
           { "prefillTokensPerMs", aDecision.mTokensPerMs },
           { "refusedShare", aDecision.mRefusedShare },
           { "retryAfterMs",
             isAdmitted ? Json() : Json(aDecision.mRetryDelay.count()) } };
}

void
AddFreshness(const EntryFreshness& aFreshness, Json& aOut)
{
  aOut["directory"] = { { "ageMs", aFreshness.mDirectoryAge.count() },
                        { "era", aFreshness.mDirectoryPosition.mEra.mValue },
                        { "revision",
                          aFreshness.mDirectoryPosition.mRevision } };
  aOut["peerReports"] = { { "count", aFreshness.mPeerReports },
                          { "oldestMs",
                            aFreshness.mOldestPeerReport.count() } };
}

} // namespace

std::string
PlacementJson(const PlacementExplanation& aExplanation)
{
  const PlacementTarget& target = aExplanation.mTarget;
  const CandidateEvaluation& evaluation = aExplanation.mEvaluation;
  const bool hasPrompt = aExplanation.mPrompt.has_value();
  Json json{ { "document", aExplanation.mFreshness.mDocumentVersion },
             { "route", target.mRoute->mName },
             { "pools", PoolsJson(*target.mRoute) },
             { "pool", target.mPool->mName.Text() },
             { "costKind", ServerCostKindName(target.mPool->mPlacement.mCost) },
             { "tiers", TiersJson(target) } };
  AddFreshness(aExplanation.mFreshness, json);
  if (hasPrompt) {
    json["promptTokens"] = aExplanation.mPrompt->mPromptTokens;
    json["shortPrompt"] = evaluation.mIsShortPrompt;
    json["meanBacklogTokens"] = evaluation.mMeanBacklog;
  }
  json["servers"] = Json::array();
  for (const EvaluatedServer& server : evaluation.mServers) {
    json["servers"].push_back(ServerJson(server, hasPrompt));
  }
  json["candidates"] = evaluation.mCandidates;
  if (!hasPrompt) {
    json["rule"] = "the less busy of two random servers";
    return TextOf(json);
  }
  const EvaluatedServer* chosen = evaluation.Chosen();
  json["chosen"] = chosen == nullptr
                     ? Json()
                     : Json(chosen->mServer.mListed->mEntry.mId.Text());
  json["needsPermit"] = aExplanation.mNeedsPermit;
  json["admission"] =
    aExplanation.mAdmission ? AdmissionJson(*aExplanation.mAdmission) : Json();
  return TextOf(json);
}

std::string
PlacementErrorJson(const std::string& aReason)
{
  Json json = Json::object();
  json["error"] = aReason;
  return TextOf(json);
}

} // namespace medlarkeel
