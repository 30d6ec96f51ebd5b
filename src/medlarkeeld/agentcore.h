#pragma once

#include "backendscheduler.h"
#include "claimdesk.h"
#include "decisionlog.h"
#include "environmentdocument.h"
#include "instancelist.h"
#include "loadreport.h"
#include "pausedetector.h"
#include "refusal.h"
#include "runmailbox.h"
#include "settings.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

namespace medlarkeel {

/** What makes an agent refuse new work, the strongest first. */
struct AgentConditions
{
  bool mShuttingDown = false;
  bool mListedLeaving = false;
  bool mDocumentKnown = false;
  bool mZoneOut = false;
  bool mMustRevalidate = false;
  /** The backend server is to finish its work before a change. */
  bool mDraining = false;
};

/** Where a reservation comes from. */
struct RequestOrigin
{
  RequestId mRequest;
  /** Version of the document that the entry acted on. */
  std::uint64_t mDocumentVersion = 0;
  /** Adapter that the request names; empty for none. */
  AdapterName mAdapter;
};

/**
 * The decisions of one agent behind one mutex: what the backend server beside
 * it takes. Carries out the scheduler's actions by posting to the mailboxes
 * of the reservations.
 */
class AgentCore
{
public:
  /** @param aLog Gets a line for each decision; outlives the core. */
  AgentCore(const Settings& aSettings,
            Incarnation aIncarnation,
            DecisionLog& aLog);

  Incarnation OwnIncarnation() const { return mIncarnation; }

  /**
   * Queues, grants or refuses a reservation; the verdict is posted.
   *
   * @param aReservation Its id is set here.
   * @param aOrigin The request and the document that its entry acted on.
   * @param aMailbox Where messages about the reservation go.
   * @return The id of the reservation.
   */
  ReservationId Reserve(Reservation aReservation,
                        const RequestOrigin& aOrigin,
                        std::shared_ptr<RunMailbox> aMailbox);

  /**
   * @return The owner to ask about a call that can't be decided here: the
   *         availability zone of the owner is out, or the owner is leaving.
   */
  std::optional<VouchTarget> OwnerToAsk(const ClaimCall& aCall);

  /** Gives a key up to the asker if it has never run; called at the owner. */
  VouchDecision Vouch(const ClaimCall& aCall);

  /**
   * Notes that the owner gave a key up to this agent.
   *
   * @param aAskedAt When the owner was asked; the statement soon expires.
   */
  void RecordVouch(const ClaimKey& aKey, Timestamp aAskedAt);

  /**
   * Decides on a call by its claim alone: answers a repeat from the record or
   * refuses it.
   *
   * @param aMailbox Gets the answer, at once or when the first run ends.
   * @return Whether the call is new and may go on to reserve.
   */
  bool IsNewCall(const ClaimCall& aCall,
                 const std::shared_ptr<RunMailbox>& aMailbox);

  /**
   * Starts the work of a grant.
   *
   * @param aCall The claim to record, for a call that may not be repeated and
   *        has an idempotency key.
   * @return A refusal when the grant is void or the claim forbids the run.
   */
  CommitResult Commit(ReservationId aReservation,
                      GrantId aGrant,
                      Incarnation aIncarnation,
                      const std::optional<ClaimCall>& aCall);

  /** Keeps the answer of a claimed call for its repeats. */
  void RecordAnswer(const ClaimKey& aKey, StoredAnswer aAnswer);
  /** Records that a claimed call may have run without an answer. */
  void RecordUnknown(const ClaimKey& aKey);
  /** Records that nothing of a claimed call reached the backend server. */
  void RecordNotRun(const ClaimKey& aKey);

  /** @return A new key that only this agent accepts; nothing while it takes no
   *          new work. */
  std::optional<IdempotencyKey> IssueTicket();

  void RecordFirstToken(GrantId aGrant);
  void RecordTokens(GrantId aGrant, std::uint32_t aCount);

  /** Frees the slot of committed work. */
  void Finish(ReservationId aReservation, GrantId aGrant, FinishKind aKind);

  /** Drops a reservation whose stream has ended before its commit. */
  void Abandon(ReservationId aReservation);

  /** Takes a document that has come into force. */
  void ApplyDocument(const EnvironmentDocument& aDocument);

  /** Takes a reading of the platform's list. */
  void ApplyList(const InstanceList& aList,
                 Timestamp aSentAt,
                 Timestamp aReceivedAt);

  /** Ends the need for validation after a pause. */
  void RecordValidation(Timestamp aEvidenceSentAt);

  /** Refuses all new work from now on. */
  void BeginShutdown();

  /**
   * Begins or ends a drain: queued work is handed back as not run and new work
   * refused, running work finishes.
   */
  void SetDraining(bool aDraining);

  /** @return Whether the backend server has no work and gets none. */
  bool IsDrained();

  /** Notes that the backend server has loaded anew and is cold. */
  void RecordReload();

  /** Sets the adapters that requests may name. */
  void SetAdapters(std::set<AdapterName> aAdapters);

  /** @return Whether a request with the adapter waits or runs. */
  bool HasWorkFor(const AdapterName& aAdapter);

  /** Expires grants and notices pauses; called at short intervals. */
  void Tick();

  LoadSnapshot Load();

  /** @return Whether validation after a pause is still missing. */
  bool MustRevalidate();

private:
  using Lock = std::lock_guard<std::mutex>;

  Timestamp ObserveClock();
  void UpdateAccepting(Timestamp aNow);
  void CarryOut(const SchedulerActions& aActions);
  void Post(ReservationId aReservation, RunMessage aMessage);
  void Close(ReservationId aReservation, const Refusal& aRefusal);

  /** A reservation's way back and its request's name in the log. */
  struct Waiting
  {
    std::shared_ptr<RunMailbox> mMailbox;
    RequestId mRequest;
    AdapterName mAdapter;
  };

  std::string RequestOf(ReservationId aReservation) const;
  bool IsKeyWithdrawn(const Reservation& aReservation,
                      const RequestOrigin& aOrigin) const;
  /** @return Why the reservation can't even be queued, if so. */
  std::optional<Refusal> ReasonToReject(const Reservation& aReservation,
                                        const RequestOrigin& aOrigin) const;

  const InstanceId mSelf;
  const ZoneName mZone;
  const PoolName mPool;
  const Incarnation mIncarnation;

  std::mutex mMutex;
  BackendScheduler mScheduler;
  PauseDetector mPauses;
  AgentConditions mConditions;
  DecisionLog& mLog;
  std::map<ReservationId, Waiting> mWaiting;
  ClaimDesk mDesk;
  /** Callers' keys of the document in force. */
  std::set<std::pair<TeamName, KeyId>> mKeys;
  /** Adapters that requests may name; absent while not known. */
  std::optional<std::set<AdapterName>> mAdapters;
  std::uint64_t mDocumentVersion = 0;
  std::uint64_t mLastReservation = 0;
};

} // namespace medlarkeel
