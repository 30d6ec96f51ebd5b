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
  refusal.mReason =
    ReasonFromCode(aRefused.reason()).value_or(RefusalReason::OutcomeUnknown);
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
  if (aLoad.mAdapters) {
    wire::AdapterReport& report = *aOut.mutable_adapters();
    for (const AdapterName& adapter : *aLoad.mAdapters) {
      report.add_names(adapter.Text());
    }
  }
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
  if (aReport.has_adapters()) {
    const auto& names = aReport.adapters().names();
    load.mAdapters.emplace(names.begin(), names.end());
  }
  return load;
}

void
FillStamp(const DocumentStamp& aStamp,
          const std::optional<Microseconds>& aConfirmationAge,
          wire::ConfigurationStamp& aOut)
{
  aOut.set_version(aStamp.mVersion);
  aOut.set_revision(aStamp.mRevision);
  aOut.set_hash(aStamp.mHash);
  if (aConfirmationAge) {
    aOut.set_confirmation_age_us(
      static_cast<std::uint64_t>(aConfirmationAge->count()) + 1);
  }
}

DocumentStamp
StampFrom(const wire::ConfigurationStamp& aStamp)
{
  return DocumentStamp{ aStamp.version(), aStamp.revision(), aStamp.hash() };
}

DocumentSource
SourceFrom(const wire::ConfigurationStamp& aStamp)
{
  DocumentSource source;
  source.mKind = DocumentSourceKind::Peer;
  source.mConfirmationAge.reset();
  if (aStamp.confirmation_age_us() > 0) {
    source.mConfirmationAge = Microseconds(aStamp.confirmation_age_us() - 1);
  }
  return source;
}

void
FillLimit(const LimitMessage& aMessage, wire::LimitMessage& aOut)
{
  aOut.set_from(aMessage.mFrom.Text());
  aOut.set_to(aMessage.mTo.Text());
  aOut.set_transfer_id(aMessage.mTransferId);
  aOut.set_team(aMessage.mTeam.Text());
  aOut.set_share(aMessage.mShare);
  aOut.set_tokens(aMessage.mTokens);
  aOut.set_kind(static_cast<std::uint32_t>(aMessage.mKind));
  aOut.set_slice(aMessage.mSlice);
  aOut.set_lease_us(static_cast<std::uint64_t>(aMessage.mLease.count()));
  aOut.set_retry_us(static_cast<std::uint64_t>(aMessage.mRetry.count()));
  aOut.set_list_revision(aMessage.mListRevision);
  aOut.set_list_age_us(static_cast<std::uint64_t>(aMessage.mListAge.count()));
}

LimitMessage
LimitFrom(const wire::LimitMessage& aMessage)
{
  LimitMessage message;
  message.mFrom = InstanceId(aMessage.from());
  message.mTo = InstanceId(aMessage.to());
  message.mKind = static_cast<LimitMessageKind>(aMessage.kind());
  message.mTransferId = aMessage.transfer_id();
  message.mTeam = TeamName(aMessage.team());
  message.mSlice = aMessage.slice();
  message.mTokens = aMessage.tokens();
  message.mShare = aMessage.share();
  message.mLease = Microseconds(aMessage.lease_us());
  message.mRetry = Microseconds(aMessage.retry_us());
  message.mListRevision = aMessage.list_revision();
  message.mListAge = Microseconds(aMessage.list_age_us());
  return message;
}

} // namespace medlarkeel
