#include "forwardcounters.h"

namespace medlarkeel {

namespace {

struct CounterEntry
{
  const char* mName;
  std::uint64_t ForwardCounters::*mValue;
};

constexpr CounterEntry kCounters[] = {
  { "requests_total", &ForwardCounters::mRequests },
  { "answered_total", &ForwardCounters::mAnswered },
  { "refused_not_run_total", &ForwardCounters::mRefusedNotRun },
  { "refused_overloaded_total", &ForwardCounters::mRefusedOverloaded },
  { "refused_shutting_down_total", &ForwardCounters::mRefusedShuttingDown },
  { "refused_for_memory_total", &ForwardCounters::mRefusedForMemory },
  { "refused_for_size_total", &ForwardCounters::mRefusedForSize },
  { "refused_for_descriptors_total", &ForwardCounters::mRefusedForDescriptors },
  { "answers_cut_for_memory_total", &ForwardCounters::mAnswersCutForMemory },
  { "failed_unknown_total", &ForwardCounters::mFailedUnknown },
  { "rejected_total", &ForwardCounters::mRejected },
  { "callers_gone_total", &ForwardCounters::mCallersGone },
  { "streams_cut_total", &ForwardCounters::mStreamsCut },
  { "streams_resumed_total", &ForwardCounters::mStreamsResumed },
  { "answers_ended_by_close_total", &ForwardCounters::mAnswersEndedByClose },
  { "process_checks_total", &ForwardCounters::mProcessChecks },
  { "further_attempts_total", &ForwardCounters::mFurtherAttempts },
  { "retries_denied_total", &ForwardCounters::mRetriesDenied },
  { "limited_answers_total", &ForwardCounters::mLimitedAnswers },
  { "unusable_limits_total", &ForwardCounters::mUnusableLimits },
  { "permits_granted_total", &ForwardCounters::mPermitsGranted },
  { "permits_denied_total", &ForwardCounters::mPermitsDenied },
  { "permits_timed_out_total", &ForwardCounters::mPermitsTimedOut },
  { "permits_issued_total", &ForwardCounters::mPermitsIssued },
  { "connections_opened_total", &ForwardCounters::mConnectionsOpened },
  { "connections_reused_total", &ForwardCounters::mConnectionsReused },
  { "directory_calls_total", &ForwardCounters::mDirectoryCalls },
  { "directory_failures_total", &ForwardCounters::mDirectoryFailures },
  { "directory_news_told_total", &ForwardCounters::mDirectoryNewsTold },
  { "unreadable_items_total", &ForwardCounters::mUnreadableItems },
  { "peer_reports_sent_total", &ForwardCounters::mPeerReportsSent },
  { "peer_bytes_sent_total", &ForwardCounters::mPeerBytesSent },
  { "peer_reports_not_sent_total", &ForwardCounters::mPeerReportsNotSent },
  { "peer_reports_unreadable_total", &ForwardCounters::mPeerReportsUnreadable },
};

void
AppendLine(std::string& aText, const std::string& aName, double aValue)
{
  aText += "medlarkeel_forward_" + aName + " " + std::to_string(aValue) + "\n";
}

/** @return A label whose value may be any text, with the escapes of the
 * Prometheus text format. */
std::string
LabelText(const char* aName, const std::string& aValue)
{
  std::string text = std::string(aName) + "=\"";
  for (const char character : aValue) {
    if (character == '\n') {
      text += "\\n";
      continue;
    }
    if (character == '\\' || character == '"') {
      text += '\\';
    }
    text += character;
  }
  return text + '"';
}

void
AppendForecastErrors(std::string& aText,
                     const std::string& aPool,
                     const char* aSize,
                     const ForecastErrorSummary& aErrors)
{
  const std::string label =
    "{" + LabelText("pool", aPool) + "," + LabelText("prompt", aSize) + "}";
  AppendLine(
    aText, "recent_forecasts" + label, static_cast<double>(aErrors.mForecasts));
  AppendLine(
    aText, "forecast_mean_difference_ms" + label, aErrors.mMeanDifferenceMs);
  AppendLine(aText, "forecast_median_error_ms" + label, aErrors.mMedianErrorMs);
  AppendLine(aText,
             "forecast_p90_error_ms" + label,
             aErrors.mNinetiethPercentileErrorMs);
}

} // namespace

void
LatencyHistogram::Record(double aMilliseconds)
{
  std::size_t bucket = 0;
  while (bucket < kBoundsMs.size() && aMilliseconds > kBoundsMs[bucket]) {
    ++bucket;
  }
  mCounts[bucket] += 1;
  mTotal += 1;
  mSum += aMilliseconds;
}

void
LatencyHistogram::Append(std::string& aText, const char* aName) const
{
  const std::string name(aName);
  std::uint64_t below = 0;
  for (std::size_t i = 0; i < kBoundsMs.size(); ++i) {
    below += mCounts[i];
    AppendLine(aText,
               name + "_bucket{le=\"" +
                 std::to_string(static_cast<int>(kBoundsMs[i])) + "\"}",
               static_cast<double>(below));
  }
  AppendLine(aText, name + "_bucket{le=\"+Inf\"}", static_cast<double>(mTotal));
  AppendLine(aText, name + "_sum", mSum);
  AppendLine(aText, name + "_count", static_cast<double>(mTotal));
}

std::string
RenderForwardCounters(const ForwardCounters& aCounters,
                      std::uint64_t aDroppedLogLines)
{
  std::string text;
  for (const CounterEntry& counter : kCounters) {
    AppendLine(
      text, counter.mName, static_cast<double>(aCounters.*counter.mValue));
  }
  AppendLine(
    text, "log_lines_dropped_total", static_cast<double>(aDroppedLogLines));
  AppendLine(text, "held_bytes", static_cast<double>(aCounters.mHeldBytes));
  AppendLine(
    text, "held_bytes_bound", static_cast<double>(aCounters.mHeldBytesBound));
  for (std::size_t i = 0; i < kAnswerFaultCount; ++i) {
    const std::string fault = AnswerFaultName(static_cast<AnswerFault>(i));
    AppendLine(text,
               "broken_answers_total{fault=\"" + fault + "\"}",
               static_cast<double>(aCounters.mBrokenAnswers[i]));
  }
  for (std::size_t i = 0; i < kDirectoryErrorCount; ++i) {
    const std::string error =
      DirectoryErrorText(static_cast<DirectoryError>(i));
    AppendLine(text,
               "directory_errors_total{error=\"" + error + "\"}",
               static_cast<double>(aCounters.mDirectoryErrors[i]));
  }
  AppendLine(text, "ready", aCounters.mIsReady ? 1.0 : 0.0);
  for (const auto& [pool, servers] : aCounters.mUsableServers) {
    AppendLine(text,
               "usable_servers{" + LabelText("pool", pool) + "}",
               static_cast<double>(servers));
  }
  for (const auto& [pool, gauge] : aCounters.mPoolLoads) {
    const std::string label = "{" + LabelText("pool", pool) + "}";
    AppendLine(text, "admission_load" + label, gauge.mLoad);
    AppendLine(text, "prefill_tokens_per_ms" + label, gauge.mTokensPerMs);
  }
  for (const auto& [pool, errors] : aCounters.mForecastErrors) {
    AppendForecastErrors(text, pool, "short", errors.mShortPrompts);
    AppendForecastErrors(text, pool, "long", errors.mLongPrompts);
  }
  aCounters.mFirstByte.Append(text, "first_byte_ms");
  aCounters.mWhole.Append(text, "whole_answer_ms");
  return text;
}

} // namespace medlarkeel
