#include "servercost.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Prefill tokens of backlog for which the weights by backlog are added once.
 */
constexpr double kBacklogUnitTokens = 10'000.0;

/** Prompt tokens of a long prompt, and the prefill rate that is assumed before
 * any measurement; their quotient is how long an urgent request waits
 * behind one. */
constexpr double kLongPromptTokens = 20'000.0;
constexpr double kAssumedTokensPerMs = 64.0;

class FixedWeightCost : public ServerCost
{
public:
  using ServerCost::ServerCost;

  PartLifetime LifetimeOfParts(const EngineMemoryUse& /*aUse*/) const override
  {
    return { Settings().mMaximumCachedPartAge,
             Settings().mMaximumCachedPartAge };
  }

private:
  double PrefillWeight(double aMeanBacklog) const override
  {
    return Settings().mPrefillWeight + Settings().mPrefillWeightByBacklog *
                                         aMeanBacklog / kBacklogUnitTokens;
  }

  double FullAnswerTokens() const override
  {
    return Settings().mDecodeCostTokens;
  }
};

class ExpectedDelayCost : public ServerCost
{
public:
  using ServerCost::ServerCost;

  PartLifetime LifetimeOfParts(const EngineMemoryUse& aUse) const override
  {
    return EvictionLifetime(aUse);
  }

private:
  double PrefillWeight(double aMeanBacklog) const override
  {
    // The request itself, streams, and arrivals until the queue is empty.
    return 1.0 + Settings().mDelayedStreams +
           Settings().mArrivalsByBacklog * aMeanBacklog / kBacklogUnitTokens;
  }

  double FullAnswerTokens() const override
  {
    return Settings().mExpectedDelayAnswerTokens;
  }
};

} // namespace

const char*
ServerCostKindName(ServerCostKind aKind)
{
  return aKind == ServerCostKind::ExpectedDelay ? "expected-delay"
                                                : "fixed-weights";
}

ServerCostKind
ServerCostFor(std::uint64_t aEngineMemoryTokens,
              Milliseconds aMinimumLatencyTarget)
{
  const bool meetsTargetBehindLongPrompt =
    static_cast<double>(aMinimumLatencyTarget.count()) >
    kLongPromptTokens / kAssumedTokensPerMs;
  return aEngineMemoryTokens > 0 && meetsTargetBehindLongPrompt
           ? ServerCostKind::ExpectedDelay
           : ServerCostKind::FixedWeights;
}

CostTerms
ServerCost::TermsOf(const ServerEstimate& aServer,
                    const PlacementContext& aContext) const
{
  const auto running = static_cast<double>(aServer.mRunningRequests);
  const double longQueueTokens = std::max(
    0.0,
    aServer.mQueuedTokens - aContext.mMeanBacklog - mSettings.mLongQueueTokens);
  CostTerms terms;
  terms.mPrefill =
    PrefillWeight(aContext.mMeanBacklog) * aServer.mPrefillTokens;
  terms.mQueued = aServer.mQueuedTokens;
  terms.mLongQueue = mSettings.mLongQueueWeight * longQueueTokens;
  terms.mRunning = mSettings.mRunningRequestPenalty * running;
  if (aContext.mIsShortPrompt && aServer.mSlots > 0) {
    const double beyondSlots =
      running - mSettings.mFreeSlotShare * aServer.mSlots;
    terms.mBeyondSlots =
      mSettings.mBeyondSlotsPenalty * std::max(0.0, beyondSlots);
  }
  terms.mCold = aServer.mIsCold ? mSettings.mColdPenalty : 0.0;
  if (aContext.mIsShortPrompt && !aServer.mIsReservedForShort) {
    terms.mReservation = mSettings.mShortOnLongPenalty;
  }
  if (!aContext.mIsShortPrompt && aServer.mIsReservedForShort) {
    terms.mReservation = mSettings.mLongOnShortPenalty;
  }
  terms.mOtherZone = aServer.mIsOtherZone ? mSettings.mOtherZonePenalty : 0.0;
  terms.mNonPreferred =
    aServer.mIsPreferred ? 0.0 : mSettings.mNonPreferredPenalty;
  return terms;
}

double
ServerCost::AnswerTokens(double aMeanBacklog) const
{
  return FullAnswerTokens() *
         std::min(1.0, aMeanBacklog / mSettings.mFullDecodeCostBacklog);
}

std::unique_ptr<ServerCost>
MakeServerCost(ServerCostKind aKind, const ServerCostSettings& aSettings)
{
  if (aKind == ServerCostKind::ExpectedDelay) {
    return std::make_unique<ExpectedDelayCost>(aSettings);
  }
  return std::make_unique<FixedWeightCost>(aSettings);
}

} // namespace medlarkeel
