#pragma once

#include "agentcore.h"
#include "backendcall.h"
#include "decisionlog.h"
#include "nodecounters.h"
#include "runmailbox.h"
#include "runthreads.h"
#include "servereventcounter.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace medlarkeel {

/** Work that an agent has committed to its backend server. */
struct CommittedWork
{
  ReservationId mReservation;
  GrantId mGrant;
  ClassName mClass;
  PoolKind mKind = PoolKind::Model;
  bool mRepeatable = true;
  BackendRequest mRequest;
};

/** What runs work with; outlives every run. */
struct RunEnvironment
{
  AgentCore& mCore;
  RunThreads& mRuns;
  NodeCounters& mCounters;
  DecisionLog& mLog;
};

/** What a run leaves for later repeats of the same call. */
struct RunOutcome
{
  CallEnd mEnd = CallEnd::NotRun;
  int mStatus = 0;
  std::string mContentType;
  /** Whole body; kept only for work that may not be repeated. */
  std::string mBody;
};

/**
 * One call to the backend server on a thread of the agent. The stream that
 * asked for it may vanish; work that may not be repeated goes on.
 */
class BackendRun : private BackendCallObserver
{
public:
  using OutcomeRecorder = std::function<void(const RunOutcome&)>;

  /**
   * Starts the call.
   *
   * @param aRecorder Told of the outcome before the mailbox is.
   */
  static std::shared_ptr<BackendRun> Start(RunEnvironment aEnvironment,
                                           const std::string& aBaseUrl,
                                           CommittedWork aWork,
                                           std::shared_ptr<RunMailbox> aMailbox,
                                           OutcomeRecorder aRecorder);

  /** Asks the run to end, unless its work may not be repeated. */
  void Abort();

private:
  BackendRun(RunEnvironment aEnvironment,
             CommittedWork aWork,
             std::shared_ptr<RunMailbox> aMailbox,
             OutcomeRecorder aRecorder);

  bool MustStop() const { return mAborted || mEnvironment.mRuns.IsCut(); }
  void Execute(const std::string& aBaseUrl);
  void Conclude(const CallResult& aResult);
  /** Counts and logs why an answer is broken. */
  void RecordFault(AnswerFault aFault);
  FinishKind KindOf(CallEnd aEnd) const;
  Refusal RefusalFor(const CallResult& aResult) const;

  void CallAnswered(int aStatus, const std::string& aContentType) override;
  bool DataArrived(std::string_view aBytes) override;
  void CountTokens(std::string_view aBytes);

  RunEnvironment mEnvironment;
  const CommittedWork mWork;
  std::shared_ptr<RunMailbox> mMailbox;
  OutcomeRecorder mRecorder;
  std::atomic<bool> mAborted{ false };
  RunOutcome mOutcome;
  bool mFirstSeen = false;
  std::size_t mTokens = 0;
  ServerEventCounter mEvents;
};

} // namespace medlarkeel
