#include "placementexplanation.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** @return The host of all routes; nothing if they have several. */
std::optional<std::string>
OnlyHost(const ForwardingDocument& aDocument)
{
  const std::vector<ForwardRoute>& routes = aDocument.mRoutes;
  const bool isOnly =
    !routes.empty() &&
    std::all_of(routes.begin(), routes.end(), [&](const ForwardRoute& aRoute) {
      return aRoute.mHost == routes.front().mHost;
    });
  return isOnly ? std::optional(routes.front().mHost) : std::nullopt;
}

const ForwardPool*
LargestPool(const ForwardingDocument& aDocument, const ForwardRoute& aRoute)
{
  const ForwardPool* pool = nullptr;
  int weight = 0;
  for (const PoolShare& share : aRoute.mPools) {
    const auto found = aDocument.mPools.find(share.mPool);
    if (share.mWeight > weight && found != aDocument.mPools.end()) {
      pool = &found->second;
      weight = share.mWeight;
    }
  }
  return pool;
}

AdmissionDecision
DecideAdmission(const PlacementTarget& aTarget,
                const BackendChoice& aChoice,
                const AdmissionControl& aAdmission,
                Timestamp aNow)
{
  AdmissionRequest request;
  request.mPriority = PriorityOf(aTarget.mTeam, *aTarget.mRoute);
  request.mChoice = aChoice;
  request.mNow = aNow;
  request.mFirstEventTimeout = aTarget.mRoute->FirstEventTimeout();
  return aAdmission.Decide(*aTarget.mPool, request);
}

} // namespace

PlacementResult<PlacementTarget>
FindPlacementTarget(const ForwardingDocument& aDocument,
                    const PlacementQuery& aQuery)
{
  const std::optional<std::string> host =
    aQuery.mHost ? aQuery.mHost : OnlyHost(aDocument);
  if (!host) {
    return PlacementError{
      "the host is missing: the document has routes of several hosts"
    };
  }
  // As in requests, a port and a query don't select the route.
  const std::string_view name(host->data(),
                              std::min(host->find(':'), host->size()));
  const std::string_view path(
    aQuery.mPath.data(), std::min(aQuery.mPath.find('?'), aQuery.mPath.size()));
  PlacementTarget target;
  target.mRoute = aDocument.FindRoute(name, path);
  if (target.mRoute == nullptr) {
    return PlacementError{ "no route for host \"" + *host + "\" and path \"" +
                           aQuery.mPath + "\"" };
  }
  if (!target.mRoute->mIsUsable) {
    return PlacementError{ "the route's configuration can't be used", false };
  }
  if (aQuery.mTeam) {
    const auto team =
      std::find_if(aDocument.mTeams.begin(),
                   aDocument.mTeams.end(),
                   [&](const ForwardTeam& aTeam) {
                     return aTeam.mIsUsable && aTeam.mName == *aQuery.mTeam;
                   });
    if (team == aDocument.mTeams.end()) {
      return PlacementError{ "unknown team \"" + aQuery.mTeam->Text() + "\"" };
    }
    target.mTeam = &*team;
  }
  target.mPool = LargestPool(aDocument, *target.mRoute);
  if (target.mPool == nullptr) {
    return PlacementError{ "the route's pool is unknown", false };
  }
  return target;
}

PlacementExplanation
ExplainPlacement(const PlacementTarget& aTarget,
                 const std::optional<PromptDescription>& aPrompt,
                 const PlacementState& aState,
                 Timestamp aNow)
{
  PlacementExplanation explanation;
  explanation.mTarget = aTarget;
  if (aTarget.mPool->mIsModel) {
    // A prompt that nobody described counts as short, as in requests.
    explanation.mPrompt = aPrompt.value_or(PromptDescription());
  }
  explanation.mEvaluation = aState.mChooser.Evaluate(
    aState.mBackends.InPool(aTarget.mPool->mName, aNow),
    explanation.mPrompt,
    {},
    aState.mColdLimit,
    aNow,
    aTarget.mPool->mPlacement);
  const EvaluatedServer* chosen = explanation.mEvaluation.Chosen();
  if (chosen == nullptr) {
    return explanation;
  }
  BackendChoice choice = ChoiceOf(explanation.mEvaluation, *chosen);
  aState.mChooser.AssignPriority(PoolHash(aTarget.mPool->mName),
                                 PriorityOf(aTarget.mTeam, *aTarget.mRoute),
                                 choice);
  explanation.mAdmission =
    DecideAdmission(aTarget, choice, aState.mAdmission, aNow);
  explanation.mNeedsPermit =
    aState.mLimits.AllowedRate(choice.mProcessHash, aNow).has_value();
  return explanation;
}

} // namespace medlarkeel
