#include "backendrun.h"

#include <utility>

namespace medlarkeel {

namespace {

constexpr int kFirstServerError = 500;
constexpr Milliseconds kRetryAfterFailure{ 500 };

/** Data that waits for the entry before the answer isn't read further. */
constexpr std::size_t kMaximumQueuedBytes = 262'144;

} // namespace

std::shared_ptr<BackendRun>
BackendRun::Start(RunEnvironment aEnvironment,
                  const std::string& aBaseUrl,
                  CommittedWork aWork,
                  std::shared_ptr<RunMailbox> aMailbox,
                  OutcomeRecorder aRecorder)
{
  std::shared_ptr<BackendRun> run(new BackendRun(
    aEnvironment, std::move(aWork), std::move(aMailbox), std::move(aRecorder)));
  aEnvironment.mRuns.Start([run, aBaseUrl] { run->Execute(aBaseUrl); });
  return run;
}

BackendRun::BackendRun(RunEnvironment aEnvironment,
                       CommittedWork aWork,
                       std::shared_ptr<RunMailbox> aMailbox,
                       OutcomeRecorder aRecorder)
  : mEnvironment(aEnvironment)
  , mWork(std::move(aWork))
  , mMailbox(std::move(aMailbox))
  , mRecorder(std::move(aRecorder))
{
}

void
BackendRun::Abort()
{
  if (mWork.mRepeatable) {
    mAborted = true;
  }
}

void
BackendRun::Execute(const std::string& aBaseUrl)
{
  const auto shouldStop = [this] { return MustStop(); };
  Conclude(CallBackend(aBaseUrl, mWork.mRequest, shouldStop, *this));
}

void
BackendRun::Conclude(const CallResult& aResult)
{
  const CallEnd end = aResult.mEnd;
  if (aResult.mFault) {
    RecordFault(*aResult.mFault);
  }
  mOutcome.mEnd = end;
  mRecorder(mOutcome);
  const TokenUse use =
    end == CallEnd::Complete ? TokenUse::Useful : TokenUse::Wasted;
  mEnvironment.mCounters.RecordTokens(mWork.mClass, use, mTokens);
  mEnvironment.mCore.Finish(mWork.mReservation, mWork.mGrant, KindOf(end));
  if (end == CallEnd::Complete) {
    mMailbox->Post(RunDone{});
  } else {
    mMailbox->Post(RunRefused{ RefusalFor(aResult) });
  }
}

void
BackendRun::RecordFault(AnswerFault aFault)
{
  mEnvironment.mCounters.RecordBrokenAnswer(aFault);
  mEnvironment.mLog.Write(Event::BackendAttemptFailed,
                          { { "request", mWork.mRequest.mRequest.Text() },
                            { "outcome", "broken" },
                            { "status", mOutcome.mStatus },
                            { "fault", AnswerFaultName(aFault) } });
}

FinishKind
BackendRun::KindOf(CallEnd aEnd) const
{
  if (aEnd == CallEnd::Stopped) {
    return FinishKind::Cancelled;
  }
  if (aEnd != CallEnd::Complete) {
    return FinishKind::Lost;
  }
  return mOutcome.mStatus < kFirstServerError ? FinishKind::Succeeded
                                              : FinishKind::Failed;
}

Refusal
BackendRun::RefusalFor(const CallResult& aResult) const
{
  const CallEnd end = aResult.mEnd;
  Refusal refusal;
  refusal.mReason = end == CallEnd::Stopped && mAborted
                      ? RefusalReason::Cancelled
                      : RefusalReason::BackendFailed;
  refusal.mExecuted = end == CallEnd::NotRun ? Executed::No : Executed::Unknown;
  refusal.mRetryAfter = kRetryAfterFailure;
  refusal.mDetail = end == CallEnd::NotRun
                      ? "the backend server could not be reached"
                      : "the backend server's answer broke off";
  if (aResult.mFault) {
    refusal.mDetail += std::string(": ") + AnswerFaultName(*aResult.mFault);
  }
  return refusal;
}

void
BackendRun::CallAnswered(int aStatus, const std::string& aContentType)
{
  mOutcome.mStatus = aStatus;
  mOutcome.mContentType = aContentType;
  mMailbox->Post(RunHead{ aStatus, aContentType, false });
}

bool
BackendRun::DataArrived(std::string_view aBytes)
{
  if (mWork.mKind == PoolKind::Model) {
    CountTokens(aBytes);
  }
  if (mWork.mRepeatable) {
    mMailbox->WaitForSpace(kMaximumQueuedBytes, [this] { return MustStop(); });
  } else {
    mOutcome.mBody.append(aBytes); // Bounded by the limits of the request.
  }
  mMailbox->Post(RunData{ std::string(aBytes) });
  return !MustStop();
}

void
BackendRun::CountTokens(std::string_view aBytes)
{
  if (!mFirstSeen) {
    mFirstSeen = true;
    mEnvironment.mCore.RecordFirstToken(mWork.mGrant);
  }
  const std::size_t events = mEvents.Add(aBytes);
  if (events > 0) {
    mTokens += events;
    mEnvironment.mCore.RecordTokens(mWork.mGrant,
                                    static_cast<std::uint32_t>(events));
  }
}

} // namespace medlarkeel
