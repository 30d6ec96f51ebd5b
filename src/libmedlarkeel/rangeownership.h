#pragma once

#include "instancelist.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarkeel {

struct ControlSettings;

/** Bounds on which the safety of range ownership rests. */
struct OwnershipSettings
{
  /** Time for which a reading counts, from the sending of its request (T). */
  Microseconds mEvidenceLife = Seconds(20);
  /** Longest time by which a reading may be behind the truth (L). */
  Microseconds mListLag = Seconds(5);
  /** Largest divergence of two clocks within one takeover. */
  Microseconds mClockDrift = Milliseconds(50);
  /** Whether an heir needs a clearance besides the wait. */
  bool mNeedsClearance = false;
};

/**
 * Takes the bounds from the settings of a process, so that all its users of
 * range ownership rest on the same ones.
 */
OwnershipSettings
OwnershipSettingsFrom(const ControlSettings& aSettings);

/** The instances among which ranges are shared out. */
struct OwnershipScope
{
  InstanceRole mRole = InstanceRole::Entry;
  /** Pool of the agents; empty for entries and for the agents of all pools. */
  PoolName mPool;
};

/** Spreads the ranges of one group over the regions in turn. */
struct RegionSpread
{
  std::uint64_t mGroup = 0;
  std::uint32_t mIndex = 0;
};

/** A range of keys, or a slice of a limit, that has one owner at a time. */
struct RangeKey
{
  std::uint64_t mHash = 0;
  std::optional<RegionSpread> mSpread;
};

/** @return The range of a textual key, without a spread over regions. */
RangeKey
RangeKeyOf(const std::string& aText);

/** The time in which an instance may act as the only owner of a range. */
struct OwnershipHold
{
  Timestamp mSince;
  /** End of the evidence at hand; a later reading extends it. */
  Timestamp mUntil;
};

/** An ownership that lasts as long as the evidence for it. */
struct OwnershipSpan
{
  Timestamp mSince;
  /** End of the evidence when the newest reading shows another owner. */
  std::optional<Timestamp> mLastUntil;
  /** Whether promises may take the place of evidence. */
  bool mExtendable = true;
};

/**
 * Decides by rendezvous hashing over a lagging list which instance owns a
 * range, so that no two instances ever act as the owner at the same time.
 *
 * An owner acts only on a reading that it requested less than T ago. An heir
 * waits T + L from the moment at which it first saw itself as the owner; a
 * direct transfer from a present owner replaces this wait. Readings with gaps
 * that may hide a change of owner start the wait again.
 */
class RangeOwnership
{
public:
  /**
   * @param aSelf The own instance as the list names it.
   * @param aSettings The same values at all instances.
   * @param aScope The instances that take part.
   */
  RangeOwnership(InstanceId aSelf,
                 OwnershipSettings aSettings,
                 OwnershipScope aScope);

  /**
   * Takes in a reading of the list. A reading with a lower revision than one
   * seen before is ignored.
   *
   * @param aSentAt When the request for the reading was sent.
   * @param aReceivedAt When the reading came back.
   */
  void Observe(const InstanceList& aList,
               Timestamp aSentAt,
               Timestamp aReceivedAt);

  /**
   * Takes in that the list still had the given revision in a reading of
   * another instance, requested at or after @p aSentAt on the own clock.
   */
  void ObserveRevision(std::uint64_t aRevision, Timestamp aSentAt);

  /** @return The owner by the newest reading, for routing; never proof. */
  std::optional<InstanceId> Owner(const RangeKey& aKey) const;

  /** @return The instance that owned the range before the own instance. */
  std::optional<InstanceId> PreviousOwner(const RangeKey& aKey) const;

  /** @return Since when this instance is the only owner, if it is. */
  std::optional<Timestamp> ExclusiveSince(const RangeKey& aKey,
                                          Timestamp aNow) const;

  /** @return The time in which this instance is the only owner, if it is. */
  std::optional<OwnershipHold> Hold(const RangeKey& aKey, Timestamp aNow) const;

  /**
   * @return The latest ownership of this instance that may still have
   *         evidence. It stays valid until Generation() changes or the range
   *         is released or adopted.
   */
  std::optional<OwnershipSpan> Span(const RangeKey& aKey) const;

  /** @return The time in which a span allows to act, if it does now. */
  std::optional<OwnershipHold> Hold(const OwnershipSpan& aSpan,
                                    Timestamp aNow) const;

  /**
   * @return The revision at which this instance first saw itself as the
   *         present owner; 0 when it is not the owner by the newest reading.
   */
  std::uint64_t OwnedSinceRevision(const RangeKey& aKey) const;

  /**
   * Tells whether a range may be handed to an heir. This is so only if the
   * list went from this instance to the heir in one revision: an owner in
   * between, which neither of them saw, would not know of the handover.
   *
   * @param aHeirSince The heir's OwnedSinceRevision().
   */
  bool MayHandOver(const RangeKey& aKey,
                   const InstanceId& aHeir,
                   std::uint64_t aHeirSince) const;

  /** Gives up a range that was handed to its new owner by message. */
  void Release(const RangeKey& aKey, Timestamp aNow);

  /**
   * Takes over a range that its present owner released to this instance.
   *
   * @return Whether the newest reading shows this instance as the owner; if
   *         not, nothing is taken over.
   */
  bool Adopt(const RangeKey& aKey, Timestamp aNow);

  /**
   * Lets this instance go on by promises of all members of its newest list.
   *
   * @param aRevision The list to which the promises refer.
   */
  void Extend(std::uint64_t aRevision, Timestamp aUntil);

  /**
   * Takes in that no owner by a list older than the given one goes on by
   * promises from now on.
   */
  void Clear(std::uint64_t aRevision, Timestamp aNow);

  /** @return The newest list that was cleared; 0 for none. */
  std::uint64_t ClearedRevision() const;

  /** @return Whether there is a reading on which to rest. */
  bool HasReading() const { return !mHistory.empty(); }

  /** @return Live and leaving instances in scope by the newest reading. */
  std::vector<InstanceId> Members() const;

  /** @return The first revision that showed the present members. */
  std::uint64_t MembersRevision() const;

  /** @return When the present members were first seen. */
  Timestamp MembersSeenAt() const;

  /**
   * @return Since when the present members own ranges without a handover, which
   * may lie ahead; nothing without a reading or its clearance.
   */
  std::optional<Timestamp> OwnedSince() const;

  /** @return Since when every list has shown this instance. */
  std::optional<Timestamp> ListedSince() const { return mListedSince; }

  /** Forbids to act on any reading that was requested before @p aNow. */
  void ResumeAfterPause(Timestamp aNow);

  /** @return A number that changes when the list may have new owners. */
  std::uint64_t Generation() const { return mGeneration; }

  /** @return The highest revision seen; 0 when there was no reading. */
  std::uint64_t Revision() const { return mRevision; }

  /** @return When the newest reading was requested. */
  Timestamp EvidenceSentAt() const;

  /** @return Readings that were further behind than the stated bound. */
  std::size_t LagBreaches() const { return mLagBreaches; }

  /** @return Times that gaps between readings started the waits again. */
  std::size_t ChainBreaks() const { return mChainBreaks; }

  /** @return Live instances in scope by the newest reading. */
  std::size_t MemberCount() const;

  /** @return The time that an heir waits. */
  Microseconds TakeoverWait() const;

private:
  /** An instance as the hashing sees it. */
  struct Member
  {
    std::uint64_t mHash = 0;
    std::uint64_t mRegion = 0;
    InstanceId mId;
  };

  /** A set of members and the time in which readings showed it. */
  struct MemberSet
  {
    std::vector<Member> mLive;
    std::vector<Member> mLeaving;
    std::vector<std::uint64_t> mRegions;
    std::uint64_t mFirstRevision = 0;
    /** Highest revision that showed the set before it changed. */
    std::uint64_t mLastRevision = 0;
    Timestamp mFirstSeen;
    Timestamp mLastSentAt;
  };

  /** A range that changed its owner by message. */
  struct Transfer
  {
    RangeKey mKey;
    Timestamp mAt;
    bool mAdopted = false;
  };

  /** Promises that take the place of evidence. */
  struct Extension
  {
    std::uint64_t mRevision = 0;
    Timestamp mUntil = Timestamp::min();
  };

  /** A list and when it was cleared. */
  struct Clearance
  {
    std::uint64_t mRevision = 0;
    Timestamp mAt;
  };

  MemberSet MembersOf(const InstanceList& aList) const;
  void NoteOwnListing(const MemberSet& aSet, Timestamp aReceivedAt);
  Timestamp ClearedAt(std::uint64_t aRevision) const;
  Timestamp EvidenceEnd(const MemberSet& aSet) const;
  void Append(MemberSet&& aSet, Timestamp aSentAt, Timestamp aReceivedAt);
  void BreakChain();
  void DropOldTransfers();
  void NoteLagBreach(std::uint64_t aRevision, Timestamp aSentAt);
  static const Member* OwnerIn(const MemberSet& aSet, const RangeKey& aKey);
  bool IsOwner(const MemberSet& aSet, const RangeKey& aKey) const;
  std::optional<std::size_t> LatestOwned(const RangeKey& aKey) const;
  std::size_t FirstOwned(const RangeKey& aKey, std::size_t aLast) const;

  InstanceId mSelf;
  OwnershipSettings mSettings;
  OwnershipScope mScope;
  std::vector<MemberSet> mHistory;
  std::unordered_map<std::uint64_t, Transfer> mTransfers;
  Extension mExtension;
  /** By revision, and so by time. */
  std::vector<Clearance> mClearances;
  std::optional<Timestamp> mListedSince;
  std::uint64_t mRevision = 0;
  Timestamp mRevisionSeenAt;
  Timestamp mEvidenceFloor = Timestamp::min();
  std::uint64_t mGeneration = 0;
  std::size_t mLagBreaches = 0;
  std::size_t mChainBreaks = 0;
};

} // namespace medlarkeel
