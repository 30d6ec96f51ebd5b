#pragma once

#include "claimtable.h"
#include "decisionlog.h"
#include "instancelist.h"
#include "rangeownership.h"
#include "refusal.h"
#include "runmailbox.h"
#include "settings.h"
#include "types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace medlarkeel {

/** The agent that can vouch for an idempotency key. */
struct VouchTarget
{
  InstanceId mOwner;
  /** IP number and port. */
  std::string mAddress;
};

/** What the owner of an idempotency key says to another agent. */
struct VouchDecision
{
  /** Whether the key has never run and is the asker's now. */
  bool mVouched = false;
  /** The answer of the run that was; null when there is none. */
  std::shared_ptr<const StoredAnswer> mAnswer;
  Refusal mRefusal;
};

/** A call that may not be repeated, as its claim names it. */
struct ClaimCall
{
  ClaimKey mKey;
  BodyHash mBody;
};

/**
 * Decides on calls that may not be repeated and carry an idempotency key: owns
 * the claims of one agent, knows whether it owns a key, asks for keys and gives
 * them up. Not thread-safe: AgentCore serialises all calls.
 */
class ClaimDesk
{
public:
  /** @param aLog Gets a line for each verdict; outlives the desk. */
  ClaimDesk(const Settings& aSettings,
            Incarnation aIncarnation,
            Timestamp aStarted,
            DecisionLog& aLog);

  /**
   * @return The owner to ask about a call that can't be decided here: the
   *         availability zone of the owner is out, or the owner is leaving.
   */
  std::optional<VouchTarget> OwnerToAsk(const ClaimCall& aCall,
                                        Timestamp aNow) const;

  /** Gives a key up to the asker if it has never run; called at the owner. */
  VouchDecision Vouch(const ClaimCall& aCall, Timestamp aNow);

  /**
   * Notes that the owner gave a key up to this agent.
   *
   * @param aAskedAt When the owner was asked; the statement soon expires.
   */
  void RecordVouch(const ClaimKey& aKey, Timestamp aAskedAt);

  /**
   * Answers a repeat from the record or refuses it.
   *
   * @param aMailbox Gets the answer, at once or when the first run ends.
   * @return Whether the call is new and nothing was answered.
   */
  bool IsNewCall(const ClaimCall& aCall,
                 const std::shared_ptr<RunMailbox>& aMailbox,
                 Timestamp aNow);

  /**
   * Claims a call that is about to run.
   *
   * @return The refusal when it must not run.
   */
  std::optional<Refusal> Claim(const ClaimCall& aCall, Timestamp aNow);

  /** Keeps the answer of a claimed call for its repeats. */
  void RecordAnswer(const ClaimKey& aKey, StoredAnswer aAnswer, Timestamp aNow);
  /** Records that a claimed call may have run without an answer. */
  void RecordUnknown(const ClaimKey& aKey, Timestamp aNow);
  /** Records that nothing of a claimed call reached the backend server. */
  void RecordNotRun(const ClaimKey& aKey, Timestamp aNow);

  /** @return A new key that only this agent accepts. */
  IdempotencyKey IssueTicket(Timestamp aNow);

  /** Sets how long after its first call an opaque key is repeated. */
  void SetRepeatWindow(Milliseconds aWindow);

  /** Takes a reading of the platform's list. */
  void ApplyList(const InstanceList& aList,
                 Timestamp aSentAt,
                 Timestamp aReceivedAt);

  /** Forbids to act on readings from before the end of a pause. */
  void ResumeAfterPause(Timestamp aNow);

private:
  ClaimEvidence EvidenceFor(const ClaimKey& aKey, Timestamp aNow) const;
  std::optional<InstanceId> OtherOwner(const ClaimKey& aKey) const;
  void AnswerWaiting(const ClaimKey& aKey, Timestamp aNow);
  void LogVerdict(const ClaimCall& aCall, const ClaimDecision& aDecision);

  const InstanceId mSelf;
  DecisionLog& mLog;
  RangeOwnership mOwnership;
  ClaimTable mClaims;
  /** Repeats that wait for the first run's end. */
  std::multimap<ClaimKey, std::pair<BodyHash, std::shared_ptr<RunMailbox>>>
    mWaitingRepeats;
  /** Keys that their owners gave up to this agent, and when they were asked. */
  std::map<ClaimKey, Timestamp> mVouched;
  std::map<InstanceId, std::string> mAddresses;
};

} // namespace medlarkeel
