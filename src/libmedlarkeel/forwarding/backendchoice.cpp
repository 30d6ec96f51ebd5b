#include "backendchoice.h"

namespace medlarkeel {

BackendChoice
ChoiceOf(const CandidateEvaluation& aEvaluation, const EvaluatedServer& aServer)
{
  const ListedBackend& listed = *aServer.mServer.mListed;
  BackendChoice choice;
  choice.mId = listed.mEntry.mId;
  choice.mEndpoint = listed.mEntry.mEndpoint;
  choice.mProcessHash = listed.mProcessHash;
  choice.mCost = aServer.mCost.Sum();
  choice.mCostKind = aEvaluation.mCostKind;
  choice.mPrefillTokens = aServer.mEstimate.mPrefillTokens;
  choice.mQueuedTokens = aServer.mEstimate.mQueuedTokens;
  choice.mIsCold = aServer.mEstimate.mIsCold;
  choice.mIsOtherZone = aServer.mEstimate.mIsOtherZone;
  choice.mIsShortPrompt = aEvaluation.mIsShortPrompt;
  choice.mPoolLoad = aEvaluation.mPoolLoad;
  choice.mSizeGroupLoad = aEvaluation.mSizeGroupLoad;
  choice.mCandidates = aEvaluation.mCandidates;
  return choice;
}

} // namespace medlarkeel
