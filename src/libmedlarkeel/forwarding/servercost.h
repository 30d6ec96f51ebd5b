#pragma once

#include "cachedparts.h"

#include <cstdint>
#include <memory>

namespace medlarkeel {

/** Weights of the cost of a server; costs are in prompt tokens to prefill. */
struct ServerCostSettings
{
  /** Weight of the request's own prefill tokens relative to queued ones:
   * repeating the prefill of a cached part also delays all later requests. */
  double mPrefillWeight = 6.0;
  /** Added to mPrefillWeight for each 10,000 prefill tokens of mean backlog per
   * server: the longer the queues, the more requests are delayed. */
  double mPrefillWeightByBacklog = 2.0;
  /** Streams whose next event a prefilled token delays, where the pool's cost
   * is the expected delay. A server has more streams, but most of their events
   * stay within the targets for pauses. */
  double mDelayedStreams = 2.0;
  /** Requests that arrive while a server reads 10,000 tokens, where the pool's
   * cost is the expected delay. */
  double mArrivalsByBacklog = 1.0;
  /** Prefill tokens above the mean backlog beyond which a queue is long: about
   * one second of prefill, two thirds of the longest latency targets. */
  double mLongQueueTokens = 60'000.0;
  /** Added to the weight of queued tokens beyond mLongQueueTokens, so that
   * cached parts don't make a server's queue exceed the latency targets. */
  double mLongQueueWeight = 3.0;
  /** Mean backlog per server, in prefill tokens, from which mDecodeCostTokens
   * counts in full: 0.3 to 0.4 s of prefill. Below it, the share is
   * proportional. */
  double mFullDecodeCostBacklog = 20'000.0;
  /** Cost of generating a usual answer: the prompt tokens that a loaded server
   * could prefill in that time. Short prompts come with many answers, so they
   * need more servers than their prompt tokens alone suggest. */
  double mDecodeCostTokens = 2500.0;
  /** The same where the pool's cost is the expected delay. Short prompts meet
   * their target behind a long one there, so they need fewer servers of their
   * own. */
  double mExpectedDelayAnswerTokens = 1500.0;
  /** Cost of a short prompt on a server that isn't reserved for short ones. */
  double mShortOnLongPenalty = 6000.0;
  /** Cost of a long prompt on a server that is reserved for short ones. */
  double mLongOnShortPenalty = 72'000.0;
  /** Cost of a server in another availability zone. */
  double mOtherZonePenalty = 1500.0;
  /** Cost of a cold server, which has no cached parts and is slower. */
  double mColdPenalty = 3000.0;
  /** Cost of each request in progress on the server. */
  double mRunningRequestPenalty = 150.0;
  /** Share of a server's slots up to which requests slow each other down, but
   * don't wait. */
  double mFreeSlotShare = 0.75;
  /** Cost, for a short prompt, of each request beyond mFreeSlotShare: the
   * prompt would wait or preempt another request, however few tokens it has. */
  double mBeyondSlotsPenalty = 1000.0;
  /** Cost of a server that isn't preferred. */
  double mNonPreferredPenalty = 5000.0;
  /** Time since a part was last sent to a server, after which it no longer
   * counts as cached there; not used where the cost is the expected delay. */
  Microseconds mMaximumCachedPartAge = std::chrono::seconds(30);
};

/** Ways to weigh cached parts against queues. */
enum class ServerCostKind
{
  /** A token to prefill has a fixed weight. It is high because the prefill of a
   * prompt delays the next events of all streams beyond their targets. */
  FixedWeights,
  /** A token to prefill counts once for each request that it delays. */
  ExpectedDelay
};

/** @return A name for logs. */
const char*
ServerCostKindName(ServerCostKind aKind);

/** How the requests of a pool are placed. */
struct PoolPlacement
{
  ServerCostKind mCost = ServerCostKind::FixedWeights;
  /** Tokens that running requests and cached parts can take together in an
   * engine of the pool; 0 if it isn't stated. */
  std::uint64_t mEngineMemoryTokens = 0;
};

/**
 * Selects the cost of a pool's servers.
 *
 * The expected delay decides where the engines' memory is known and even the
 * most urgent requests can wait behind the prefill of a long prompt without
 * missing their target. Elsewhere a single long prompt makes them late, and
 * fixed weights keep short and long prompts apart.
 *
 * @param aEngineMemoryTokens 0 if it isn't stated.
 * @param aMinimumLatencyTarget Shortest latency target of the pool's routes; 0
 * if there is none.
 */
ServerCostKind
ServerCostFor(std::uint64_t aEngineMemoryTokens,
              Milliseconds aMinimumLatencyTarget);

/** What is known of a server to which a prompt could be sent. */
struct ServerEstimate
{
  /** Tokens of the prompt that have to be prefilled there. */
  std::uint32_t mPrefillTokens = 0;
  /** Prefill tokens of other requests that are queued. */
  double mQueuedTokens = 0.0;
  std::size_t mRunningRequests = 0;
  /** 0 if it isn't known. */
  std::uint32_t mSlots = 0;
  bool mIsCold = false;
  bool mIsOtherZone = false;
  bool mIsReservedForShort = false;
  /** One of the prompt's preferred servers, or it prefers none. */
  bool mIsPreferred = true;
};

/** What the cost of a server depends on besides that server. */
struct PlacementContext
{
  bool mIsShortPrompt = false;
  /** Mean backlog per server, in prefill tokens. */
  double mMeanBacklog = 0.0;
};

/** The cost of a server by its terms, in prompt tokens to prefill. */
struct CostTerms
{
  /** The prompt's own prefill, weighted by the requests that it delays. */
  double mPrefill = 0.0;
  double mQueued = 0.0;
  double mLongQueue = 0.0;
  double mRunning = 0.0;
  double mBeyondSlots = 0.0;
  double mCold = 0.0;
  /** A short prompt on a server that isn't reserved for short ones, or a long
   * one on a server that is. */
  double mReservation = 0.0;
  double mOtherZone = 0.0;
  double mNonPreferred = 0.0;

  double Sum() const
  {
    return mPrefill + mQueued + mLongQueue + mRunning + mBeyondSlots + mCold +
           mReservation + mOtherZone + mNonPreferred;
  }
};

/** Gives the cost of sending a prompt to a server. */
class ServerCost
{
public:
  explicit ServerCost(const ServerCostSettings& aSettings)
    : mSettings(aSettings)
  {
  }
  ServerCost(const ServerCost&) = delete;
  ServerCost& operator=(const ServerCost&) = delete;
  virtual ~ServerCost() = default;

  /** @return The cost by its terms. */
  CostTerms TermsOf(const ServerEstimate& aServer,
                    const PlacementContext& aContext) const;

  /** @return The cost, in prompt tokens to prefill. */
  double Of(const ServerEstimate& aServer,
            const PlacementContext& aContext) const
  {
    return TermsOf(aServer, aContext).Sum();
  }

  /** @return Prompt tokens that a server could prefill in the time in which it
   * generates a usual answer.
   * @param aMeanBacklog Mean backlog per server, in prefill tokens. */
  double AnswerTokens(double aMeanBacklog) const;

  /** @return How long a server keeps a part that isn't used again. */
  virtual PartLifetime LifetimeOfParts(const EngineMemoryUse& aUse) const = 0;

protected:
  const ServerCostSettings& Settings() const { return mSettings; }

private:
  /** @return Weight of a token to prefill, relative to a queued one. */
  virtual double PrefillWeight(double aMeanBacklog) const = 0;
  virtual double FullAnswerTokens() const = 0;

  ServerCostSettings mSettings;
};

/** @return The cost function of a kind. */
std::unique_ptr<ServerCost>
MakeServerCost(ServerCostKind aKind, const ServerCostSettings& aSettings);

} // namespace medlarkeel
