#pragma once

#include "backendscheduler.h"
#include "environmentdocument.h"
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

namespace medlarkeel {

/** What makes an agent refuse new work, the strongest first. */
struct AgentConditions
{
  bool mShuttingDown = false;
  bool mListedLeaving = false;
  bool mDocumentKnown = false;
  bool mZoneOut = false;
  bool mMustRevalidate = false;
};

/**
 * The decisions of one agent behind one mutex: what the backend server beside
 * it takes. Carries out the scheduler's actions by posting to the mailboxes
 * of the reservations.
 */
class AgentCore
{
public:
  AgentCore(const Settings& aSettings, Incarnation aIncarnation);

  Incarnation OwnIncarnation() const { return mIncarnation; }

  /**
   * Queues, grants or refuses a reservation; the verdict is posted.
   *
   * @param aReservation Its id is set here.
   * @param aMailbox Where messages about the reservation go.
   * @return The id of the reservation.
   */
  ReservationId Reserve(Reservation aReservation,
                        std::shared_ptr<RunMailbox> aMailbox);

  /**
   * Starts the work of a grant.
   *
   * @return A refusal "not run" when the grant is void.
   */
  CommitResult Commit(ReservationId aReservation,
                      GrantId aGrant,
                      Incarnation aIncarnation);

  void RecordFirstToken(GrantId aGrant);
  void RecordTokens(GrantId aGrant, std::uint32_t aCount);

  /** Frees the slot of committed work. */
  void Finish(ReservationId aReservation, GrantId aGrant, FinishKind aKind);

  /** Drops a reservation whose stream has ended before its commit. */
  void Abandon(ReservationId aReservation);

  /** Takes a document that has come into force. */
  void ApplyDocument(const EnvironmentDocument& aDocument);

  /** Takes the own state as the platform lists it. */
  void ApplyListing(InstanceState aState);

  /** Ends the need for validation after a pause. */
  void RecordValidation(Timestamp aEvidenceSentAt);

  /** Refuses all new work from now on. */
  void BeginShutdown();

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

  const InstanceId mSelf;
  const ZoneName mZone;
  const PoolName mPool;
  const Incarnation mIncarnation;

  std::mutex mMutex;
  BackendScheduler mScheduler;
  PauseDetector mPauses;
  AgentConditions mConditions;
  std::map<ReservationId, std::shared_ptr<RunMailbox>> mMailboxes;
  std::uint64_t mLastReservation = 0;
};

} // namespace medlarkeel
