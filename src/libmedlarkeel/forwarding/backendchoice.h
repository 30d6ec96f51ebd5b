#pragma once

#include "candidateevaluation.h"
#include "priorityloads.h"

namespace medlarkeel {

/** A chosen backend server, and the estimates that led to the choice. */
struct BackendChoice
{
  InstanceId mId;
  Endpoint mEndpoint;
  /** Value of the cost function: in prefill tokens with a prompt, in requests
   * without one. */
  double mCost = 0.0;
  /** Estimated prompt tokens that aren't cached on the server. */
  std::uint32_t mPrefillTokens = 0;
  /** Estimated prefill tokens of other requests that are queued ahead. */
  double mQueuedTokens = 0.0;
  /** The cost function that led to the choice. */
  ServerCostKind mCostKind = ServerCostKind::FixedWeights;
  ProcessHash mProcessHash = 0;
  /** Set by BackendChooser::AssignPriority(). */
  LoadGroup mLoadGroup;
  /** Load of all servers of the pool. */
  MeanLoad mPoolLoad;
  /** Load of the size group: the servers for prompts of this size, short or
   * long. */
  MeanLoad mSizeGroupLoad;
  bool mIsShortPrompt = false;

  /** @return Prefill tokens that the server processes before the first event of
   * the answer. */
  double TokensBeforeFirstEvent() const
  {
    return mQueuedTokens + mPrefillTokens;
  }
  /** Number of servers that could have been chosen. */
  std::size_t mCandidates = 0;
  bool mIsCold = false;
  bool mIsOtherZone = false;
};

/** @return The choice of one of the evaluated servers. */
BackendChoice
ChoiceOf(const CandidateEvaluation& aEvaluation,
         const EvaluatedServer& aServer);

} // namespace medlarkeel
