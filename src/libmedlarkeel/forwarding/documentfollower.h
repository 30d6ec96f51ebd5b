#pragma once

#include "directoryfollower.h"

namespace medlarkeel {

/** Intervals and limits for following the documents. */
struct DocumentFollowerSettings
{
  /** Pause between two calls for changes, which bounds the calls while the
   * directory answers at once. */
  Milliseconds mPause{ 50 };
  /** Maximum time that a call waits for a change. It is well below the time for
   * which the directory keeps its history. */
  Milliseconds mWait{ 10'000 };
  /** Delay after the first failed call. It doubles with each further failure
   * up to the maximum. */
  Milliseconds mFirstRetryDelay{ 100 };
  Milliseconds mMaximumRetryDelay{ 1000 };
  /** Time after which a version that another entry has read must have arrived
   * here; afterwards the documents are read apart from the waiting call, whose
   * connection may be dead. */
  Milliseconds mArrivalTime{ 300 };
  /** Minimum time between two such reads. */
  Milliseconds mReadInterval{ 500 };
};

/**
 * Determines the calls for documents and evacuations, which each entry makes
 * itself. They are few and must be in force soon, so they don't wait behind the
 * renewals of the backend servers. The contents go to DirectoryFollower.
 */
class DocumentFollower
{
public:
  explicit DocumentFollower(const DocumentFollowerSettings& aSettings);

  /** @return The next call. */
  DirectoryCall Next() const { return mNext; }

  /** @return Maximum time that a call waits for changes. */
  Milliseconds Wait() const { return mSettings.mWait; }

  /** Records the answer to the call that Next() gave. */
  void RecordAnswer(const DirectoryResult& aResult);

  /** Records the version of the newest document that another entry has read.
   */
  void RecordPeerVersion(std::uint64_t aVersion, Timestamp aNow);

  /**
   * Checks for a version that another entry has and the waiting call should
   * have delivered.
   *
   * @param aVersion Version of the newest document that was read here.
   * @return Whether to read the documents apart from that call.
   */
  bool TakeReadDue(std::uint64_t aVersion, Timestamp aNow);

private:
  DocumentFollowerSettings mSettings;
  DirectoryCall mNext;
  Milliseconds mRetryDelay;
  /** Newest version of the other entries, and when it became known. */
  std::uint64_t mPeerVersion = 0;
  Timestamp mPeerVersionAt;
  std::optional<Timestamp> mReadAt;
};

} // namespace medlarkeel
