#pragma once

#include "idempotencykey.h"
#include "refusal.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace medlarkeel {

/** SHA-256 or another collision-free hash of a request's body, as bytes. */
using BodyHash = StrongId<struct BodyHashTag>;

/** Names one operation of one team. */
struct ClaimKey
{
  TeamName mTeam;
  /** Empty when the caller gave none: such a call has no repeat. */
  IdempotencyKey mKey;

  friend bool operator<(const ClaimKey& aLeft, const ClaimKey& aRight)
  {
    return std::tie(aLeft.mTeam, aLeft.mKey) <
           std::tie(aRight.mTeam, aRight.mKey);
  }
};

/** The clocks and the ownership as they are at one claim. */
struct ClaimEvidence
{
  Timestamp mNow;
  WallTime mWallNow;
  /** Whether this process owns the key; tickets need no owner. */
  bool mIsOwner = false;
  /**
   * Since when no other process can have run the key for the first time;
   * nothing while that isn't certain.
   */
  std::optional<Timestamp> mExclusiveSince;
  /**
   * Whether the owner has just stated that the key has never run and that it
   * gives the key up to this process alone.
   */
  bool mIsVouched = false;
};

/** The back end's answer, kept for repeats. */
struct StoredAnswer
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
};

enum class ClaimVerdict
{
  Run,
  Replay,
  StillRunning,
  /** The key was used with another body. */
  Mismatch,
  /** Another process, or this one, may have run it: it doesn't run. */
  PossibleRepeat,
  /** Another process is to decide; it hasn't run here. */
  NotOwner
};

struct ClaimDecision
{
  ClaimVerdict mVerdict = ClaimVerdict::PossibleRepeat;
  /** What a refusal may state about the run. */
  Executed mExecuted = Executed::Unknown;
  /** The answer to replay; null for every other verdict. */
  std::shared_ptr<const StoredAnswer> mAnswer;
};

/** Bounds of a claim table. */
struct ClaimLimits
{
  /** Longest time after its first call that an opaque key is repeated. */
  Milliseconds mRepeatWindow{ 3600 * 1000 };
  /** Largest difference between a caller's clock and this instance's. */
  Milliseconds mClockSkew{ 5000 };
  std::size_t mAnswerBytes = std::size_t{ 16 } << 20U;
  std::size_t mEntries = 50000;
};

/**
 * Runs each operation that may not be repeated at most once: records its key
 * before the run and answers repeats from the record. A key without record
 * runs only if it is certain that no other process and no forgotten record
 * has run it.
 */
class ClaimTable
{
public:
  /** @param aStarted When this process began; it knows nothing older. */
  ClaimTable(InstanceId aInstance,
             Incarnation aIncarnation,
             Timestamp aStarted,
             ClaimLimits aLimits = {});
  ClaimTable(const ClaimTable&) = delete;
  ClaimTable& operator=(const ClaimTable&) = delete;

  /** @return What Claim would decide now; records nothing. */
  ClaimDecision Look(const ClaimKey& aKey,
                     const BodyHash& aBody,
                     const ClaimEvidence& aEvidence) const;

  /**
   * Decides on a call and, with the verdict Run, records that it runs. The
   * caller reports the end by one of the Record functions.
   */
  ClaimDecision Claim(const ClaimKey& aKey,
                      const BodyHash& aBody,
                      const ClaimEvidence& aEvidence);

  /** Keeps the answer of a run for repeats. */
  void RecordAnswer(const ClaimKey& aKey, StoredAnswer aAnswer);

  /** Records that the outcome can't be had; the key never runs again. */
  void RecordUnknown(const ClaimKey& aKey);

  /** Forgets a claim of which nothing has reached the back end. */
  void RecordNotRun(const ClaimKey& aKey);

  /** Sets how long after its first call an opaque key is repeated. */
  void SetRepeatWindow(Milliseconds aWindow);

  /** @return A new key that only this process accepts. */
  IdempotencyKey IssueTicket(Timestamp aNow);

  std::size_t Size() const { return mRecords.size(); }
  std::size_t AnswerBytes() const { return mAnswerBytes; }

private:
  enum class RecordState
  {
    Running,
    Answered,
    /** Ran, but the answer is no longer kept. */
    AnswerDropped,
    Unknown
  };

  struct Record
  {
    BodyHash mBody;
    RecordState mState = RecordState::Running;
    Timestamp mClaimed;
    std::shared_ptr<const StoredAnswer> mAnswer;
  };

  using Records = std::map<ClaimKey, Record>;
  /** Orders records by the time of their claim. */
  using AgeIndex = std::set<std::pair<Timestamp, const ClaimKey*>>;

  static ClaimDecision DecideKnown(const Record& aRecord,
                                   const BodyHash& aBody);
  ClaimDecision DecideUnknown(const ClaimKey& aKey,
                              const ClaimEvidence& aEvidence) const;
  bool IsOwnTicket(const Ticket& aTicket) const;
  bool IsFresh(const IdempotencyKey& aKey,
               const ClaimEvidence& aEvidence,
               Timestamp aExclusiveSince) const;
  Records::iterator FindRunning(const ClaimKey& aKey);
  void KeepBounds();
  void DropOldestAnswer();
  void ForgetOldest();

  const InstanceId mInstance;
  const Incarnation mIncarnation;
  ClaimLimits mLimits;
  Records mRecords;
  /** Records whose answer is kept. */
  AgeIndex mAnswered;
  /** All records that have ended. */
  AgeIndex mEnded;
  std::size_t mAnswerBytes = 0;
  std::uint64_t mLastTicket = 0;
  /** Claims made here after this time are all on record. */
  Timestamp mCompleteSince;
};

} // namespace medlarkeel
