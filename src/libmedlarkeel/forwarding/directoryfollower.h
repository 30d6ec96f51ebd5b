#pragma once

#include "directorydelta.h"
#include "eratracker.h"

#include <algorithm>

namespace medlarkeel {

/** Intervals and limits for following the directory. */
struct FollowerSettings
{
  /** Pause between two calls for changes. It limits the call rate of one
   * process and must be well below the time in which a change must be in
   * force. */
  Milliseconds mPause{ 300 };
  /** Maximum time that a call waits for a change. Backend servers send
   * heartbeats at least that often, so an empty answer shows that changes
   * aren't delivered. */
  Milliseconds mWait{ 800 };
  /** Interval in which backend servers renew their entries. */
  Milliseconds mHeartbeat{ 1200 };
  /** Number of servers above which changes that are older than a heartbeat are
   * replaced by a full read: it delivers each entry once. */
  std::size_t mMaximumReplayedServers = 500;
  /** Maximum wait of a process that had no answer for longer than mWait.
   * Changes have accumulated by then, so a call that delivers none is detected
   * sooner. It also applies to the call after a stale full read. */
  Milliseconds mCatchUpWait{ 100 };
  /** Maximum time for which a process relies on its peers instead of calling
   * the directory. It must be below the time for which the directory keeps its
   * history. */
  Milliseconds mMaximumQuietTime{ 14'000 };
  /** Delay after the first failed call. It doubles with each further failure
   * up to the maximum. */
  Milliseconds mFirstRetryDelay{ 100 };
  Milliseconds mMaximumRetryDelay{ 500 };
  /** Time without contact that counts as an outage: two heartbeats. After an
   * outage, a server may be missing only because its lease has expired. */
  Milliseconds mOutageThreshold{ 2000 };
  /** Time for which servers that are missing after an outage are kept; they
   * re-register within two seconds. */
  Milliseconds mGracePeriod{ 2300 };
  /** Maximum time for which such servers are kept after the start of the last
   * call that failed. The outage may have ended right after it, and a removal
   * must be in force within the time in which entries count as connected. */
  Milliseconds mMaximumGraceAfterFailure{ 2900 };
  /** Maximum time for which a server is kept after its removal was published.
   */
  Milliseconds mMaximumRemovalDelay{ 1500 };
  /** Time after the beginning of an era in which items that were withdrawn
   * before aren't taken from the copy. It covers two heartbeats, after which
   * entries of servers that have left expire, and the two seconds in which the
   * others register again. */
  Milliseconds mRestoreHoldTime{ 4700 };
};

/**
 * @param aChangeBound Time in which a change must be in force.
 * @param aHeartbeat Interval in which backend servers renew their entries.
 * @return Settings that keep the bound.
 */
FollowerSettings
FollowerSettingsFor(Milliseconds aChangeBound, Milliseconds aHeartbeat);

/** The next call to the directory. */
struct DirectoryCall
{
  enum class Kind
  {
    ReadAll,
    Watch
  };
  Kind mKind = Kind::ReadAll;
  /** Delay before the call. */
  Milliseconds mDelay{ 0 };
  /** Position up to which all changes are known; its revision is 0 when that
   * isn't certain. */
  DirectoryPosition mPosition;
};

/** The directory was restored from an older copy. */
struct EraChange
{
  DirectoryEra mEra;
  /** Whether the era was read; otherwise another entry reported it. */
  bool mIsRead = false;
  /** Rest of the time in which withdrawn items are withheld. */
  Milliseconds mHold{ 0 };
};

/** What an answer of the directory or a relayed delta changed, for the log. */
struct FollowerUpdate
{
  bool mHasNewDocument = false;
  bool mHasRestoredContact = false;
  bool mHasLostContact = false;
  /** Time without contact before this answer. */
  Microseconds mOutage{ 0 };
  std::vector<std::pair<InstanceId, BackendChange>> mBackends;
  std::vector<ZoneEvacuation> mZones;
  std::vector<UnreadableItem> mUnreadable;
  /** Changes to relay that are too many for a report, oldest first. */
  std::vector<DirectoryDelta> mDeltaParts;
  /** Cause of the lost contact. */
  DirectoryError mError = DirectoryError::Unreachable;
  std::optional<EraChange> mNewEra;
};

/**
 * Determines the next call to the directory and stores its contents: the
 * document in force, whose version never decreases, and the list of backend
 * servers.
 */
class DirectoryFollower
{
public:
  explicit DirectoryFollower(const FollowerSettings& aSettings);

  /** @return The next call that continues what is known. */
  DirectoryCall Next() const { return mNext; }

  /** @return The call to make now: Next(), or a full read if that delivers less
   * than the changes since the known position. */
  DirectoryCall CallAt(Timestamp aNow) const;

  /** @return Maximum time that a call waits for changes. */
  Milliseconds Wait(Timestamp aNow) const
  {
    return mMayBeStale || Age(aNow) > mSettings.mWait ? mSettings.mCatchUpWait
                                                      : mSettings.mWait;
  }

  /** @return Whether the next call may be skipped while peers confirm that the
   * known state is current. */
  bool CanSkipCall(Timestamp aNow) const
  {
    const Timestamp last =
      mHasFailed ? mFailedAt : std::max(mLastContact, mDeltaAppliedAt);
    return HasRead() && mNext.mPosition.IsKnown() &&
           !mBackends.HasUndecidedServers(aNow) &&
           aNow - last < mSettings.mMaximumQuietTime;
  }

  /** @return Whether the last call failed, so that other entries should call
   * the directory instead of this one. */
  bool HasLostContact() const { return mHasFailed; }

  /** Records that a call starts; its answer is recorded next. */
  void RecordCallStarted(Timestamp aNow) { mCallStartedAt = aNow; }

  /**
   * Applies the answer to a full read.
   *
   * @param aFreshness The freshness that was asked for.
   * @return What has changed.
   */
  FollowerUpdate RecordRead(const DirectoryResult& aResult,
                            Timestamp aNow,
                            ReadFreshness aFreshness = ReadFreshness::Newest);

  /**
   * Applies the answer to a call for changes.
   *
   * @return What has changed.
   */
  FollowerUpdate RecordWatch(const DirectoryResult& aResult, Timestamp aNow);

  /**
   * Applies documents and evacuations that were read by a separate call, which
   * doesn't cover the backend servers. Neither the position nor the time of the
   * last contact changes.
   *
   * @return What has changed.
   */
  FollowerUpdate RecordDocuments(const DirectoryChanges& aChanges,
                                 Timestamp aNow);

  /**
   * Applies a delta that a directory reader relayed. A call of this process may
   * be in progress. Changes of an era that isn't read yet are applied one by
   * one, and the directory is read.
   *
   * @return What has changed; nothing when the delta adds nothing to the known
   * position or is of an earlier era. The changes of a delta that starts after
   * the known position apply, but the position stays.
   */
  std::optional<FollowerUpdate> RecordRelayedDelta(const DirectoryDelta& aDelta,
                                                   Timestamp aNow);

  /**
   * Records the state of a directory reader. An entry with the same list is at
   * the reader's position, also if it missed deltas that changed nothing.
   *
   * @param aPosition The reader's position.
   * @param aDigest Digest of the reader's copy at that position.
   */
  void RecordPeerState(const DirectoryPosition& aPosition,
                       std::uint64_t aDigest,
                       Timestamp aNow);

  /**
   * Records the era that another entry knows. A later one than that of this
   * entry makes it read the directory; until then it relays no changes.
   *
   * @param aAge Time since the era became known.
   * @return The new era; nothing when it isn't new.
   */
  std::optional<FollowerUpdate> RecordPeerEra(DirectoryEra aEra,
                                              Milliseconds aAge,
                                              Timestamp aNow);

  /** @return Time since the era of Position() became known to an entry. */
  Milliseconds EraAge(Timestamp aNow) const { return mEra.Age(aNow); }

  /** @return Recent changes from this process's own calls, to be relayed to
   * other entries; nothing when there was no recent answer or too much has
   * changed. */
  std::optional<DirectoryDelta> RecentDelta(Timestamp aNow) const
  {
    return mDeltaLog.RecentDelta(aNow);
  }

  /** Records that peers with contact to the directory know the same state, so
   * that the time without calls of this process doesn't count as an outage. */
  void RecordPeerConfirmation(Timestamp aNow) { mPeerConfirmedAt = aNow; }

  /** @return The freshness to ask for in the next full read. The first read of
   * a process may be stale, since the changes after it are read before it is
   * used. */
  ReadFreshness Freshness() const
  {
    return mHasRead || mHasReadEarlierEra ? ReadFreshness::Newest
                                          : ReadFreshness::MayBeStale;
  }

  /** @return The document in force; null until the first one is known to be
   * the newest. */
  ForwardingDocumentPointer Document() const
  {
    return mMayBeStale ? nullptr : mDocument;
  }

  /** @return The newest document that was read, which may not be in force yet.
   */
  const ForwardingDocumentPointer& NewestDocument() const { return mDocument; }

  BackendList& Backends() { return mBackends; }
  const BackendList& Backends() const { return mBackends; }

  /** @return Whether a full read was made and, if it could be stale, the
   * changes after it were read too. */
  bool HasRead() const { return mHasRead && !mMayBeStale; }

  /** @return A digest of the list of backend servers, the evacuated zones and
   * the era in which they were read. */
  std::uint64_t Digest() const;

  /** @return Position up to which the directory is known. Its revision is 0
   * when a full read is needed first; its era is the latest known one. */
  DirectoryPosition Position() const { return mNext.mPosition; }

  /** @return Time since the last answer that counts as contact: a full read,
   * changes, or no changes while no server is listed. */
  Microseconds Age(Timestamp aNow) const { return aNow - mLastContact; }

private:
  void RecordFailure(FollowerUpdate& aUpdate,
                     DirectoryError aError,
                     Timestamp aNow);
  /** Records that a full read failed; the next one follows a pause. */
  void RecordFailedRead(FollowerUpdate& aUpdate,
                        DirectoryError aError,
                        Timestamp aNow);
  void RecordContact(FollowerUpdate& aUpdate, Timestamp aNow);
  /** Makes a newer era the current one, and a full read the next call.
   * @return Whether the era is newer. */
  bool EnterEra(DirectoryEra aEra,
                Timestamp aBeganAt,
                FollowerUpdate& aUpdate,
                Timestamp aNow);
  /** Prepares for the first contents of the current era.
   * @param aBase Position of the contents. */
  void BeginRead(const DirectoryPosition& aBase,
                 FollowerUpdate& aUpdate,
                 Timestamp aNow);
  /** @return Rest of the time in which withdrawn items are withheld. */
  Milliseconds HoldTime(Timestamp aNow) const;
  /** Applies changes of an era that isn't read yet. */
  void ApplyBeforeRead(const DirectoryDelta& aDelta,
                       Timestamp aNow,
                       FollowerUpdate& aUpdate);
  void Apply(const DirectoryChange& aChange,
             Timestamp aNow,
             FollowerUpdate& aUpdate);
  /** @return Time for which servers that are missing after an outage are kept.
   */
  Microseconds GracePeriod(Timestamp aNow) const;
  void ApplyZone(const ZoneEvacuation& aZone,
                 Timestamp aNow,
                 FollowerUpdate& aUpdate);
  /** Applies a change. @return The change if it has to be relayed to peers. */
  std::optional<RelayedChange> ApplyForRelay(const DirectoryChange& aChange,
                                             Timestamp aNow,
                                             FollowerUpdate& aUpdate);

  FollowerSettings mSettings;
  EraTracker mEra;
  DirectoryCall mNext;
  ForwardingDocumentPointer mDocument;
  BackendList mBackends;
  DirectoryDeltaLog mDeltaLog;
  bool mHasRead = false;
  /** The last full read may be stale, and the changes after it weren't read
   * yet. */
  bool mMayBeStale = false;
  bool mHasFailed = false;
  /** A full read was answered from an earlier era than the current one. */
  bool mHasReadEarlierEra = false;
  /** Positions of the last change of each zone. */
  std::map<ZoneName, DirectoryPosition> mZoneChanges;
  /** Positions of zone changes of an era that isn't read yet. */
  std::map<ZoneName, DirectoryPosition> mZonesBeforeRead;
  Milliseconds mRetryDelay;
  Timestamp mLastContact;
  Timestamp mPeerConfirmedAt;
  Timestamp mFailedAt;
  /** Start of the last call; unknown before the first one. */
  std::optional<Timestamp> mCallStartedAt;
  /** Start of the last call that failed. */
  std::optional<Timestamp> mFailedCallStartedAt;
  /** When the position was last known to be that of the directory. */
  Timestamp mPositionAt;
  /** When a delta was last applied. */
  Timestamp mDeltaAppliedAt;
};

} // namespace medlarkeel
