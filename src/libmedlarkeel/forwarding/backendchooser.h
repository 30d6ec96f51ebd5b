#pragma once

#include "backendhealth.h"
#include "backendlist.h"
#include "peerview.h"
#include "promptdescription.h"
#include "servercost.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace medlarkeel {

/** Parameters of the choice of a server; the inherited ones are those of the
 * cost functions. */
struct BackendChooserSettings : ServerCostSettings
{
  /** Prompts with fewer tokens are short: four chunks of a usual chunked
   * prefill. */
  std::uint32_t mShortPromptLimit = 4096;
  /** Window of the rate limit for cold servers: one second, plus the variation
   * of network delays. */
  Microseconds mColdLimitWindow = std::chrono::milliseconds(1150);
  /** Number of preferred servers of a prompt, by rendezvous hash. They differ
   * by prompt, so entries that act on the same outdated loads move from a busy
   * server to different ones. */
  std::size_t mPreferredServers = 3;
  /** Share of a prompt's shared tokens that its most preferred server is
   * assumed to have cached, although this entry didn't send them there. */
  double mAssumedCachedShare = 0.7;
  /** Time since a part was last sent to a server, within which it isn't
   * reported to peers again. */
  Microseconds mPartReportInterval = std::chrono::seconds(5);
  /** Time constant of the exponential decay of the demand. */
  Microseconds mDemandTimeConstant = std::chrono::seconds(4);
  BackendHealthSettings mHealth;
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
  /** Set by AssignPriority(). */
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

/**
 * Chooses backend servers for requests.
 *
 * A number of servers that follows the demand is reserved for short prompts,
 * so that these don't wait behind long ones. Prompts go to a server that has
 * cached their shared parts, unless others are far less busy. Cold servers are
 * rate limited and cost more than warm ones.
 */
class BackendChooser
{
public:
  /**
   * @param aZone Availability zone of this entry.
   * @param aSeed Seed of random choices; must differ between processes.
   */
  BackendChooser(const BackendChooserSettings& aSettings,
                 ZoneName aZone,
                 std::uint64_t aSeed);

  /** @return Requests that this entry may send to a cold server per window. */
  using ColdLimit = std::function<std::size_t(const InstanceId& aServer)>;

  /**
   * Chooses a server for a request. The request isn't counted until
   * RecordStarted() is called.
   *
   * @param aUsable Servers of the pool that accept requests.
   * @param aPrompt The prompt, or nothing for services without prompts.
   * @param aExcluded Servers that the request was already sent to.
   * @param aColdLimit Gives the limit for a cold server.
   * @param aPlacement How the requests of the pool are placed.
   * @return The choice, or nothing if no server is left.
   */
  std::optional<BackendChoice> Choose(
    const std::vector<const ListedBackend*>& aUsable,
    const std::optional<PromptDescription>& aPrompt,
    const std::set<InstanceId>& aExcluded,
    const ColdLimit& aColdLimit,
    Timestamp aNow,
    const PoolPlacement& aPlacement = PoolPlacement());

  /**
   * Assigns a choice to the group of requests that its request belongs to, and
   * limits its loads to those of requests that are at least as urgent. Servers
   * prefer urgent requests, so the others don't delay it.
   *
   * @param aPool See PoolHash().
   */
  void AssignPriority(std::uint32_t aPool,
                      const RequestPriority& aPriority,
                      BackendChoice& aChoice) const;

  /** Replaces the load of the peers. */
  void SetPeerLoad(EntryLoad aLoad) { mPeerLoad = std::move(aLoad); }

  /** Fills in this entry's loads and demand, and the parts that it sent since
   * the last report. */
  void FillReport(PeerReport& aReport, Timestamp aNow);

  /** Decays this entry's demand to aNow. @return The demand. */
  PromptDemand OwnDemand(Timestamp aNow);

  /** Records the parts that peers sent to servers as cached there. */
  void RecordPeerSentParts(const std::vector<SentPart>& aSent, Timestamp aNow);

  /** @return Last shared parts of the prompts that were sent since the last
   * call. A part is left out if it was sent to the same server less than
   * mPartReportInterval before. */
  std::vector<SentPart> TakeSentParts();

  /** @return This entry's requests in progress and prefill tokens by server. */
  ServerLoads OwnLoads() const;

  /** Records that a request is sent to the chosen server. */
  void RecordStarted(const BackendChoice& aChoice,
                     const std::optional<PromptDescription>& aPrompt,
                     Timestamp aNow);

  /** Records the first byte of an answer's body, which ends the prefill. */
  void RecordFirstByte(const BackendChoice& aChoice);

  /**
   * Records the end of a request on a server.
   *
   * @param aHadFirstByte Whether RecordFirstByte was called.
   */
  void RecordEnded(const BackendChoice& aChoice, bool aHadFirstByte);

  /** Records that a server refused a request because it is full. If few
   * requests are in progress there, the refusal counts as a failure. */
  void RecordFull(const ListedBackend& aServer, Timestamp aNow);

  /** Records that a server asked for no requests before aNotBefore. A later
   * time that it asked for earlier stays in force. */
  void RecordNotBefore(ProcessHash aBoot, Timestamp aNotBefore, Timestamp aNow);

  /** Sets the request limits of servers, whose denials apply to the choice.
   * They must outlive this object. */
  void SetLimits(const ServerLimits* aLimits) { mLimits = aLimits; }

  /** @return Earliest time at which one of the servers accepts requests again,
   * if none of them does now because it asked for no requests or this entry
   * has no permit; else nothing. */
  std::optional<Timestamp> EarliestAvailableTime(
    const std::vector<const ListedBackend*>& aUsable,
    Timestamp aNow) const;

  void RecordSuccess(const InstanceId& aId, Timestamp aNow);
  void RecordFailure(const InstanceId& aId, Timestamp aNow);
  void RecordUnreachable(const InstanceId& aId, Timestamp aNow);

  /** Removes the state of a server whose process has ended. */
  void Forget(const InstanceId& aId);

  /** @return Requests in progress on a server, of all entries. */
  std::size_t RunningRequests(const InstanceId& aId) const;

private:
  /** Load, cached parts and health of one server, as this entry knows them. */
  struct ServerState
  {
    std::size_t mRequests = 0;
    /** Requests whose answer has no first byte yet. */
    std::size_t mPrefillingRequests = 0;
    /** Prefill tokens of those requests. */
    double mPrefillTokens = 0.0;
    CachedParts mCachedParts;
    BackendHealth mHealth;
    /** Times of the requests that were sent while the server was cold. */
    std::deque<Timestamp> mColdRequests;
  };

  std::vector<const ListedBackend*> Candidates(
    const std::vector<const ListedBackend*>& aUsable,
    const std::set<InstanceId>& aExcluded,
    const ColdLimit& aColdLimit,
    Timestamp aNow);
  std::set<InstanceId> ServersForShortPrompts(
    const std::vector<const ListedBackend*>& aUsable) const;
  /** @param aLifetime How long the server keeps parts. */
  std::uint32_t EstimatePrefillTokens(const InstanceId& aServer,
                                      const PromptDescription& aPrompt,
                                      bool aIsMostPreferred,
                                      const PartLifetime& aLifetime,
                                      Timestamp aNow) const;
  /** @return The memory use of a server in a pool of aServers servers. */
  EngineMemoryUse MemoryUse(std::size_t aRunningRequests,
                            const PoolPlacement& aPlacement,
                            std::size_t aServers) const;
  const ServerCost& CostOf(ServerCostKind aKind) const
  {
    return aKind == ServerCostKind::ExpectedDelay ? *mExpectedDelayCost
                                                  : *mFixedWeightCost;
  }
  /** @return Mean load of the servers that are neither avoided nor cold. */
  MeanLoad MeanLoadOf(const std::vector<const ListedBackend*>& aServers,
                      Timestamp aNow) const;
  /** @return Mean queued prefill tokens per server. */
  double MeanBacklog(const std::vector<const ListedBackend*>& aUsable) const;
  /** @return Time before which a server gets no requests: it asked for none, or
   * this entry was denied a permit. */
  std::optional<Timestamp> NotBefore(ProcessHash aBoot, Timestamp aNow) const;
  ServerLoad PeerLoad(const InstanceId& aId) const;
  /** @return Queued prefill tokens on a server, of all entries. */
  double QueuedTokens(const InstanceId& aId) const;
  void RecordDemand(const BackendChoice& aChoice,
                    const PromptDescription& aPrompt,
                    Timestamp aNow);
  /**
   * Chooses the less busy of two random servers, for a request without prompt.
   *
   * Such requests are short and go from many entries to few servers, and each
   * entry learns of the others' requests late. If all entries chose the least
   * busy server, or one in their zone, it would be full while others are idle.
   */
  BackendChoice ChooseWithoutPrompt(
    const std::vector<const ListedBackend*>& aCandidates);
  BackendChoice ChooseForPrompt(
    const std::vector<const ListedBackend*>& aUsable,
    const std::vector<const ListedBackend*>& aCandidates,
    const PromptDescription& aPrompt,
    const PoolPlacement& aPlacement,
    Timestamp aNow);

  BackendChooserSettings mSettings;
  std::unique_ptr<ServerCost> mFixedWeightCost;
  std::unique_ptr<ServerCost> mExpectedDelayCost;
  ZoneName mZone;
  std::mt19937_64 mRandom;
  std::unordered_map<InstanceId, ServerState> mServers;
  /** Time before which a server asked for no requests. */
  std::unordered_map<ProcessHash, Timestamp> mNotBefore;
  const ServerLimits* mLimits = nullptr;
  EntryLoad mPeerLoad;
  PriorityLoadTracker mPriorityLoads;
  /** Sent parts that TakeSentParts() returns next. */
  std::vector<SentPart> mUnreportedParts;
  PromptDemand mDemand;
  /** Time up to which mDemand has decayed. */
  Timestamp mDemandDecayedAt;
  /** Mean backlog at the last choice for a prompt, in prefill tokens per
   * server. */
  double mMeanBacklog = 0.0;
  /** Moving average of the tokens of a prompt; 0 at the start. */
  double mMeanPromptTokens = 0.0;
};

} // namespace medlarkeel
