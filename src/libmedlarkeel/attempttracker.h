#pragma once

#include "refusal.h"
#include "retrybudget.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace medlarkeel {

/** State of one request at the entry. */
enum class RequestState
{
  /** An agent is to be chosen; nothing is sent. */
  Choosing,
  /** At least one reservation waits for its grant. */
  Reserving,
  /** A grant is held; nothing was committed on it. */
  Granted,
  /** A commit was sent; no part of the answer has come. */
  Committed,
  /** The answer has begun. */
  Streaming,
  /** The caller has the whole answer. */
  Done,
  /** The caller has a refusal or an error event, or has left. */
  Refused
};

/** @return The state in kebab case, for the log. */
const char*
RequestStateText(RequestState aState);

/** What binds one request. */
struct AttemptRules
{
  RequestId mRequest;
  /** Whether a run may be repeated without harm. */
  bool mRepeatable = true;
  /** Whether only the owner of its idempotency key may be asked. */
  bool mOwnerOnly = false;
  std::optional<Timestamp> mDeadline;
  /** Reservations and commits together that may be begun. */
  std::uint64_t mMaxAttempts = 4;
  /** Reservations that may wait at once. */
  std::size_t mMaxOpenReservations = 2;
};

/** A grant as the agent sent it. */
struct Grant
{
  std::uint64_t mId = 0;
  Incarnation mIncarnation;
  /** Time that it is valid, counted from when it was sent. */
  Microseconds mValidFor{ 0 };
};

/** Choose another agent, not one of Exclusions(), and begin an attempt. */
struct ChooseAgent
{};

/** Check the key and the document again, then call Commit(). */
struct ConfirmGrant
{
  std::uint64_t mAttempt = 0;
};

/** Send the commit; the request counts as possibly run from here on. */
struct SendCommit
{
  std::uint64_t mAttempt = 0;
  Grant mGrant;
};

/** Cancel the attempt at its agent; whatever it still sends is dropped. */
struct CancelAttempt
{
  std::uint64_t mAttempt = 0;
};

/** Send the answer's head to the caller. */
struct RelayHead
{
  std::uint64_t mAttempt = 0;
};

/** End the answer cleanly: the caller has all of it. */
struct FinishAnswer
{};

/** Answer with a refusal; no byte of an answer was sent. */
struct RefuseRequest
{
  Refusal mRefusal;
};

/** End a begun answer with an explicit error event, never cleanly. */
struct AbortAnswer
{
  Refusal mRefusal;
};

using AttemptAction = std::variant<ChooseAgent,
                                   ConfirmGrant,
                                   SendCommit,
                                   CancelAttempt,
                                   RelayHead,
                                   FinishAnswer,
                                   RefuseRequest,
                                   AbortAnswer>;
using AttemptActions = std::vector<AttemptAction>;

/** What becomes of one frame of an answer. */
enum class ChunkVerdict
{
  /** Send it to the caller. */
  Deliver,
  /** It was delivered before, or its attempt or request is over. */
  DropLate,
  /** It belongs to another request or to an attempt never begun here. */
  DropForeign,
  /** Bytes before it are missing: treat the attempt as lost. */
  Gap
};

/**
 * Follows one request through its attempts and says what may happen on each
 * event. It keeps these rules whatever order events come in:
 *
 * - A request that may not be repeated is committed at most once.
 * - A refusal says "not run" only if no commit was sent, or if each agent that
 *   got a commit said itself that it didn't run it. For a call that only the
 *   owner of its idempotency key decides on, the owner must also have said that
 *   the key is new: an earlier call may have run.
 * - The bytes delivered come from one attempt, in order and without a gap, and
 *   the answer ends cleanly only if they are all.
 */
class AttemptTracker
{
public:
  /**
   * @param aRules What binds the request.
   * @param aReservationBudget Pays for reservations after the first.
   * @param aRestartBudget Pays for commits after the first.
   * @param aParallelBudget Pays for reservations beside one that waits; null
   *        when there are to be none.
   */
  AttemptTracker(AttemptRules aRules,
                 RetryBudget& aReservationBudget,
                 RetryBudget& aRestartBudget,
                 RetryBudget* aParallelBudget = nullptr);

  /**
   * @return Whether a reservation may be begun beside one that waits. The first
   *         grant is taken and the other reservation cancelled.
   */
  bool MayReserveBeside() const;

  /**
   * Begins an attempt with a reservation, the first one, the next one after
   * ChooseAgent, or one beside another that still waits.
   *
   * @param aAgent The chosen agent.
   * @return The attempt's number, or nothing when none may be begun now.
   */
  std::optional<std::uint64_t> BeginAttempt(const InstanceId& aAgent);

  /** No agent was eligible: ends the request unless a reservation waits. */
  AttemptActions OnNoAgent(const Refusal& aRefusal);

  /**
   * An agent granted a slot.
   *
   * @param aAttempt The attempt.
   * @param aGrant The grant.
   * @param aNow The present time.
   * @return What to do; a late or superfluous grant is cancelled.
   */
  AttemptActions OnGranted(std::uint64_t aAttempt,
                           const Grant& aGrant,
                           Timestamp aNow);

  /**
   * The key and the document allow the commit.
   *
   * @param aNow The present time; a grant too old by it isn't used.
   * @return SendCommit, or what follows from a grant that ran out.
   */
  AttemptActions Commit(Timestamp aNow);

  /** An agent refused an attempt, before or after its commit. */
  AttemptActions OnRefused(std::uint64_t aAttempt,
                           const Refusal& aRefusal,
                           Timestamp aNow);

  /** An agent began its answer with an HTTP status. */
  AttemptActions OnHead(std::uint64_t aAttempt, int aStatus);

  /**
   * An agent answers from the record of an earlier run, so there is no grant
   * and no commit.
   */
  AttemptActions OnReplay(std::uint64_t aAttempt, int aStatus);

  /**
   * Judges one frame of an answer and counts it when it is to be delivered.
   * After Gap, call OnAgentLost().
   *
   * @param aRequest The request that the frame names.
   * @param aAttempt The attempt that the frame names.
   * @param aOffset Offset of its first byte in the answer.
   * @param aSize Its bytes.
   * @return What becomes of it.
   */
  ChunkVerdict AcceptChunk(const RequestId& aRequest,
                           std::uint64_t aAttempt,
                           std::uint64_t aOffset,
                           std::uint64_t aSize);

  /** An agent ended its answer after aTotalBytes. */
  AttemptActions OnDone(std::uint64_t aAttempt,
                        std::uint64_t aTotalBytes,
                        Timestamp aNow);

  /** An agent broke off, was silent for too long or left a gap. */
  AttemptActions OnAgentLost(std::uint64_t aAttempt, Timestamp aNow);

  /** The deadline has passed. */
  AttemptActions OnDeadline();

  /** The caller has left. Work that may not be repeated runs on. */
  AttemptActions OnCallerGone();

  /**
   * The entry itself ends the request, because the key was withdrawn or the
   * entry must stop.
   *
   * @param aReason The reason for the caller.
   * @return A refusal or an error event, and cancellations.
   */
  AttemptActions Terminate(RefusalReason aReason);

  RequestState State() const { return mState; }

  /** @return Whether the request has ended. */
  bool IsOver() const;

  /** @return Whether the request was run, as far as the entry knows. */
  Executed ExecutedSoFar() const;

  /** @return Agents that this request has tried. */
  std::vector<InstanceId> Exclusions() const;

  /** @return The agent of an attempt, if it was begun here. */
  std::optional<InstanceId> AgentOf(std::uint64_t aAttempt) const;

  /** @return The attempt whose answer is taken, if one was committed. */
  std::optional<std::uint64_t> CommittedAttempt() const { return mCurrent; }

  /** @return Bytes of the answer delivered to the caller. */
  std::uint64_t DeliveredBytes() const { return mDelivered; }

  /** @return Commits that were sent. */
  std::uint64_t CommitCount() const;

private:
  enum class Phase
  {
    Reserving,
    Granted,
    Committed,
    Closed
  };

  /** What is known of a commit's run. */
  enum class CommitFate
  {
    NotSent,
    Unknown,
    NotRun,
    Run
  };

  struct Attempt
  {
    InstanceId mAgent;
    Phase mPhase = Phase::Reserving;
    CommitFate mFate = CommitFate::NotSent;
    Grant mGrant;
    Timestamp mGrantedAt;
  };

  Attempt* Find(std::uint64_t aAttempt);
  bool IsCurrent(std::uint64_t aAttempt) const;
  std::size_t OpenReservations() const;
  bool IsPastDeadline(Timestamp aNow) const;
  void RecordFirstAttempt();
  void CancelAll(bool aCancelCommitted, AttemptActions& aActions);
  AttemptActions AfterUncommittedEnd(const Refusal& aRefusal, Timestamp aNow);
  AttemptActions AfterCommittedEnd(const Refusal& aRefusal, Timestamp aNow);
  AttemptActions End(Refusal aRefusal, bool aCancelCommitted);

  AttemptRules mRules;
  RetryBudget& mReservationBudget;
  RetryBudget& mRestartBudget;
  RetryBudget* mParallelBudget;
  RequestState mState = RequestState::Choosing;
  /** Attempt n is at index n - 1. */
  std::vector<Attempt> mAttempts;
  /** Whether an agent has said that the call is new to it. */
  bool mIsNewToOwner = false;
  std::optional<std::uint64_t> mGranted;
  std::optional<std::uint64_t> mCurrent;
  std::optional<int> mRelayedStatus;
  std::uint64_t mDelivered = 0;
};

} // namespace medlarkeel
