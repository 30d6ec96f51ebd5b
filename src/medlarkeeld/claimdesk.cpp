#include "claimdesk.h"

#include "bootclock.h"
#include "claimrange.h"

#include <iterator>
#include <utility>

namespace medlarkeel {

namespace {

constexpr Milliseconds kRetryClaim{ 1000 };
/** Shorter than any takeover, so that no heir decides on the key meanwhile. */
constexpr Milliseconds kVouchLife{ 5000 };

void
PostAnswer(const StoredAnswer& aAnswer, RunMailbox& aMailbox)
{
  aMailbox.Post(RunHead{ aAnswer.mStatus, aAnswer.mContentType, true });
  aMailbox.Post(RunData{ aAnswer.mBody });
  aMailbox.Post(RunDone{});
}

/** Turns a verdict other than Run and Replay into the caller's refusal. */
Refusal
ClaimRefusal(const ClaimDecision& aDecision)
{
  Refusal refusal;
  refusal.mExecuted = aDecision.mExecuted;
  switch (aDecision.mVerdict) {
    case ClaimVerdict::Mismatch:
      refusal.mReason = RefusalReason::IdempotencyMismatch;
      refusal.mDetail = "the idempotency key was used with another body";
      break;
    case ClaimVerdict::StillRunning:
      refusal.mReason = RefusalReason::StillRunning;
      refusal.mRetryAfter = kRetryClaim;
      refusal.mDetail = "the first call with this key is still running";
      break;
    case ClaimVerdict::NotOwner:
    case ClaimVerdict::Run:
      refusal.mReason = RefusalReason::NoBackendServer;
      refusal.mRetryAfter = kRetryClaim;
      refusal.mDetail = "no backend server can vouch for the key now";
      break;
    default:
      refusal.mReason = RefusalReason::OutcomeUnknown;
      refusal.mDetail = "the key may have been run before; check before "
                        "sending the call with a new key";
      break;
  }
  return refusal;
}

const char*
ClaimVerdictText(ClaimVerdict aVerdict)
{
  switch (aVerdict) {
    case ClaimVerdict::Run:
      return "run";
    case ClaimVerdict::Replay:
      return "replay";
    case ClaimVerdict::StillRunning:
      return "still-running";
    case ClaimVerdict::Mismatch:
      return "mismatch";
    case ClaimVerdict::PossibleRepeat:
      return "possible-repeat";
    case ClaimVerdict::NotOwner:
      break;
  }
  return "not-owner";
}

} // namespace

ClaimDesk::ClaimDesk(const Settings& aSettings,
                     Incarnation aIncarnation,
                     Timestamp aStarted,
                     DecisionLog& aLog)
  : mSelf(aSettings.mInstanceId)
  , mLog(aLog)
  , mOwnership(
      aSettings.mInstanceId,
      OwnershipSettingsFrom(aSettings.mControl),
      OwnershipScope{ InstanceRole::Agent, aSettings.mBackendServer->mPool })
  , mClaims(aSettings.mInstanceId, aIncarnation, aStarted)
{
}

std::optional<VouchTarget>
ClaimDesk::OwnerToAsk(const ClaimCall& aCall, Timestamp aNow) const
{
  const ClaimDecision decision =
    mClaims.Look(aCall.mKey, aCall.mBody, EvidenceFor(aCall.mKey, aNow));
  const auto ticket = ParseTicket(aCall.mKey.mKey);
  const bool isForeignTicket = ticket && ticket->mInstance != mSelf;
  const bool isUndecided =
    decision.mVerdict == ClaimVerdict::NotOwner ||
    (isForeignTicket && decision.mVerdict == ClaimVerdict::PossibleRepeat);
  if (!isUndecided) {
    return std::nullopt;
  }
  const std::optional<InstanceId> owner =
    isForeignTicket ? ticket->mInstance : OtherOwner(aCall.mKey);
  if (!owner || *owner == mSelf) {
    return std::nullopt;
  }
  const auto address = mAddresses.find(*owner);
  if (address == mAddresses.end()) {
    return std::nullopt;
  }
  return VouchTarget{ *owner, address->second };
}

std::optional<InstanceId>
ClaimDesk::OtherOwner(const ClaimKey& aKey) const
{
  const RangeKey range = ClaimRange(aKey);
  const auto owner = mOwnership.Owner(range);
  return owner == mSelf ? mOwnership.PreviousOwner(range) : owner;
}

VouchDecision
ClaimDesk::Vouch(const ClaimCall& aCall, Timestamp aNow)
{
  const ClaimDecision decision =
    mClaims.Claim(aCall.mKey, aCall.mBody, EvidenceFor(aCall.mKey, aNow));
  LogVerdict(aCall, decision);
  VouchDecision vouch;
  if (decision.mVerdict == ClaimVerdict::Run) {
    mClaims.RecordUnknown(aCall.mKey);
    vouch.mVouched = true;
  } else if (decision.mVerdict == ClaimVerdict::Replay) {
    vouch.mAnswer = decision.mAnswer;
  } else {
    vouch.mRefusal = ClaimRefusal(decision);
  }
  return vouch;
}

void
ClaimDesk::RecordVouch(const ClaimKey& aKey, Timestamp aAskedAt)
{
  for (auto vouch = mVouched.begin(); vouch != mVouched.end();) {
    const bool isOver = aAskedAt > vouch->second + kVouchLife;
    vouch = isOver ? mVouched.erase(vouch) : std::next(vouch);
  }
  mVouched[aKey] = aAskedAt;
}

bool
ClaimDesk::IsNewCall(const ClaimCall& aCall,
                     const std::shared_ptr<RunMailbox>& aMailbox,
                     Timestamp aNow)
{
  const ClaimDecision decision =
    mClaims.Look(aCall.mKey, aCall.mBody, EvidenceFor(aCall.mKey, aNow));
  if (decision.mVerdict != ClaimVerdict::Run) {
    LogVerdict(aCall, decision);
  }
  switch (decision.mVerdict) {
    case ClaimVerdict::Run:
      return true;
    case ClaimVerdict::Replay:
      PostAnswer(*decision.mAnswer, *aMailbox);
      return false;
    case ClaimVerdict::StillRunning:
      mWaitingRepeats.emplace(aCall.mKey,
                              std::make_pair(aCall.mBody, aMailbox));
      return false;
    default:
      aMailbox->Post(RunRefused{ ClaimRefusal(decision) });
      return false;
  }
}

std::optional<Refusal>
ClaimDesk::Claim(const ClaimCall& aCall, Timestamp aNow)
{
  const ClaimDecision decision =
    mClaims.Claim(aCall.mKey, aCall.mBody, EvidenceFor(aCall.mKey, aNow));
  LogVerdict(aCall, decision);
  if (decision.mVerdict != ClaimVerdict::Run) {
    return ClaimRefusal(decision);
  }
  mVouched.erase(aCall.mKey);
  return std::nullopt;
}

void
ClaimDesk::RecordAnswer(const ClaimKey& aKey,
                        StoredAnswer aAnswer,
                        Timestamp aNow)
{
  mClaims.RecordAnswer(aKey, std::move(aAnswer));
  AnswerWaiting(aKey, aNow);
}

void
ClaimDesk::RecordUnknown(const ClaimKey& aKey, Timestamp aNow)
{
  mClaims.RecordUnknown(aKey);
  AnswerWaiting(aKey, aNow);
}

void
ClaimDesk::RecordNotRun(const ClaimKey& aKey, Timestamp aNow)
{
  mClaims.RecordNotRun(aKey);
  AnswerWaiting(aKey, aNow);
}

IdempotencyKey
ClaimDesk::IssueTicket(Timestamp aNow)
{
  return mClaims.IssueTicket(aNow);
}

void
ClaimDesk::SetRepeatWindow(Milliseconds aWindow)
{
  mClaims.SetRepeatWindow(aWindow);
}

void
ClaimDesk::ApplyList(const InstanceList& aList,
                     Timestamp aSentAt,
                     Timestamp aReceivedAt)
{
  mOwnership.Observe(aList, aSentAt, aReceivedAt);
  mAddresses.clear();
  for (const InstanceRecord& record : aList.mInstances) {
    mAddresses[record.mId] = record.mAddress;
  }
}

void
ClaimDesk::ResumeAfterPause(Timestamp aNow)
{
  mOwnership.ResumeAfterPause(aNow);
}

ClaimEvidence
ClaimDesk::EvidenceFor(const ClaimKey& aKey, Timestamp aNow) const
{
  const RangeKey range = ClaimRange(aKey);
  ClaimEvidence evidence;
  evidence.mNow = aNow;
  evidence.mWallNow = WallTime(WallNow());
  evidence.mIsOwner = mOwnership.Owner(range) == mSelf;
  evidence.mExclusiveSince = mOwnership.ExclusiveSince(range, aNow);
  const auto vouch = mVouched.find(aKey);
  evidence.mIsVouched =
    vouch != mVouched.end() && aNow <= vouch->second + kVouchLife;
  return evidence;
}

void
ClaimDesk::LogVerdict(const ClaimCall& aCall, const ClaimDecision& aDecision)
{
  mLog.Write(Event::ClaimDecided,
             { { "team", aCall.mKey.mTeam.Text() },
               { "idempotencyKey", aCall.mKey.mKey.Text() },
               { "verdict", ClaimVerdictText(aDecision.mVerdict) } });
}

void
ClaimDesk::AnswerWaiting(const ClaimKey& aKey, Timestamp aNow)
{
  const auto [first, last] = mWaitingRepeats.equal_range(aKey);
  for (auto waiting = first; waiting != last; ++waiting) {
    const auto& [body, mailbox] = waiting->second;
    const ClaimDecision decision =
      mClaims.Look(aKey, body, EvidenceFor(aKey, aNow));
    if (decision.mVerdict == ClaimVerdict::Replay) {
      PostAnswer(*decision.mAnswer, *mailbox);
    } else {
      mailbox->Post(RunRefused{ ClaimRefusal(decision) });
    }
  }
  mWaitingRepeats.erase(first, last);
}

} // namespace medlarkeel
