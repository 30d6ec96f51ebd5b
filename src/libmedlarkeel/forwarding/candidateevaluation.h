#pragma once

#include "backendlist.h"
#include "entryload.h"
#include "promptdescription.h"
#include "servercost.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace medlarkeel {

/** Parameters of the evaluation of servers; the inherited ones are those of the
 * cost functions. */
struct CandidateSettings : ServerCostSettings
{
  /** Prompts with fewer tokens are short: four chunks of a usual chunked
   * prefill. */
  std::uint32_t mShortPromptLimit = 4096;
  /** Number of preferred servers of a prompt, by rendezvous hash. They differ
   * by prompt, so entries that act on the same outdated loads move from a busy
   * server to different ones. */
  std::size_t mPreferredServers = 3;
  /** Share of a prompt's shared tokens that its most preferred server is
   * assumed to have cached, although this entry didn't send them there. */
  double mAssumedCachedShare = 0.7;
  /** Time constant of the exponential decay of the demand. */
  Microseconds mDemandTimeConstant = std::chrono::seconds(4);
};

/** Mean load of a set of servers. */
struct MeanLoad
{
  /** Requests in progress as a share of the slots; 0 if no server reports its
   * number of slots. */
  double mSlotShare = 0.0;
  /** Queued prefill tokens per server. */
  double mPrefillTokens = 0.0;
  std::size_t mServers = 0;
  /** Slots of the servers that report their number. */
  std::size_t mSlots = 0;
};

/** What an entry knows of a server when it places a request. */
struct CandidateServer
{
  const ListedBackend* mListed = nullptr;
  /** Why the server can't be chosen; nothing if it can. */
  std::optional<ServerExclusion> mExclusion;
  /** Whether the server accepts requests according to the list. Only such
   * servers count in the means of the pool. */
  bool mIsUsable = true;
  /** The server failed or was full. */
  bool mIsAvoided = false;
  bool mIsCold = false;
  bool mIsReservedForShort = false;
  /** Requests in progress, of all entries. */
  std::size_t mRunningRequests = 0;
  /** Prefill tokens of other requests that are queued, of all entries. */
  double mQueuedTokens = 0.0;
  /** Parts that were sent to the server; null if none were. */
  const CachedParts* mCachedParts = nullptr;
};

/** A request with a prompt, and what its placement depends on besides the
 * servers. */
struct PromptPlacement
{
  const PromptDescription& mPrompt;
  PoolPlacement mPool;
  /** Demand of all entries; see PromptDemand. */
  double mDemandTokens = 0.0;
  /** Mean tokens of a prompt. */
  double mMeanPromptTokens = 0.0;
  Timestamp mNow;
};

/** A server with what decides whether it is chosen. */
struct EvaluatedServer
{
  CandidateServer mServer;
  ServerEstimate mEstimate;
  /** With a prompt, in prefill tokens; without one, in requests. */
  CostTerms mCost;
};

/** The servers of a pool, evaluated for one request. */
struct CandidateEvaluation
{
  /** All servers, in the order in which they were given. */
  std::vector<EvaluatedServer> mServers;
  /** Number of servers that can be chosen. */
  std::size_t mCandidates = 0;
  /** Index of the server with the lowest cost among those that can be chosen.
   * Nothing without such a server, and for requests without prompt. */
  std::optional<std::size_t> mChosen;
  ServerCostKind mCostKind = ServerCostKind::FixedWeights;
  bool mIsShortPrompt = false;
  /** Mean backlog per usable server, in prefill tokens. */
  double mMeanBacklog = 0.0;
  /** Load of all usable servers of the pool. */
  MeanLoad mPoolLoad;
  /** Load of the servers for prompts of this size, short or long. */
  MeanLoad mSizeGroupLoad;

  /** @return The servers that can be chosen. */
  std::vector<const EvaluatedServer*> Candidates() const;

  /** @return The chosen server, or null. */
  const EvaluatedServer* Chosen() const
  {
    return mChosen ? &mServers[*mChosen] : nullptr;
  }
};

/**
 * Evaluates the servers of a pool for a request, without side effects. Choices
 * and their explanations use the same evaluation.
 */
class CandidateEvaluator
{
public:
  /** @param aZone Availability zone of this entry. */
  CandidateEvaluator(const CandidateSettings& aSettings, ZoneName aZone);

  /** Evaluates servers for a request with a prompt. */
  CandidateEvaluation EvaluateForPrompt(std::vector<CandidateServer> aServers,
                                        const PromptPlacement& aRequest) const;

  /** Evaluates servers for a request without prompt, by their requests in
   * progress and their zones. */
  CandidateEvaluation EvaluateWithoutPrompt(
    std::vector<CandidateServer> aServers) const;

  const ServerCost& CostOf(ServerCostKind aKind) const
  {
    return aKind == ServerCostKind::ExpectedDelay ? *mExpectedDelayCost
                                                  : *mFixedWeightCost;
  }

private:
  /** @return The evaluation with what is known of the servers, without cached
   * parts, preferences and costs. */
  CandidateEvaluation Begin(std::vector<CandidateServer> aServers) const;
  /** @return Tokens of the prompt that aServer has to prefill. */
  std::uint32_t PrefillTokens(const CandidateServer& aServer,
                              const PromptPlacement& aRequest,
                              bool aIsMostPreferred,
                              const PartLifetime& aLifetime) const;
  /** @return The memory use of a server in a pool of aUsable servers. */
  EngineMemoryUse MemoryUse(std::size_t aRunningRequests,
                            const PromptPlacement& aRequest,
                            std::size_t aUsable) const;

  CandidateSettings mSettings;
  ZoneName mZone;
  std::unique_ptr<ServerCost> mFixedWeightCost;
  std::unique_ptr<ServerCost> mExpectedDelayCost;
};

} // namespace medlarkeel
