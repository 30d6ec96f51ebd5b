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

/** Weights of the choice; costs are in prompt tokens still to be read. */
struct BackendChooserSettings
{
  /** Prompts below this size are short: four chunks of a usual prefill. */
  std::uint32_t mShortPromptTokens = 4096;
  /** Weight of the request's own unread tokens against those that wait:
   * reading a part once more also delays everything behind it. */
  double mUnreadWeight = 6.0;
  /** Added to that weight for each 10,000 unread tokens that wait at a server
   * on average: the longer the queues, the more requests are delayed. */
  double mUnreadWeightByBacklog = 2.0;
  /** Unread tokens above the mean of all servers from which on a queue is long:
   * about a second of reading, two thirds of the longest latency targets. */
  double mLongQueueTokens = 60'000.0;
  /** Added to the weight of waiting tokens beyond that, so that the parts that
   * a server holds don't make its queue longer than targets bear. */
  double mLongQueueWeight = 3.0;
  /** Unread tokens that wait at a server on average when all of
   * mStreamTokens counts: 0.3 to 0.4 s of reading. */
  double mFullBacklog = 20'000.0;
  /** Prompt tokens that could be read in the time that the events of a usual
   * answer take from a loaded server. Short prompts bring many answers, so
   * they need more servers than the tokens of their prompts tell. */
  double mStreamTokens = 2500.0;
  /** Added for a short prompt outside the servers kept for short prompts. */
  double mShortElsewhereTokens = 6000.0;
  /** Added for a long prompt on a server that is kept for short ones. */
  double mLongOnShortTokens = 72'000.0;
  /** Added for a server in another availability zone. */
  double mOtherZoneTokens = 1500.0;
  /** Added for a cold server, which holds no parts and is slower. */
  double mColdTokens = 3000.0;
  /** Window of the limit on cold servers: a second, and the spread of travel
   * times. */
  Microseconds mColdWindow = std::chrono::milliseconds(1150);
  /** Added for each stream that is running on the server. */
  double mRunningTokens = 150.0;
  /** Share of a server's slots up to which requests only slow each other. */
  double mFreeSlotShare = 0.75;
  /** Added for a short prompt and each request beyond that share: it would
   * wait, or another be preempted, however few tokens are to be read. */
  double mBeyondSlotsTokens = 1000.0;
  /** Servers that come first for a prompt by hash. Entries that act on the
   * same old loads so leave a busy server for different ones. */
  std::size_t mFirstServers = 3;
  /** Added for all other servers. */
  double mNotFirstTokens = 5000.0;
  /** Share of the shared tokens that the first server by hash is taken to
   * hold although this entry hasn't sent them there. */
  double mHomeCachedShare = 0.7;
  /** Time after which a prompt's part that wasn't sent again isn't counted as
   * cached any more. */
  Microseconds mCacheMemory = std::chrono::seconds(30);
  /** Time within which a part that was sent again isn't told again. */
  Microseconds mTellAgain = std::chrono::seconds(5);
  /** Time over which the sizes of prompts are averaged. */
  Microseconds mDemandMemory = std::chrono::seconds(4);
  BackendHealthSettings mHealth;
};

/** What a number of servers have to do, on average. */
struct MeanLoad
{
  /** Requests in progress as a share of the slots; 0 when no server tells how
   * many it has. */
  double mSlotShare = 0.0;
  /** Prompt tokens that a server hasn't read yet. */
  double mUnreadTokens = 0.0;
};

/** Why a backend server was chosen. */
struct BackendChoice
{
  InstanceId mId;
  Endpoint mEndpoint;
  /** Estimated prompt tokens that are read before the first token. */
  double mCost = 0.0;
  /** Estimated prompt tokens that the server doesn't hold yet. */
  std::uint32_t mUnreadTokens = 0;
  /** Estimated prompt tokens of other requests that it reads before. */
  double mWaitingTokens = 0.0;
  BootHash mBoot = 0;
  /** Load of all servers of the pool, and of those that prompts of its size
   * are kept on. */
  MeanLoad mPoolLoad;
  MeanLoad mLaneLoad;
  bool mIsShortPrompt = false;

  /** @return Prompt tokens that the server reads before the first event. */
  double TokensAhead() const { return mWaitingTokens + mUnreadTokens; }
  /** Servers that could have been chosen. */
  std::size_t mCandidates = 0;
  bool mIsCold = false;
  bool mIsOtherZone = false;
};

/**
 * Chooses backend servers. Short prompts are kept away from long ones on a
 * number of servers that follows the load, shared parts of prompts are sent to
 * the server that holds them unless others are far less busy, and cold servers
 * get work only when no warm one is left.
 */
class BackendChooser
{
public:
  /**
   * @param aZone The own availability zone.
   * @param aSeed Seed of ties; unlike in each process.
   */
  BackendChooser(const BackendChooserSettings& aSettings,
                 ZoneName aZone,
                 std::uint64_t aSeed);

  using ColdLimit = std::function<std::size_t(const InstanceId& aServer)>;

  /**
   * @param aUsable The servers of the pool that may get work.
   * @param aPrompt The prompt, or nothing for plain services.
   * @param aExcluded Servers that the request was sent to before.
   * @param aColdLimit Finds how many requests this entry may send to a cold
   * server within the window.
   */
  std::optional<BackendChoice> Choose(
    const std::vector<const ListedBackend*>& aUsable,
    const std::optional<PromptDescription>& aPrompt,
    const std::set<InstanceId>& aExcluded,
    const ColdLimit& aColdLimit,
    Timestamp aNow);

  /** Takes over what the other entries have in progress. */
  void SetOtherLoads(ServerLoads aLoads) { mOtherLoads = std::move(aLoads); }

  /** Takes over loads and demand of the other entries. */
  void TakeOthers(const PeerView& aPeers, Timestamp aNow);

  /** Adds what this entry does and has sent since the last report. */
  void FillReport(PeerReport& aReport, Timestamp aNow);

  /** @return The own demand. */
  PromptDemand OwnDemand(Timestamp aNow);

  /** Takes over what another entry sent lately. */
  void RecordOtherSent(const std::vector<SentPart>& aSent, Timestamp aNow);

  /** @return Last shared parts that were sent since the last call, each once
   * in a while. */
  std::vector<SentPart> TakeSentParts();

  /** @return What this entry has in progress. */
  ServerLoads OwnLoads() const;

  /** Notes that a request goes to the chosen server. */
  void RecordStarted(const BackendChoice& aChoice,
                     const std::optional<PromptDescription>& aPrompt,
                     Timestamp aNow);

  /** Notes the first byte of an answer's body. */
  void RecordFirstByte(const BackendChoice& aChoice);

  /**
   * Notes the end of a request at a server.
   *
   * @param aHadFirstByte Whether RecordFirstByte was called.
   */
  void RecordEnded(const BackendChoice& aChoice, bool aHadFirstByte);

  /** Notes that a server refused a request because it is full. */
  void RecordFull(const ListedBackend& aServer, Timestamp aNow);

  /** Notes that a server asked for no requests before a time. */
  void RecordNotBefore(BootHash aBoot, Timestamp aNotBefore, Timestamp aNow);

  /** @return When the first of the servers may be sent to again, if all of
   * them asked for no requests; else nothing. */
  std::optional<Timestamp> EarliestReturn(
    const std::vector<const ListedBackend*>& aUsable,
    Timestamp aNow) const;

  void RecordSuccess(const InstanceId& aId, Timestamp aNow);
  void RecordFailure(const InstanceId& aId, Timestamp aNow);
  void RecordUnreachable(const InstanceId& aId, Timestamp aNow);

  /** Drops what is known about a server, whose process has ended. */
  void Forget(const InstanceId& aId);

  /** @return Requests of all entries that were sent and not ended yet. */
  std::size_t Running(const InstanceId& aId) const;

private:
  /** What this entry has in progress at one server and knows of it. */
  struct ServerState
  {
    std::size_t mRequests = 0;
    std::size_t mReading = 0;
    double mUnreadTokens = 0.0;
    /** When parts were last sent there, by the lower half of their id. */
    std::unordered_map<std::uint32_t, Timestamp> mSentParts;
    BackendHealth mHealth;
    /** When requests were sent to the server while it was cold. */
    std::deque<Timestamp> mColdRequests;
  };

  std::vector<const ListedBackend*> Candidates(
    const std::vector<const ListedBackend*>& aUsable,
    const std::set<InstanceId>& aExcluded,
    const ColdLimit& aColdLimit,
    Timestamp aNow);
  std::set<InstanceId> ShortPromptServers(
    const std::vector<const ListedBackend*>& aUsable) const;
  std::uint32_t UnreadTokens(const ListedBackend& aServer,
                             const PromptDescription& aPrompt,
                             bool aIsHome,
                             Timestamp aNow) const;
  /** @return The mean load of the servers that aren't avoided or cold. */
  MeanLoad LoadOf(const std::vector<const ListedBackend*>& aServers,
                  Timestamp aNow) const;
  /** @return Unread tokens that wait at a server on average. */
  double MeanBacklog(const std::vector<const ListedBackend*>& aUsable) const;
  double ModelCost(const ListedBackend& aServer,
                   const PromptDescription& aPrompt,
                   std::uint32_t aUnread,
                   bool aIsForShort,
                   Timestamp aNow) const;
  bool AskedForNoRequests(BootHash aBoot, Timestamp aNow) const;
  ServerLoad OtherLoad(const InstanceId& aId) const;
  /** @return Unread tokens of all entries at a server. */
  double WaitingTokens(const InstanceId& aId) const;
  void RecordDemand(const PromptDescription& aPrompt,
                    std::uint32_t aUnread,
                    Timestamp aNow);
  /**
   * Load pattern: short calls to few servers from many entries, each of which
   * knows the calls of the others late. If all of them took the server that
   * looks least busy, or that of their zone, it would be full while others are
   * idle; so each takes the less busy of two servers drawn by chance.
   */
  BackendChoice ChoosePlain(
    const std::vector<const ListedBackend*>& aCandidates);
  BackendChoice ChooseModel(
    const std::vector<const ListedBackend*>& aUsable,
    const std::vector<const ListedBackend*>& aCandidates,
    const PromptDescription& aPrompt,
    Timestamp aNow);

  BackendChooserSettings mSettings;
  ZoneName mZone;
  std::mt19937_64 mRandom;
  std::unordered_map<InstanceId, ServerState> mServers;
  /** Until when servers asked for no requests. */
  std::unordered_map<BootHash, Timestamp> mNotBefore;
  ServerLoads mOtherLoads;
  std::vector<SentPart> mSentParts;
  PromptDemand mOtherDemand;
  PromptDemand mDemand;
  /** When the own demand was last weighted. */
  Timestamp mDemandAt;
  /** Mean backlog at the last choice. */
  double mBacklog = 0.0;
};

} // namespace medlarkeel
