#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>

namespace medlarkeel {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Registry;

constexpr std::size_t kLargestClassCount = 64;
constexpr double kMicrosecondsPerSecond = 1e6;

const char*
OutcomeText(RequestOutcome aOutcome)
{
  switch (aOutcome) {
    case RequestOutcome::Completed:
      return "completed";
    case RequestOutcome::Refused:
      return "refused";
    case RequestOutcome::Failed:
      return "failed";
    case RequestOutcome::Cancelled:
      return "cancelled";
  }
  return "";
}

double
InSeconds(Microseconds aDuration)
{
  return static_cast<double>(aDuration.count()) / kMicrosecondsPerSecond;
}

/** Bounds of the first byte's delay, in seconds. */
Histogram::BucketBoundaries
FirstByteBounds()
{
  return { 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 2.5, 5.0, 10.0, 30.0 };
}

/** Bounds of the gap between two pieces, in seconds. */
Histogram::BucketBoundaries
TokenGapBounds()
{
  return { 0.005, 0.01, 0.02, 0.03, 0.04, 0.053, 0.075, 0.1, 0.25, 1.0, 5.0 };
}

Family<Counter>&
CounterFamily(Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

Gauge&
SingleGauge(Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(aRegistry)
    .Add({});
}

Family<Histogram>&
HistogramFamily(Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(
    aRegistry);
}

} // namespace

/** The time series; series of one class are found once and kept. */
struct Metrics::State
{
  struct ClassSeries
  {
    std::map<RequestOutcome, Counter*> mRequests;
    Counter* mAttained = nullptr;
    Counter* mUsefulTokens = nullptr;
    Counter* mWastedTokens = nullptr;
    Histogram* mFirstByte = nullptr;
    Histogram* mTokenGap = nullptr;
  };

  ClassSeries& SeriesOf(const ClassName& aClass);
  ClassSeries AddSeries(const std::string& aClass);

  Registry mRegistry;
  Family<Counter>& mRequests =
    CounterFamily(mRegistry,
                  "medlarkeel_requests_total",
                  "Ended requests by class and outcome.");
  Family<Counter>& mAttained =
    CounterFamily(mRegistry,
                  "medlarkeel_requests_attained_total",
                  "Requests that met the service level of their class.");
  Family<Counter>& mRefusals =
    CounterFamily(mRegistry,
                  "medlarkeel_refusals_total",
                  "Refusals by reason and by whether the request was run.");
  Family<Counter>& mTokens =
    CounterFamily(mRegistry,
                  "medlarkeel_tokens_total",
                  "Generated tokens by class and use.");
  Family<Histogram>& mFirstByte =
    HistogramFamily(mRegistry,
                    "medlarkeel_first_byte_seconds",
                    "Time from the arrival to the answer's first byte.");
  Family<Histogram>& mTokenGap =
    HistogramFamily(mRegistry,
                    "medlarkeel_token_gap_seconds",
                    "Time between two pieces of an answer.");
  Counter& mControlBytes =
    CounterFamily(mRegistry,
                  "medlarkeel_control_bytes_sent_total",
                  "Bytes of control messages sent, without answers "
                  "and framing.")
      .Add({});
  Counter& mDroppedFrames =
    CounterFamily(mRegistry,
                  "medlarkeel_frames_dropped_total",
                  "Late or doubled frames of agents that no caller got.")
      .Add({});
  Family<Counter>& mBrokenAnswers =
    CounterFamily(mRegistry,
                  "medlarkeel_broken_answers_total",
                  "Broken answers of the backend server by fault.");
  Gauge& mRunning = SingleGauge(mRegistry,
                                "medlarkeel_requests_running",
                                "Requests that run now.");
  Gauge& mQueued = SingleGauge(mRegistry,
                               "medlarkeel_requests_queued",
                               "Requests that wait now.");
  Gauge& mHeldBytes = SingleGauge(mRegistry,
                                  "medlarkeel_held_bytes",
                                  "Bytes held for arriving requests.");
  Gauge& mUploadsCut = SingleGauge(mRegistry,
                                   "medlarkeel_uploads_cut",
                                   "Requests ended for their memory before "
                                   "they had arrived, since the start.");
  Gauge& mDocumentVersion =
    SingleGauge(mRegistry,
                "medlarkeel_document_version",
                "Version of the environment document in force.");
  std::mutex mMutex;
  std::map<std::string, ClassSeries> mSeries;
};

Metrics::State::ClassSeries
Metrics::State::AddSeries(const std::string& aClass)
{
  ClassSeries result;
  for (const RequestOutcome outcome : { RequestOutcome::Completed,
                                        RequestOutcome::Refused,
                                        RequestOutcome::Failed,
                                        RequestOutcome::Cancelled }) {
    result.mRequests[outcome] = &mRequests.Add(
      { { "class", aClass }, { "outcome", OutcomeText(outcome) } });
  }
  result.mAttained = &mAttained.Add({ { "class", aClass } });
  result.mUsefulTokens =
    &mTokens.Add({ { "class", aClass }, { "use", "useful" } });
  result.mWastedTokens =
    &mTokens.Add({ { "class", aClass }, { "use", "wasted" } });
  result.mFirstByte =
    &mFirstByte.Add({ { "class", aClass } }, FirstByteBounds());
  result.mTokenGap = &mTokenGap.Add({ { "class", aClass } }, TokenGapBounds());
  return result;
}

Metrics::State::ClassSeries&
Metrics::State::SeriesOf(const ClassName& aClass)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto place = mSeries.find(aClass.Text());
  if (place != mSeries.end()) {
    return place->second;
  }
  const bool full = mSeries.size() >= kLargestClassCount;
  const std::string name = full ? "other" : aClass.Text();
  const auto [added, isNew] = mSeries.try_emplace(name);
  if (isNew) {
    added->second = AddSeries(name);
  }
  return added->second;
}

Metrics::Metrics()
  : mState(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void
Metrics::CountRequest(const ClassName& aClass,
                      RequestOutcome aOutcome,
                      bool aAttained)
{
  const State::ClassSeries& series = mState->SeriesOf(aClass);
  series.mRequests.at(aOutcome)->Increment();
  if (aAttained) {
    series.mAttained->Increment();
  }
}

void
Metrics::CountRefusal(RefusalReason aReason, Executed aExecuted)
{
  mState->mRefusals
    .Add({ { "reason", ReasonCode(aReason) },
           { "executed", ExecutedText(aExecuted) } })
    .Increment();
}

void
Metrics::ObserveFirstByte(const ClassName& aClass, Microseconds aDelay)
{
  mState->SeriesOf(aClass).mFirstByte->Observe(InSeconds(aDelay));
}

void
Metrics::ObserveTokenGap(const ClassName& aClass, Microseconds aGap)
{
  mState->SeriesOf(aClass).mTokenGap->Observe(InSeconds(aGap));
}

void
Metrics::CountTokens(const ClassName& aClass, TokenUse aUse, std::size_t aCount)
{
  const State::ClassSeries& series = mState->SeriesOf(aClass);
  const bool useful = aUse == TokenUse::Useful;
  Counter* counter = useful ? series.mUsefulTokens : series.mWastedTokens;
  counter->Increment(static_cast<double>(aCount));
}

void
Metrics::CountControlBytesSent(std::size_t aBytes)
{
  mState->mControlBytes.Increment(static_cast<double>(aBytes));
}

void
Metrics::CountDroppedFrame()
{
  mState->mDroppedFrames.Increment();
}

void
Metrics::SetUploads(std::size_t aHeldBytes, std::size_t aCut)
{
  mState->mHeldBytes.Set(static_cast<double>(aHeldBytes));
  mState->mUploadsCut.Set(static_cast<double>(aCut));
}

void
Metrics::CountBrokenAnswer(AnswerFault aFault)
{
  mState->mBrokenAnswers.Add({ { "fault", AnswerFaultName(aFault) } })
    .Increment();
}

void
Metrics::SetRunning(std::size_t aCount)
{
  mState->mRunning.Set(static_cast<double>(aCount));
}

void
Metrics::SetQueued(std::size_t aCount)
{
  mState->mQueued.Set(static_cast<double>(aCount));
}

void
Metrics::SetDocumentVersion(std::uint64_t aVersion)
{
  mState->mDocumentVersion.Set(static_cast<double>(aVersion));
}

std::string
Metrics::Render() const
{
  return prometheus::TextSerializer().Serialize(mState->mRegistry.Collect());
}

} // namespace medlarkeel
