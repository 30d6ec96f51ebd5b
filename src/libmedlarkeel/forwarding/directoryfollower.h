#pragma once

#include "directorynews.h"

#include <algorithm>

namespace medlarkeel {

/** How the directory is followed. */
struct FollowerSettings
{
  /** Pause between two calls for changes: bounds the calls of one process;
   * well below the time in which a change must be in force. */
  Milliseconds mPause{ 300 };
  /** Longest wait for a change; backend servers beat at least that often, so
   * an empty answer shows that changes aren't delivered. */
  Milliseconds mWait{ 800 };
  /** The same for a process that hasn't called for longer than that: changes
   * are there already, so that a silent call is noticed sooner. */
  Milliseconds mCatchUpWait{ 100 };
  /** Longest time for which others are relied on: below the time for which the
   * directory keeps its history. */
  Milliseconds mMostQuiet{ 14'000 };
  /** First pause after a failed call; doubles up to the greatest. */
  Milliseconds mFirstRetry{ 100 };
  Milliseconds mMostRetry{ 500 };
  /** Time without contact after which missing servers may only have lost
   * their leases: two heartbeats. */
  Milliseconds mOutage{ 2000 };
  /** How long such servers are kept: they re-register within two seconds. */
  Milliseconds mHold{ 2300 };
  /** How long after its removal was published a server is kept at most. */
  Milliseconds mMostRemovalDelay{ 1500 };
};

/**
 * @param aChangeBound Time in which a change must be in force.
 * @param aHeartbeat Interval in which backend servers renew their entries.
 */
FollowerSettings
FollowerSettingsFor(Milliseconds aChangeBound, Milliseconds aHeartbeat);

/** The next call to the directory. */
struct FollowerStep
{
  enum class Kind
  {
    ReadAll,
    Watch
  };
  Kind mKind = Kind::ReadAll;
  /** Pause before the call. */
  Milliseconds mDelay{ 0 };
  /** Revision up to which everything is known; 0 when that isn't sure. */
  std::uint64_t mRevision = 0;
};

/** What the answer to a call changed, for the log. */
struct FollowerNews
{
  bool mHasNewDocument = false;
  bool mWasRegained = false;
  bool mWasLost = false;
  /** Time without contact before it was regained. */
  Microseconds mOutage{ 0 };
  std::vector<std::pair<InstanceId, BackendChange>> mBackends;
  std::vector<ZoneEvacuation> mZones;
  std::vector<UnreadableItem> mUnreadable;
};

/**
 * Decides which call to the directory comes next and keeps what it says: the
 * document in force, which never goes back, and the list of backend servers.
 */
class DirectoryFollower
{
public:
  explicit DirectoryFollower(const FollowerSettings& aSettings);

  /** @return The next call. */
  FollowerStep Next() const { return mNext; }

  /** @return Longest wait of a call for changes. */
  Milliseconds Wait(Timestamp aNow) const
  {
    return mIsOld || Age(aNow) > mSettings.mWait ? mSettings.mCatchUpWait
                                                 : mSettings.mWait;
  }

  /** @return Whether the next call may be left out while others confirm what
   * is known. */
  bool MayStayQuiet(Timestamp aNow) const
  {
    const Timestamp last = mIsLost ? mLostAt : std::max(mLastContact, mToldAt);
    return HasRead() && mNext.mRevision != 0 &&
           aNow - last < mSettings.mMostQuiet;
  }

  /** @return Whether the last call failed, so that others should follow the
   * directory in place of this process. */
  bool IsLost() const { return mIsLost; }

  /** Takes over the answer to a full reading. */
  FollowerNews RecordRead(const DirectoryResult& aResult,
                          Timestamp aNow,
                          ReadFreshness aFreshness = ReadFreshness::Newest);

  /** Takes over the answer to a call for changes. */
  FollowerNews RecordWatch(const DirectoryResult& aResult, Timestamp aNow);

  /**
   * Takes over what a reader of the directory told; an own call may be under
   * way.
   *
   * @return What has changed; nothing when the news doesn't follow on what is
   * known.
   */
  std::optional<FollowerNews> RecordTold(const DirectoryNews& aNews,
                                         Timestamp aNow);

  /** @return What the own calls brought lately, for the other entries. */
  std::optional<DirectoryNews> News(Timestamp aNow) const
  {
    return mNews.News(aNow);
  }

  /** Notes that others heard from the directory and know the same, so that
   * the time without calls of its own isn't an outage. */
  void RecordConfirmed(Timestamp aNow) { mConfirmedAt = aNow; }

  /** @return How new the next full reading must be: the first one of a process
   * may be old, as the changes behind it are read before it counts. */
  ReadFreshness Freshness() const
  {
    return mHasRead ? ReadFreshness::Newest : ReadFreshness::MayBeOld;
  }

  /** @return The document in force, or nothing before the first one is known
   * to be the newest. */
  ForwardingDocumentPointer Document() const
  {
    return mIsOld ? nullptr : mDocument;
  }

  /** @return The newest document that was read; it may not be in force yet. */
  const ForwardingDocumentPointer& NewestDocument() const { return mDocument; }

  BackendList& Backends() { return mBackends; }
  const BackendList& Backends() const { return mBackends; }

  /** @return Whether everything was read at least once, and what has changed
   * since the first reading. */
  bool HasRead() const { return mHasRead && !mIsOld; }

  /** @return A digest of the document's version and the list. */
  std::uint64_t Digest() const;

  /** @return Revision up to which the directory is known; 0 before a full
   * reading. */
  std::uint64_t Revision() const { return mNext.mRevision; }

  /** @return Time since the last answer with content. */
  Microseconds Age(Timestamp aNow) const { return aNow - mLastContact; }

private:
  void RecordFailure(FollowerNews& aNews,
                     DirectoryError aError,
                     Timestamp aNow);
  void RecordContact(FollowerNews& aNews, Timestamp aNow);
  void Apply(const DirectoryChange& aChange,
             Timestamp aNow,
             FollowerNews& aNews);
  void ApplyZone(const ZoneEvacuation& aZone, FollowerNews& aNews);
  /** Applies a change. @return It, if it is to be told to others. */
  std::optional<ToldChange> ApplyAndTell(const DirectoryChange& aChange,
                                         Timestamp aNow,
                                         FollowerNews& aNews);

  FollowerSettings mSettings;
  FollowerStep mNext;
  ForwardingDocumentPointer mDocument;
  BackendList mBackends;
  DirectoryNewsLog mNews;
  bool mHasRead = false;
  /** Only the first reading was made, which may be old. */
  bool mIsOld = false;
  bool mIsLost = false;
  Milliseconds mRetry;
  Timestamp mLastContact;
  Timestamp mConfirmedAt;
  /** When the last call failed. */
  Timestamp mLostAt;
  /** When others last told what had changed. */
  Timestamp mToldAt;
};

} // namespace medlarkeel
