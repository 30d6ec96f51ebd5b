#pragma once

#include "candidate.h"
#include "choicestrategy.h"
#include "circuitbreaker.h"
#include "outlierejection.h"
#include "prefixcacheview.h"
#include "replicaload.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace medlarkeel {

/** How an entry chooses. */
struct ChooserSettings
{
  /** Name of a strategy in the strategy table. */
  std::string mStrategy = "affinity";
  StrategySettings mStrategySettings;
  LoadModelSettings mLoadModel;
  BreakerSettings mBreaker;
  OutlierSettings mOutlier;
};

/** What a request needs of a backend server. */
struct ChoiceRequest
{
  PoolName mPool;
  /** Adapter that the server must be able to use. */
  std::optional<AdapterName> mAdapter;
  /** Zone that the server must be in. */
  std::optional<ZoneName> mZone;
  /** Block hashes of the prompt; see HashPrefixBlocks. */
  std::vector<std::uint64_t> mPromptBlocks;
  /** Hash of the key whose owner is wanted, for the strategy `key-owner`. */
  std::uint64_t mKeyHash = 0;
  /** Servers that this request has tried already. */
  std::vector<InstanceId> mExclusions;
};

/** Why a candidate wasn't eligible, or that it was. */
enum class CandidateNote
{
  Eligible,
  OtherPool,
  Excluded,
  NoAdapter,
  OtherZone,
  OtherRegion,
  BreakerOpen,
  Outlier
};

/** One candidate as the choice saw it, for the log. */
struct ConsideredCandidate
{
  InstanceId mId;
  CandidateNote mNote = CandidateNote::Eligible;
  /** Expected wait, in microseconds; lower is better. */
  double mScore = 0.0;
  /** Leading prompt blocks that are believed to be cached there. */
  std::size_t mMatchedBlocks = 0;
};

/** The outcome of one choice. */
struct Choice
{
  /** The chosen server; absent when none was eligible. */
  std::optional<InstanceId> mChosen;
  std::string mAddress;
  ChoiceReason mReason = ChoiceReason::NoCandidate;
  /** So many candidates looked bad that health signals were ignored. */
  bool mPanic = false;
  std::vector<ConsideredCandidate> mConsidered;
};

/** @return The note in kebab case, for the log. */
const char*
CandidateNoteText(CandidateNote aNote);

/**
 * Chooses a backend server for each request of one entry and keeps what the
 * entry itself saw of each: requests in flight, times to the first token,
 * failures and prefix caches.
 */
class ReplicaChooser
{
public:
  /**
   * @param aSettings The settings; an unknown strategy name means `affinity`.
   * @param aSeed Seed of all random choices.
   */
  ReplicaChooser(const ChooserSettings& aSettings, std::uint64_t aSeed);
  ~ReplicaChooser();

  /**
   * Chooses one candidate.
   *
   * @param aRequest What is needed.
   * @param aCandidates The servers that may get new work.
   * @param aNow The present time.
   * @return The choice with all candidates considered and the reason.
   */
  Choice Choose(const ChoiceRequest& aRequest,
                const std::vector<Candidate>& aCandidates,
                Timestamp aNow);

  /** Notes that a request was sent to a server and is in flight there. */
  void RecordSent(const InstanceId& aId, Timestamp aNow);

  /**
   * Notes the first token of an answer.
   *
   * @param aRequest The request, for its prompt blocks.
   * @param aId The server.
   * @param aWait Time from sending the reservation to the first token.
   * @param aPrefill Time from commit to the first token.
   * @param aNow The present time.
   * @return What it told about the prefix cache.
   */
  CacheEvidence RecordFirstToken(const ChoiceRequest& aRequest,
                                 const InstanceId& aId,
                                 Microseconds aWait,
                                 Microseconds aPrefill,
                                 Timestamp aNow);

  /** Notes that a request ended well after aDuration at the server. */
  void RecordFinished(const InstanceId& aId, Microseconds aDuration);

  /** Notes that a request ended by the server's fault, silence included. */
  void RecordFailed(const InstanceId& aId, Timestamp aNow);

  /** Notes that a request left the server without telling of its health. */
  void RecordWithdrawn(const InstanceId& aId);

  /** Forgets what a server's former life taught, after a restart. */
  void ForgetServer(const InstanceId& aId);

  /** @return Own requests in flight at a server. */
  std::size_t InFlight(const InstanceId& aId) const;

  /** @return State of the breaker of a server. */
  BreakerState Breaker(const InstanceId& aId) const;

  /** @return Servers that something is known of. */
  std::size_t KnownServers() const { return mServers.size(); }

  const PrefixCacheView& Caches() const { return mCaches; }

private:
  struct Server
  {
    ReplicaLoad mLoad;
    CircuitBreaker mBreaker;
  };

  Server& ServerFor(const InstanceId& aId);
  CandidateNote Match(const ChoiceRequest& aRequest,
                      const Candidate& aCandidate) const;
  void EjectUnhealthy(const std::vector<Candidate>& aCandidates,
                      Timestamp aNow,
                      Choice& aChoice);
  static void PreferOwnRegion(const std::vector<Candidate>& aCandidates,
                              Choice& aChoice);
  /** @return Mean of other entries' requests at the candidates. */
  double ObserveReports(const std::vector<Candidate>& aCandidates,
                        Timestamp aNow);
  std::vector<RatedCandidate> Rate(const ChoiceRequest& aRequest,
                                   const std::vector<Candidate>& aCandidates,
                                   Timestamp aNow,
                                   Choice& aChoice);

  ChooserSettings mSettings;
  std::uint64_t mSeed;
  std::mt19937_64 mRandom;
  std::unique_ptr<ChoiceStrategy> mStrategy;
  std::map<InstanceId, Server> mServers;
  PrefixCacheView mCaches;
};

} // namespace medlarkeel
