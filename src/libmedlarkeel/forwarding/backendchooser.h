#pragma once

#include "backendchoice.h"
#include "backendhealth.h"
#include "peerview.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

namespace medlarkeel {

/** Parameters of the choice of a server; the inherited ones are those of the
 * evaluation of servers. */
struct BackendChooserSettings : CandidateSettings
{
  /** Window of the rate limit for cold servers: one second, plus the variation
   * of network delays. */
  Microseconds mColdLimitWindow = std::chrono::milliseconds(1150);
  /** Time since a part was last sent to a server, within which it isn't
   * reported to peers again; for pools whose cost has fixed weights. */
  Microseconds mPartReportInterval = std::chrono::seconds(5);
  /** Time since a part was last reported, within which it isn't reported to
   * peers again; for pools whose cost is the expected delay. It is the time for
   * which a part counts as cached for certain at the shortest lifetime. */
  Microseconds mExpectedDelayReportInterval = std::chrono::seconds(1);
  BackendHealthSettings mHealth;
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
   * Evaluates the servers of a pool as Choose() does, without side effects.
   *
   * @param aServers Servers of the pool; those that the list excludes are
   * evaluated, but have no effect on the others.
   */
  CandidateEvaluation Evaluate(const std::vector<PoolServer>& aServers,
                               const std::optional<PromptDescription>& aPrompt,
                               const std::set<InstanceId>& aExcluded,
                               const ColdLimit& aColdLimit,
                               Timestamp aNow,
                               const PoolPlacement& aPlacement) const;

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

  /** Replaces the load of the peers. @return The previous load. */
  EntryLoad ExchangePeerLoad(EntryLoad aLoad)
  {
    return std::exchange(mPeerLoad, std::move(aLoad));
  }

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

  /** Creates the states of the servers that can be chosen, and drops the times
   * of requests to cold servers that no longer count. */
  void PrepareStates(const std::vector<const ListedBackend*>& aUsable,
                     const std::set<InstanceId>& aExcluded,
                     Timestamp aNow);
  /** @return What is known of a server, without its reservation. */
  CandidateServer Describe(const PoolServer& aServer,
                           const std::set<InstanceId>& aExcluded,
                           const ColdLimit& aColdLimit,
                           Timestamp aNow) const;
  /** @return Why a server can't be chosen that the list doesn't exclude. */
  std::optional<ServerExclusion> ExclusionOf(const ListedBackend& aServer,
                                             const ServerState& aState,
                                             const std::set<InstanceId>& aTried,
                                             const ColdLimit& aColdLimit,
                                             Timestamp aNow) const;
  /** @return Whether the server may get another request while it is cold. */
  bool IsBelowColdLimit(const ServerState& aState,
                        std::size_t aLimit,
                        Timestamp aNow) const;
  std::set<InstanceId> ServersForShortPrompts(
    const std::vector<const ListedBackend*>& aUsable) const;
  const ServerCost& CostOf(ServerCostKind aKind) const
  {
    return mEvaluator.CostOf(aKind);
  }
  /** @return Time before which a server gets no requests: it asked for none, or
   * this entry was denied a permit. */
  std::optional<Timestamp> NotBefore(ProcessHash aBoot, Timestamp aNow) const;
  ServerLoad PeerLoad(const InstanceId& aId) const;
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
  BackendChoice ChooseWithoutPrompt(const CandidateEvaluation& aEvaluation);

  BackendChooserSettings mSettings;
  CandidateEvaluator mEvaluator;
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
