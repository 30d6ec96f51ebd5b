#pragma once

#include "admittedrequest.h"
#include "decisionlog.h"
#include "documentview.h"
#include "fleetview.h"
#include "instancelist.h"
#include "nodecounters.h"
#include "rangeownership.h"
#include "refusal.h"
#include "replicachooser.h"
#include "retrybudget.h"
#include "settings.h"
#include "types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace medlarkeel {

/** The agent for the next attempt, or why there is none. */
struct AgentChoice
{
  std::optional<InstanceId> mAgent;
  std::string mAddress;
  /** What to answer when no attempt can be made. */
  Refusal mRefusal;
};

/** How a request ended. */
struct RequestEnd
{
  bool mServed = false;
  bool mAborted = false;
  Refusal mRefusal;
  Timestamp mEndedAt;
  std::optional<Timestamp> mFirstByteAt;
  std::uint64_t mEvents = 0;
  int mStatus = 0;
};

/**
 * The decisions of one entry behind one mutex: which agent gets a request and
 * whether a request may go on.
 */
class EntryCore
{
public:
  /**
   * @param aLog Gets a line for each routing decision; outlives the core.
   * @param aCounters Counts how requests end; outlives the core.
   */
  EntryCore(const Settings& aSettings,
            std::uint64_t aSeed,
            DecisionLog& aLog,
            NodeCounters& aCounters);

  void ApplyDocument(DocumentViewPtr aView);
  void ApplyList(const InstanceList& aList,
                 Timestamp aSentAt,
                 Timestamp aReceivedAt);
  void ResumeAfterPause();

  /** @return The document in force; null before the first. */
  DocumentViewPtr View();

  /** Chooses the agent for an attempt; logs what was considered. */
  AgentChoice ChooseAgent(const AdmittedRequest& aRequest,
                          const ChoiceRequest& aNeeds);

  /** Chooses an agent of a plain service to issue an idempotency key. */
  AgentChoice ChooseIssuer(const PoolName& aPool);

  /** @return Why the request must not be committed, if so. */
  std::optional<RefusalReason> ReasonToStop(const AdmittedRequest& aRequest);

  /** @return Why a running request must be cut, if so. */
  std::optional<RefusalReason> ReasonToCut(const AdmittedRequest& aRequest);

  /** Forgets what was learnt of an agent's former life, if it restarted. */
  void RecordIncarnation(const InstanceId& aAgent, Incarnation aIncarnation);

  void RecordSent(const InstanceId& aAgent);
  void RecordContact(const InstanceId& aAgent, const LoadSnapshot& aLoad);
  void RecordFirstToken(const ChoiceRequest& aNeeds,
                        const InstanceId& aAgent,
                        Microseconds aWait,
                        Microseconds aPrefill);
  void RecordFinished(const InstanceId& aAgent, Microseconds aDuration);
  void RecordFailed(const InstanceId& aAgent);
  void RecordSilence(const InstanceId& aAgent);
  void RecordWithdrawn(const InstanceId& aAgent);
  /** @param aGap Time between two pieces of the request's answer. */
  void RecordTokenGap(const AdmittedRequest& aRequest, Microseconds aGap);
  void RecordDroppedFrame();
  void RecordOutcome(const AdmittedRequest& aRequest, const RequestEnd& aEnd);

  /** @return Why callers should go to another entry, if so. */
  std::optional<std::string> ReasonNotReady();

  /** @return Agents that are due for a probe. */
  std::vector<InstanceRecord> TakeDueProbes();

  RetryBudget& ReservationBudget() { return mReservationBudget; }
  RetryBudget& RestartBudget() { return mRestartBudget; }
  /** Guards both budgets. */
  std::mutex& BudgetMutex() { return mBudgetMutex; }

private:
  using Lock = std::lock_guard<std::mutex>;

  AgentChoice ChooseOwner(const AdmittedRequest& aRequest);
  /** Chooses among the agents that are known to have the adapter, and among
   * all if none is: what is known of adapters may be old, and an agent without
   * the adapter refuses at once. */
  Choice ChooseCandidate(const ChoiceRequest& aNeeds);
  AgentChoice ChooseReplica(const AdmittedRequest& aRequest,
                            const ChoiceRequest& aNeeds);
  /** Runs a change to the chooser and logs what it did to a breaker. */
  void ChangeBreaker(const InstanceId& aAgent,
                     const std::function<void()>& aChange);
  void LogEnd(const AdmittedRequest& aRequest, const RequestEnd& aEnd);
  InstanceId OwnerOf(const AdmittedRequest& aRequest) const;

  const Settings mSettings;
  DecisionLog& mLog;
  NodeCounters& mCounters;
  std::mutex mMutex;
  DocumentViewPtr mView;
  FleetView mFleet;
  ReplicaChooser mChooser;
  /** Owners of idempotency keys, by pool. */
  std::map<PoolName, RangeOwnership> mOwners;
  std::map<InstanceId, Incarnation> mIncarnations;
  Timestamp mNextProbe;
  std::mutex mBudgetMutex;
  RetryBudget mReservationBudget;
  RetryBudget mRestartBudget;
};

} // namespace medlarkeel
