#include "wireconversion.h"

namespace medlarkeel {

void
FillRefused(const Refusal& aRefusal, wire::Refused& aOut)
{
  aOut.set_reason(ReasonCode(aRefusal.mReason));
  aOut.set_executed(ExecutedText(aRefusal.mExecuted));
  aOut.set_retry_after_ms(
    static_cast<std::uint64_t>(aRefusal.mRetryAfter.count()));
  aOut.set_detail(aRefusal.mDetail);
}

Refusal
RefusalFrom(const wire::Refused& aRefused)
{
  Refusal refusal;
  refusal.mReason = ReasonFromCode(aRefused.reason())
                      .value_or(RefusalReason::OutcomeUnknown);
  refusal.mExecuted =
    ExecutedFromText(aRefused.executed()).value_or(Executed::Unknown);
  refusal.mRetryAfter = Milliseconds(aRefused.retry_after_ms());
  refusal.mDetail = aRefused.detail();
  return refusal;
}

void
FillLoad(const LoadSnapshot& aLoad, wire::LoadReport& aOut)
{
  aOut.set_running(static_cast<std::uint32_t>(aLoad.mRunning));
  aOut.set_queued(static_cast<std::uint32_t>(aLoad.mQueued));
  aOut.set_limit(static_cast<std::uint32_t>(aLoad.mLimit));
  aOut.set_queue_delay_us(
    static_cast<std::uint64_t>(aLoad.mQueueDelay.count()));
  aOut.set_accepting(aLoad.mAccepting);
}

LoadSnapshot
LoadFrom(const wire::LoadReport& aReport)
{
  LoadSnapshot load;
  load.mRunning = aReport.running();
  load.mQueued = aReport.queued();
  load.mLimit = aReport.limit();
  load.mQueueDelay = Microseconds(aReport.queue_delay_us());
  load.mAccepting = aReport.accepting();
  return load;
}

} // namespace medlarkeel
