#pragma once

#include "requestpriority.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace medlarkeel {

/** Distinguishes the callers' connections of a process. */
struct CallerId
{
  std::uint64_t mValue = 0;

  friend bool operator<(CallerId aLeft, CallerId aRight)
  {
    return aLeft.mValue < aRight.mValue;
  }
  friend bool operator==(CallerId aLeft, CallerId aRight)
  {
    return aLeft.mValue == aRight.mValue;
  }
};

/** @return The bound of an entry whose machine has this memory, in bytes. */
std::size_t
CallerMemoryBound(std::size_t aMachineBytes, double aShare);

struct CallerMemorySettings
{
  /** Most bytes that are held for all callers together. */
  std::size_t mBoundBytes = 0;
  /** Bytes that a connection takes while nothing is held for it: its objects
   * and those of its timer. */
  std::size_t mConnectionBytes = 4096;
  /** Bytes that the kernel may hold for a connection that isn't read. */
  std::size_t mUnreadBytes = 65'536;
  /** A request up to this size is small: it is read while there is memory at
   * all. A head is at most a quarter of it. */
  std::size_t mSmallBytes = 65'536;
  /** Time without progress after which a body counts as stalled. It is long
   * against the pauses of a working network, and a fraction of the time that a
   * request may take to arrive. */
  Milliseconds mStallTime{ 500 };
  /** The same for an answer that its caller doesn't read. Cutting it costs more
   * than refusing a request. */
  Milliseconds mAnswerStallTime{ 2000 };
  /** Bytes by which a connection must advance to count as advancing. */
  std::uint64_t mProgressBytes = 4096;
  /** Bytes of an answer that may wait for its caller while there is memory. */
  std::size_t mAnswerBytes = 262'144;
};

/** What a connection is doing. */
enum class CallerPhase : std::uint8_t
{
  /** No request has begun to arrive, and no answer is pending. */
  Idle,
  /** A request has begun to arrive. */
  Receiving,
  /** A request is complete, its answer isn't. */
  Running,
  /** The answer is complete and waits for the caller to read it. */
  Answering
};

/** What a connection holds, as its owner sees it. */
struct CallerUsage
{
  CallerPhase mPhase = CallerPhase::Idle;
  /** Bytes of heads, bodies and answers. */
  std::size_t mHeldBytes = 0;
  /** Bytes of the request that are still to arrive; the most possible if no
   * length was announced. 0 before its head is complete. */
  std::size_t mMissingBytes = 0;
  /** Whether a length was announced; else a request is small until it holds
   * more. */
  bool mIsLengthKnown = true;
  RequestPriority mPriority;
  /** Bytes that the connection has received and sent since it was made. */
  std::uint64_t mMovedBytes = 0;
};

enum class ReadVerdict : std::uint8_t
{
  Read,
  /** The connection isn't read until TakeResumable names it, or until the
   * request that runs on it has ended. */
  Pause,
  /** The request is refused, as nothing of it has run. */
  Refuse
};

struct ReadDecision
{
  ReadVerdict mVerdict = ReadVerdict::Read;
  /** Connections that lose what they hold: requests that haven't begun are
   * refused, connections whose callers don't read an answer are closed. */
  std::vector<CallerId> mEvicted;
};

struct ResumeDecision
{
  /** Paused connections that are read again. */
  std::vector<CallerId> mResumed;
  std::vector<CallerId> mEvicted;
};

/**
 * Bounds the memory that is held for all callers: requests that arrive, bodies
 * that may be sent again, and answers that aren't read.
 *
 * Up to three quarters of the bound everything is read. Beyond, up to seven
 * eighths, only those large requests are read that can be completed there, the
 * most urgent first and of these the one that lacks least; the rest is for
 * small requests. Memory is taken from connections without progress, the one
 * that has been stalled longest first, then from the large request that would
 * be read last. A request whose body is complete loses nothing; what arrives
 * behind it is read only up to three quarters of the bound, and the bytes of
 * its answer that may wait for the caller decrease from half of the bound on.
 */
class CallerMemory
{
public:
  explicit CallerMemory(const CallerMemorySettings& aSettings);

  /** Adds a connection. */
  CallerId Add(Timestamp aNow);

  void Remove(CallerId aCaller);

  /** Records what a connection holds now. */
  void Update(CallerId aCaller, const CallerUsage& aUsage, Timestamp aNow);

  /**
   * Decides on a connection that has bytes to be read.
   *
   * @param aBytes Bytes that would be read.
   */
  ReadDecision Decide(CallerId aCaller, std::size_t aBytes, Timestamp aNow);

  /**
   * @return Bytes of an answer that may wait for its caller before reading from
   * the server pauses. With 0 it pauses until the caller has taken all of them,
   * so that an answer whose caller reads always goes on.
   */
  std::size_t AnswerAllowance() const;

  /** @return Which paused connections are read again; call it while HasPaused,
   * after memory was released and in intervals shorter than the stall time. */
  ResumeDecision TakeResumable(Timestamp aNow);

  /**
   * Makes room where bytes arrive without a decision, as the connections are
   * read by others.
   *
   * @return Connections that lose what they hold.
   */
  std::vector<CallerId> ReleaseExcess(Timestamp aNow);

  bool HasPaused() const { return mPausedCount > 0; }

  bool IsPaused(CallerId aCaller) const;

  /** @return Bytes that are held for all connections. */
  std::size_t TotalBytes() const { return mTotal; }

  std::size_t BoundBytes() const { return mSettings.mBoundBytes; }

private:
  using ReadOrder = std::tuple<RequestPriority, std::size_t, CallerId>;
  using StallOrder = std::pair<Timestamp, CallerId>;

  struct Account
  {
    CallerUsage mUsage;
    /** What the connection adds to the total. */
    std::size_t mCounted = 0;
    /** When the connection last advanced. */
    Timestamp mAdvancedAt;
    std::uint64_t mAdvancedBytes = 0;
    bool mIsPaused = false;
    std::optional<ReadOrder> mReadOrder;
    /** When it counts as stalled. */
    std::optional<StallOrder> mStallOrder;
  };

  bool IsLarge(const Account& aAccount) const;
  /** Counts an account anew and sorts it into the orders. */
  void Sort(CallerId aCaller, Account& aAccount);
  void Unsort(CallerId aCaller, Account& aAccount);
  void SetPaused(CallerId aCaller, Account& aAccount, bool aIsPaused);
  void Evict(CallerId aCaller, std::vector<CallerId>& aEvicted);
  /** Evicts stalled connections until the bytes fit or none is left. */
  bool MakeRoom(std::size_t aBytes,
                std::size_t aLimit,
                CallerId aFor,
                Timestamp aNow,
                std::vector<CallerId>& aEvicted);
  /** Evicts large requests, the last first, until the bytes fit.
   * @return Whether they do. */
  bool EvictLast(std::size_t aBytes,
                 std::size_t aLimit,
                 CallerId aFor,
                 std::vector<CallerId>& aEvicted);
  /** @return Whether the large request can be completed, counting those that
   * come before it. */
  bool IsAmongFirst(CallerId aCaller) const;
  /** Decides on bytes behind a request that runs. */
  ReadVerdict DecideAhead(std::size_t aBytes) const;
  /** Adds the paused connections with running requests for whose next bytes
   * there is room. */
  void AddResumableAhead(std::vector<CallerId>& aResumed) const;
  ReadVerdict DecideLarge(CallerId aCaller,
                          std::size_t aBytes,
                          std::vector<CallerId>& aEvicted);

  CallerMemorySettings mSettings;
  /** From here on less of answers may wait for callers. */
  std::size_t mAnswerMark;
  /** Up to here everything is read. */
  std::size_t mPressureMark;
  /** Up to here large requests are read that come first. */
  std::size_t mLargeMark;
  std::uint64_t mLastId = 0;
  std::size_t mTotal = 0;
  std::size_t mPausedCount = 0;
  std::map<CallerId, Account> mAccounts;
  /** Large requests that arrive, in the order in which they are read. */
  std::set<ReadOrder> mReadOrders;
  /** Paused connections whose requests run. */
  std::set<CallerId> mPausedAhead;
  /** Connections that may become stalled, by the time at which they do. */
  std::set<StallOrder> mStallOrders;
};

} // namespace medlarkeel
