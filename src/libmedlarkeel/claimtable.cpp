#include "claimtable.h"

#include <algorithm>

namespace medlarkeel {

namespace {

ClaimDecision
Verdict(ClaimVerdict aVerdict, Executed aExecuted)
{
  ClaimDecision decision;
  decision.mVerdict = aVerdict;
  decision.mExecuted = aExecuted;
  return decision;
}

std::size_t
SizeOf(const StoredAnswer& aAnswer)
{
  return sizeof(StoredAnswer) + aAnswer.mContentType.size() +
         aAnswer.mBody.size();
}

} // namespace

ClaimTable::ClaimTable(InstanceId aInstance,
                       Incarnation aIncarnation,
                       Timestamp aStarted,
                       ClaimLimits aLimits)
  : mInstance(std::move(aInstance))
  , mIncarnation(aIncarnation)
  , mLimits(aLimits)
  , mCompleteSince(aStarted)
{
}

ClaimDecision
ClaimTable::Look(const ClaimKey& aKey,
                 const BodyHash& aBody,
                 const ClaimEvidence& aEvidence) const
{
  if (aKey.mKey.IsEmpty()) {
    return Verdict(ClaimVerdict::Run, Executed::No);
  }
  const auto found = mRecords.find(aKey);
  if (found != mRecords.end()) {
    return DecideKnown(found->second, aBody);
  }
  return DecideUnknown(aKey, aEvidence);
}

ClaimDecision
ClaimTable::Claim(const ClaimKey& aKey,
                  const BodyHash& aBody,
                  const ClaimEvidence& aEvidence)
{
  ClaimDecision decision = Look(aKey, aBody, aEvidence);
  if (decision.mVerdict != ClaimVerdict::Run || aKey.mKey.IsEmpty()) {
    return decision;
  }
  Record record;
  record.mBody = aBody;
  record.mClaimed = aEvidence.mNow;
  mRecords.emplace(aKey, std::move(record));
  KeepBounds();
  return decision;
}

void
ClaimTable::RecordAnswer(const ClaimKey& aKey, StoredAnswer aAnswer)
{
  const auto found = FindRunning(aKey);
  if (found == mRecords.end()) {
    return;
  }
  Record& record = found->second;
  record.mState = RecordState::Answered;
  record.mAnswer = std::make_shared<const StoredAnswer>(std::move(aAnswer));
  mAnswerBytes += SizeOf(*record.mAnswer);
  mAnswered.emplace(record.mClaimed, &found->first);
  mEnded.emplace(record.mClaimed, &found->first);
  KeepBounds();
}

void
ClaimTable::RecordUnknown(const ClaimKey& aKey)
{
  const auto found = FindRunning(aKey);
  if (found == mRecords.end()) {
    return;
  }
  found->second.mState = RecordState::Unknown;
  mEnded.emplace(found->second.mClaimed, &found->first);
  KeepBounds();
}

void
ClaimTable::RecordNotRun(const ClaimKey& aKey)
{
  const auto found = FindRunning(aKey);
  if (found != mRecords.end()) {
    mRecords.erase(found);
  }
}

void
ClaimTable::SetRepeatWindow(Milliseconds aWindow)
{
  mLimits.mRepeatWindow = aWindow;
}

IdempotencyKey
ClaimTable::IssueTicket(Timestamp aNow)
{
  Ticket ticket;
  ticket.mInstance = mInstance;
  ticket.mIncarnation = mIncarnation;
  ticket.mIssued = aNow;
  ticket.mCounter = ++mLastTicket;
  return FormatTicket(ticket);
}

ClaimDecision
ClaimTable::DecideKnown(const Record& aRecord, const BodyHash& aBody)
{
  if (aRecord.mBody != aBody) {
    return Verdict(ClaimVerdict::Mismatch, Executed::No);
  }
  switch (aRecord.mState) {
    case RecordState::Running:
      return Verdict(ClaimVerdict::StillRunning, Executed::Unknown);
    case RecordState::AnswerDropped:
      return Verdict(ClaimVerdict::PossibleRepeat, Executed::Yes);
    case RecordState::Unknown:
      return Verdict(ClaimVerdict::PossibleRepeat, Executed::Unknown);
    case RecordState::Answered:
      break;
  }
  ClaimDecision decision = Verdict(ClaimVerdict::Replay, Executed::Yes);
  decision.mAnswer = aRecord.mAnswer;
  return decision;
}

ClaimDecision
ClaimTable::DecideUnknown(const ClaimKey& aKey,
                          const ClaimEvidence& aEvidence) const
{
  if (aEvidence.mIsVouched) {
    return Verdict(ClaimVerdict::Run, Executed::No);
  }
  const auto ticket = ParseTicket(aKey.mKey);
  if (ticket) {
    const bool isFresh = IsOwnTicket(*ticket) &&
                         ticket->mIssued <= aEvidence.mNow &&
                         ticket->mIssued > mCompleteSince;
    return isFresh ? Verdict(ClaimVerdict::Run, Executed::No)
                   : Verdict(ClaimVerdict::PossibleRepeat, Executed::Unknown);
  }
  if (!aEvidence.mIsOwner || !aEvidence.mExclusiveSince) {
    return Verdict(ClaimVerdict::NotOwner, Executed::Unknown);
  }
  if (!IsFresh(aKey.mKey, aEvidence, *aEvidence.mExclusiveSince)) {
    return Verdict(ClaimVerdict::PossibleRepeat, Executed::Unknown);
  }
  return Verdict(ClaimVerdict::Run, Executed::No);
}

bool
ClaimTable::IsOwnTicket(const Ticket& aTicket) const
{
  return aTicket.mInstance == mInstance &&
         aTicket.mIncarnation == mIncarnation &&
         aTicket.mCounter <= mLastTicket;
}

bool
ClaimTable::IsFresh(const IdempotencyKey& aKey,
                    const ClaimEvidence& aEvidence,
                    Timestamp aExclusiveSince) const
{
  const Timestamp known = std::max(mCompleteSince, aExclusiveSince);
  const auto made = TimeOfUuidV7(aKey);
  if (!made) {
    return aEvidence.mNow - mLimits.mRepeatWindow > known;
  }
  const Milliseconds age = aEvidence.mWallNow - *made;
  if (age < -mLimits.mClockSkew) {
    return false;
  }
  return aEvidence.mNow - age - mLimits.mClockSkew > known;
}

ClaimTable::Records::iterator
ClaimTable::FindRunning(const ClaimKey& aKey)
{
  const auto found = mRecords.find(aKey);
  const bool isRunning =
    found != mRecords.end() && found->second.mState == RecordState::Running;
  return isRunning ? found : mRecords.end();
}

void
ClaimTable::KeepBounds()
{
  while (mAnswerBytes > mLimits.mAnswerBytes) {
    DropOldestAnswer();
  }
  while (mRecords.size() > mLimits.mEntries && !mEnded.empty()) {
    ForgetOldest();
  }
}

void
ClaimTable::DropOldestAnswer()
{
  const auto oldest = mAnswered.begin();
  Record& record = mRecords.find(*oldest->second)->second;
  mAnswerBytes -= SizeOf(*record.mAnswer);
  record.mAnswer.reset();
  record.mState = RecordState::AnswerDropped;
  mAnswered.erase(oldest);
}

void
ClaimTable::ForgetOldest()
{
  const auto oldest = mEnded.begin();
  const auto record = mRecords.find(*oldest->second);
  if (record->second.mAnswer) {
    mAnswerBytes -= SizeOf(*record->second.mAnswer);
    mAnswered.erase(*oldest);
  }
  mCompleteSince = std::max(mCompleteSince, oldest->first);
  mEnded.erase(oldest);
  mRecords.erase(record);
}

} // namespace medlarkeel
