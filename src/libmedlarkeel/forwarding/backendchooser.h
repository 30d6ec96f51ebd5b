#pragma once

#include "backendhealth.h"
#include "backendlist.h"
#include "peerview.h"
#include "promptdescription.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace medlarkeel {

/** Weights of the cost function; costs are in prompt tokens to prefill. */
struct BackendChooserSettings
{
  /** Prompts with fewer tokens are short: four chunks of a usual chunked
   * prefill. */
  std::uint32_t mShortPromptLimit = 4096;
  /** Weight of the request's own prefill tokens relative to queued ones:
   * repeating the prefill of a cached part also delays all later requests. */
  double mPrefillWeight = 6.0;
  /** Added to mPrefillWeight for each 10,000 prefill tokens of mean backlog per
   * server: the longer the queues, the more requests are delayed. */
  double mPrefillWeightByBacklog = 2.0;
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
  /** Cost of a short prompt on a server that isn't reserved for short ones. */
  double mShortOnLongPenalty = 6000.0;
  /** Cost of a long prompt on a server that is reserved for short ones. */
  double mLongOnShortPenalty = 72'000.0;
  /** Cost of a server in another availability zone. */
  double mOtherZonePenalty = 1500.0;
  /** Cost of a cold server, which has no cached parts and is slower. */
  double mColdPenalty = 3000.0;
  /** Window of the rate limit for cold servers: one second, plus the variation
   * of network delays. */
  Microseconds mColdLimitWindow = std::chrono::milliseconds(1150);
  /** Cost of each request in progress on the server. */
  double mRunningRequestPenalty = 150.0;
  /** Share of a server's slots up to which requests slow each other down, but
   * don't wait. */
  double mFreeSlotShare = 0.75;
  /** Cost, for a short prompt, of each request beyond mFreeSlotShare: the
   * prompt would wait or preempt another request, however few tokens it has. */
  double mBeyondSlotsPenalty = 1000.0;
  /** Number of preferred servers of a prompt, by rendezvous hash. They differ
   * by prompt, so entries that act on the same outdated loads move from a busy
   * server to different ones. */
  std::size_t mPreferredServers = 3;
  /** Cost of a server that isn't preferred. */
  double mNonPreferredPenalty = 5000.0;
  /** Share of a prompt's shared tokens that its most preferred server is
   * assumed to have cached, although this entry didn't send them there. */
  double mAssumedCachedShare = 0.7;
  /** Time since a part was last sent to a server, after which it no longer
   * counts as cached there. */
  Microseconds mMaximumCachedPartAge = std::chrono::seconds(30);
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
   * @return The choice, or nothing if no server is left.
   */
  std::optional<BackendChoice> Choose(
    const std::vector<const ListedBackend*>& aUsable,
    const std::optional<PromptDescription>& aPrompt,
    const std::set<InstanceId>& aExcluded,
    const ColdLimit& aColdLimit,
    Timestamp aNow);

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
    /** Time at which each part was last sent, by the lower half of its id. */
    std::unordered_map<std::uint32_t, Timestamp> mSentParts;
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
  std::uint32_t EstimatePrefillTokens(const ListedBackend& aServer,
                                      const PromptDescription& aPrompt,
                                      bool aIsMostPreferred,
                                      Timestamp aNow) const;
  /** @return Mean load of the servers that are neither avoided nor cold. */
  MeanLoad MeanLoadOf(const std::vector<const ListedBackend*>& aServers,
                      Timestamp aNow) const;
  /** @return Mean queued prefill tokens per server. */
  double MeanBacklog(const std::vector<const ListedBackend*>& aUsable) const;
  double PromptCost(const ListedBackend& aServer,
                    const PromptDescription& aPrompt,
                    std::uint32_t aPrefillTokens,
                    bool aIsReservedForShort,
                    Timestamp aNow) const;
  /** @return Time before which a server gets no requests: it asked for none, or
   * this entry was denied a permit. */
  std::optional<Timestamp> NotBefore(ProcessHash aBoot, Timestamp aNow) const;
  ServerLoad PeerLoad(const InstanceId& aId) const;
  /** @return Queued prefill tokens on a server, of all entries. */
  double QueuedTokens(const InstanceId& aId) const;
  void RecordDemand(const PromptDescription& aPrompt,
                    std::uint32_t aPrefillTokens,
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
    Timestamp aNow);

  BackendChooserSettings mSettings;
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
};

} // namespace medlarkeel
