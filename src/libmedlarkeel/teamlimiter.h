#pragma once

#include "limitmessage.h"
#include "ownershippeers.h"
#include "rangeownership.h"
#include "sliceledger.h"
#include "slicepool.h"
#include "teamaccount.h"
#include "teamlimit.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace medlarkeel {

/** Settings of the team limits; the first two the same at all instances. */
struct TeamLimiterSettings
{
  OwnershipSettings mOwnership;
  /** The instances that share the limits out among themselves. */
  OwnershipScope mScope;
  /** Slices into which each team's limit is cut. */
  std::uint32_t mSlices = 4;
  /** Validity of tokens borrowed in advance. */
  Microseconds mLease = Seconds(2);
  /** Validity of tokens borrowed for requests that wait. */
  Microseconds mWaitLease = Milliseconds(500);
  /** Time after which an ask counts as lost. */
  Microseconds mAskTimeout = Milliseconds(300);
  /** Time for which a silent owner is not asked again. */
  Microseconds mSilentBackoff = Seconds(1);
  /** Longest time for which a refused asker is told to wait. */
  Microseconds mLongestRetry = Seconds(10);
  /** Time without requests after which a team's state is dropped. */
  Microseconds mIdleAfter = Seconds(10);
  /** Time within which an accepted document is in force everywhere. */
  Microseconds mDocumentSpread = Seconds(30);
  /**
   * Longest time after the last reading of the list for which owners go on
   * by promises; 0 for none.
   */
  Microseconds mLongestOutage = Seconds(3600);
};

/** Why a request was not admitted. */
enum class ShortageCause
{
  None,
  /** The team is at its rate: no slice has a token. */
  TeamRate,
  /** Tokens may exist, but not here or not within reach. */
  LocalShortage,
  UnknownTeam
};

/** Decision on one request. */
struct AdmitVerdict
{
  bool mAdmitted = false;
  ShortageCause mCause = ShortageCause::None;
  /** When the next token is due. */
  Microseconds mRetryAfter{ 0 };
  /**
   * Whether tokens have been asked for: a call to Tick() sends the ask, and
   * the request may be tried again when answers have come.
   */
  bool mAskPending = false;
};

enum class AdmitAttempt
{
  First,
  Again
};

/** What a limiter holds and has done. */
struct TeamLimiterStatistics
{
  std::uint64_t mAdmitted = 0;
  std::uint64_t mRefusedByRate = 0;
  std::uint64_t mRefusedByShortage = 0;
  std::uint64_t mAskTimeouts = 0;
  std::uint64_t mHandovers = 0;
  std::size_t mActiveTeams = 0;
  std::size_t mLedgers = 0;
};

/**
 * Admits the requests of teams so that all instances together never admit
 * more than rate x time + burst of a team in any interval.
 *
 * Each team's limit is cut into slices with one owner each (RangeOwnership).
 * An owner keeps an exact bucket for its slice; other instances borrow tokens
 * on short leases when they have requests to admit.
 */
class TeamLimiter
{
public:
  /**
   * @param aSelf The own instance as the list names it.
   * @param aSeed Different for each incarnation of an instance.
   */
  TeamLimiter(InstanceId aSelf,
              const TeamLimiterSettings& aSettings,
              std::uint64_t aSeed);

  /** Replaces the limits; a team whose limit is unchanged keeps its state. */
  void SetTeams(const std::vector<TeamLimit>& aTeams, Timestamp aNow);

  /** Takes in a reading of the list; see RangeOwnership::Observe(). */
  void ObserveList(const InstanceList& aList,
                   Timestamp aSentAt,
                   Timestamp aReceivedAt);

  /** Admits or refuses one request; never waits. */
  AdmitVerdict Admit(const TeamName& aTeam,
                     Timestamp aNow,
                     AdmitAttempt aAttempt = AdmitAttempt::First);

  /** @return Messages to send in answer. */
  std::vector<LimitMessage> Receive(const LimitMessage& aMessage,
                                    Timestamp aNow);

  /** Does all timed work. @return Messages to send. */
  std::vector<LimitMessage> Tick(Timestamp aNow);

  /** Drops all that rested on evidence from before a pause. */
  void ResumeAfterPause(Timestamp aNow);

  /**
   * @return Whether requests can be admitted here: some were, or the wait for
   * an ownership is over and its buckets have filled for a moment.
   */
  bool IsWithinReach(Timestamp aNow) const;

  const RangeOwnership& Ownership() const { return mOwnership; }
  TeamLimiterStatistics Statistics() const;

  /** @return Slices of a team that this instance owns at present. */
  std::size_t OwnedSlices(const TeamName& aTeam, Timestamp aNow);

private:
  /** One slice as this instance sees it. */
  struct SliceView
  {
    RangeKey mKey;
    std::optional<InstanceId> mOwner;
    std::optional<OwnershipSpan> mSpan;
    std::optional<SliceLedger> mLedger;
    std::uint64_t mGeneration = 0;
    /** Until when the owner is not asked. */
    Timestamp mRetryAt = Timestamp::min();
    /** Whether it is not asked because it gave no proper answer. */
    bool mSilent = false;
    std::uint64_t mClaimId = 0;
    Timestamp mClaimSentAt = Timestamp::min();
  };

  /** State of a team with recent requests or an unsettled slice. */
  struct ActiveTeam
  {
    std::vector<SliceView> mSlices;
    TeamAccount mAccount;
    /** Turn of the next asker that is refused. */
    Timestamp mTurnAt;
  };

  struct TeamState
  {
    TeamName mName;
    SlicedLimit mLimit;
    /** The limit before, until all instances have the present one. */
    SlicedLimit mPrevious;
    Timestamp mLimitSince;
    Timestamp mRaiseAt;
    std::unique_ptr<ActiveTeam> mActive;
  };

  using Messages = std::vector<LimitMessage>;
  using Handler = void (TeamLimiter::*)(const LimitMessage&,
                                        TeamState&,
                                        Timestamp,
                                        Messages&);

  static Handler HandlerOf(LimitMessageKind aKind);
  void OnAsk(const LimitMessage&, TeamState&, Timestamp, Messages&);
  void OnGrant(const LimitMessage&, TeamState&, Timestamp, Messages&);
  void OnReturn(const LimitMessage&, TeamState&, Timestamp, Messages&);
  void OnClaim(const LimitMessage&, TeamState&, Timestamp, Messages&);
  void OnHandover(const LimitMessage&, TeamState&, Timestamp, Messages&);

  static RangeKey KeyOf(const TeamState& aTeam, std::uint32_t aSlice);
  TeamState* Find(const TeamName& aTeam);
  ActiveTeam& Activate(TeamState& aTeam);
  SliceView& View(TeamState& aTeam, std::uint32_t aSlice);
  void Refresh(SliceView& aView) const;
  SliceLedger* OwnLedger(TeamState& aTeam, SliceView& aView, Timestamp aNow);
  SliceLedger NewLedger(const TeamState& aTeam,
                        std::uint32_t aSlice,
                        Timestamp aSince,
                        Timestamp aNow) const;
  SlicePool Pool(TeamState& aTeam, Timestamp aNow);
  Timestamp NextTurn(TeamState& aTeam, const SlicePool& aPool, Timestamp aNow);
  void Backoff(ActiveTeam& aTeam,
               const InstanceId& aOwner,
               Timestamp aRetryAt,
               bool aSilent) const;
  AdmitVerdict Shortage(TeamState& aTeam,
                        Timestamp aNow,
                        AdmitAttempt aAttempt);
  AdmitVerdict CountRefusal(AdmitVerdict aVerdict);
  bool MayAsk(const ActiveTeam& aTeam,
              std::uint32_t aSlice,
              Timestamp aNow) const;
  void ChangeLimit(TeamState& aTeam, SlicedLimit aLimit, Timestamp aNow);
  std::optional<std::uint32_t> SliceToAsk(TeamState& aTeam, Timestamp aNow);
  void SendAsk(TeamState& aTeam, Timestamp aNow, Messages& aOut);
  void SendClaim(TeamState& aTeam,
                 std::uint32_t aSlice,
                 Timestamp aNow,
                 Messages& aOut);
  void TickTeam(TeamState& aTeam, Timestamp aNow, Messages& aOut);
  void CloseLateAsks(TeamState& aTeam, Timestamp aNow);
  void ReturnLeases(TeamState& aTeam, Timestamp aNow, Messages& aOut);
  void ScanForClaims(Timestamp aNow, Messages& aOut);
  bool IsIdle(TeamState& aTeam, Timestamp aNow);
  LimitMessage NewMessage(const InstanceId& aTo,
                          LimitMessageKind aKind,
                          const TeamState& aTeam,
                          std::uint32_t aSlice);

  InstanceId mSelf;
  TeamLimiterSettings mSettings;
  std::mt19937_64 mRandom;
  RangeOwnership mOwnership;
  OwnershipPeers mPeers;
  std::unordered_map<TeamName, TeamState> mTeams;
  /** Teams with state beyond their limit, in no order. */
  std::vector<TeamState*> mActiveTeams;
  /** Teams still to be looked through for slices to claim. */
  std::vector<TeamName> mClaimScan;
  std::uint64_t mScannedGeneration = 0;
  Timestamp mSweptAt;
  TeamLimiterStatistics mStatistics;
};

} // namespace medlarkeel
