#pragma once

#include "candidate.h"
#include "environmentdocument.h"
#include "instancelist.h"
#include "loadreport.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace medlarkeel {

/** Who the own entry is and how it follows the fleet. */
struct FleetViewSettings
{
  InstanceId mSelf;
  ZoneName mZone;
  RegionName mRegion;
  /** Agents per pool that the entry keeps channels to. */
  std::size_t mSubsetSize = 8;
  /** Agents in the own region below which other regions' agents are added. */
  std::size_t mRegionMinimum = 2;
  /** Probes or calls in a row without an answer that make an agent silent. */
  int mSilencesToSuspect = 2;
  /** Time in which a returned zone or agent reaches its full weight. */
  Microseconds mRampTime = std::chrono::seconds(30);
  /** Time without contact after which an agent is probed. */
  Microseconds mProbeInterval = std::chrono::seconds(15);
  /** Time after which an agent that is silent or takes no work is probed
   * again. */
  Microseconds mSilentProbeInterval = std::chrono::seconds(2);
};

/** What a reading of the platform's list changed. */
enum class ListVerdict
{
  /** The list is newer than the one in use and replaced it. */
  Taken,
  /** The same revision was read again; only the evidence is newer. */
  Confirmed,
  /** The list is older than the one in use and was ignored. */
  Older
};

/**
 * Which agents exist, answer and are in service, as one entry sees them. The
 * platform's list says who exists; own probes and calls say who answers; the
 * zone states of the document beat both. An agent gets new work only if it is
 * listed as live in the newest list, its zone is in service in the document,
 * it said that it accepts work when it was last heard, and it isn't silent.
 */
class FleetView
{
public:
  explicit FleetView(FleetViewSettings aSettings);

  /**
   * Takes one reading of the platform's list.
   *
   * @param aList The list as read.
   * @param aSentAt When the request for it was sent.
   * @param aNow The present time.
   * @return What became of it; an older revision never replaces a newer one.
   */
  ListVerdict ObserveList(const InstanceList& aList,
                          Timestamp aSentAt,
                          Timestamp aNow);

  /**
   * Takes the zone states of the document in force. A zone that the document
   * doesn't name is out of service.
   *
   * @param aZones All zones of the document.
   * @param aNow The present time; a zone that returns ramps from here.
   */
  void SetZones(const std::vector<ZoneEntry>& aZones, Timestamp aNow);

  /**
   * Notes an answer of an agent, to a probe or to a call.
   *
   * @param aId The agent.
   * @param aLoad The load it reported.
   * @param aNow The present time.
   */
  void RecordContact(const InstanceId& aId,
                     const LoadSnapshot& aLoad,
                     Timestamp aNow);

  /** Notes that an agent didn't answer a probe or a call in time. */
  void RecordSilence(const InstanceId& aId, Timestamp aNow);

  /**
   * Forgets all load and silence after the own process was paused, and asks
   * for a list reading that was sent after the pause.
   *
   * @param aNow The end of the pause.
   */
  void RecordPause(Timestamp aNow);

  /** @return Whether a list reading sent after the last pause is known. */
  bool IsValidated() const;

  /**
   * Lists the agents of the own subset that may get new work. Silent agents
   * are left out unless all are silent: then the own network is the likelier
   * fault and all are listed.
   *
   * @param aPool The pool.
   * @param aNow The present time.
   * @return The candidates in ascending order of their ids.
   */
  std::vector<Candidate> Candidates(const PoolName& aPool,
                                    Timestamp aNow) const;

  /**
   * Lists the agents of a pool that may get new work, without regard to the
   * own subset: for calls whose agent every entry must agree on.
   *
   * @param aPool The pool.
   * @param aNow The present time.
   * @return The candidates in ascending order of their ids.
   */
  std::vector<Candidate> AllCandidates(const PoolName& aPool,
                                       Timestamp aNow) const;

  /** @return Agents of the own subset, to keep channels to. */
  std::vector<InstanceRecord> Subset(const PoolName& aPool) const;

  /**
   * Lists the agents of the own subsets that are due for a probe. A contact
   * through traffic postpones the probe.
   *
   * @param aNow The present time.
   * @param aLimit Most agents to return, the longest overdue first.
   * @return The agents; each counts as probed now.
   */
  std::vector<InstanceRecord> TakeDueProbes(Timestamp aNow, std::size_t aLimit);

  /** @return Whether a zone is in service in the document. */
  bool IsZoneIn(const ZoneName& aZone) const;

  /** @return Revision of the list in use; 0 before the first. */
  std::uint64_t Revision() const { return mRevision; }

  /** @return When the newest reading of the list in use was asked for. */
  std::optional<Timestamp> ListEvidence() const { return mListSentAt; }

  /** @return Agents known from the list. */
  std::size_t MemberCount() const { return mMembers.size(); }

private:
  struct Member
  {
    InstanceRecord mRecord;
    LoadSnapshot mLoad;
    std::optional<Timestamp> mContactAt;
    std::optional<Timestamp> mProbedAt;
    std::optional<Timestamp> mRampStart;
    int mSilences = 0;
  };

  struct Zone
  {
    ZoneState mState = ZoneState::In;
    std::optional<Timestamp> mReturnedAt;
  };

  void ReplaceList(const InstanceList& aList, Timestamp aNow);
  void SelectSubsets();
  std::vector<InstanceId> SelectPool(const PoolName& aPool) const;
  std::vector<InstanceId> LiveEntries(bool aOwnRegionOnly) const;
  std::vector<Candidate> Collect(const std::vector<InstanceId>& aIds,
                                 Timestamp aNow) const;
  bool MayServe(const Member& aMember) const;
  bool IsSilent(const Member& aMember) const;
  bool IsProbeDue(const Member& aMember, Timestamp aNow) const;
  double Weight(const Member& aMember, Timestamp aNow) const;
  double RampShare(std::optional<Timestamp> aStart, Timestamp aNow) const;
  Candidate MakeCandidate(const Member& aMember, Timestamp aNow) const;

  FleetViewSettings mSettings;
  std::uint64_t mRevision = 0;
  std::optional<Timestamp> mListSentAt;
  std::optional<Timestamp> mPausedUntil;
  std::map<InstanceId, Member> mMembers;
  std::vector<InstanceRecord> mEntries;
  std::map<ZoneName, Zone> mZones;
  std::map<PoolName, std::vector<InstanceId>> mSubsets;
};

} // namespace medlarkeel
