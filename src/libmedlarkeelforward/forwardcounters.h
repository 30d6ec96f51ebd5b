#pragma once

#include "../libmedlarkeel/forwarding/answerend.h"
#include "../libmedlarkeel/forwarding/directorysource.h"
#include "../libmedlarkeel/forwarding/forecasterror.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace medlarkeel {

/** Counts durations in buckets of fixed upper bounds, in milliseconds. */
class LatencyHistogram
{
public:
  static constexpr std::array<double, 12> kBoundsMs = {
    5, 10, 25, 50, 100, 200, 300, 500, 1000, 2000, 5000, 10000
  };

  void Record(double aMilliseconds);

  /** Appends the histogram as text in the Prometheus format. */
  void Append(std::string& aText, const char* aName) const;

private:
  std::array<std::uint64_t, kBoundsMs.size() + 1> mCounts{};
  std::uint64_t mTotal = 0;
  double mSum = 0.0;
};

/** The load of a pool's backend servers as an entry last estimated it. */
struct PoolLoadGauge
{
  /** 1 is the capacity. */
  double mLoad = 0.0;
  /** Prefill rate of a server, in prompt tokens per millisecond. */
  double mTokensPerMs = 0.0;
};

/** Errors of a pool's recent forecasts of first events. */
struct PoolForecastErrors
{
  ForecastErrorSummary mShortPrompts;
  ForecastErrorSummary mLongPrompts;
};

/** What an entry has counted since its start. */
struct ForwardCounters
{
  std::uint64_t mRequests = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mRefusedNotRun = 0;
  /** Of those: turned away because the backend servers are overloaded. */
  std::uint64_t mRefusedOverloaded = 0;
  /** Of those: could not have ended before the process. */
  std::uint64_t mRefusedShuttingDown = 0;
  /** Requests that were refused before they had arrived, for their memory. */
  std::uint64_t mRefusedForMemory = 0;
  /** Requests whose bodies were over the limit. */
  std::uint64_t mRefusedForSize = 0;
  /** Connections of callers that were closed, and requests that were refused,
   * for lack of descriptors. */
  std::uint64_t mRefusedForDescriptors = 0;
  /** Complete answers that were cut because their callers didn't read them and
   * others needed the memory. */
  std::uint64_t mAnswersCutForMemory = 0;
  std::uint64_t mFailedUnknown = 0;
  std::uint64_t mRejected = 0;
  std::uint64_t mCallersGone = 0;
  std::uint64_t mStreamsCut = 0;
  std::uint64_t mStreamsResumed = 0;
  /** Answers that count as complete and ended with their connection. */
  std::uint64_t mAnswersEndedByClose = 0;
  /** Checks whether the process of an answer that ended so still runs. */
  std::uint64_t mProcessChecks = 0;
  std::uint64_t mFurtherAttempts = 0;
  std::uint64_t mRetriesDenied = 0;
  /** Answers of backend servers that stated a request limit. */
  std::uint64_t mLimitedAnswers = 0;
  /** Answers whose request limit could not be parsed. */
  std::uint64_t mUnusableLimits = 0;
  /** Results of this entry's requests for permits. */
  std::uint64_t mPermitsGranted = 0;
  std::uint64_t mPermitsDenied = 0;
  std::uint64_t mPermitsTimedOut = 0;
  /** Permits issued to other entries. */
  std::uint64_t mPermitsIssued = 0;
  std::uint64_t mConnectionsOpened = 0;
  std::uint64_t mConnectionsReused = 0;
  std::uint64_t mDirectoryCalls = 0;
  std::uint64_t mDirectoryFailures = 0;
  /** Of those, by DirectoryError. */
  std::array<std::uint64_t, kDirectoryErrorCount> mDirectoryErrors{};
  /** Reports whose news of the directory saved a call. */
  std::uint64_t mDirectoryNewsTold = 0;
  std::uint64_t mUnreadableItems = 0;
  /** Reports to and from other entries, and those that were lost. */
  std::uint64_t mPeerReportsSent = 0;
  std::uint64_t mPeerBytesSent = 0;
  std::uint64_t mPeerReportsNotSent = 0;
  std::uint64_t mPeerReportsUnreadable = 0;
  /** Answers of backend servers that were broken, by AnswerFault. */
  std::array<std::uint64_t, kAnswerFaultCount> mBrokenAnswers{};
  LatencyHistogram mFirstByte;
  LatencyHistogram mWhole;
  /** Bytes held for callers, and their bound. */
  std::size_t mHeldBytes = 0;
  std::size_t mHeldBytesBound = 0;
  /** Whether the entry takes requests. */
  bool mIsReady = false;
  /** Servers that may get requests, by the name of the pool. */
  std::map<std::string, std::size_t> mUsableServers;
  /** At the last decision on admission, by the name of the pool. */
  std::map<std::string, PoolLoadGauge> mPoolLoads;
  /** By the name of the pool. */
  std::map<std::string, PoolForecastErrors> mForecastErrors;

  void RecordDirectoryFailure(DirectoryError aError)
  {
    mDirectoryFailures += 1;
    mDirectoryErrors[static_cast<std::size_t>(aError)] += 1;
  }

  void RecordBrokenAnswer(AnswerFault aFault)
  {
    mBrokenAnswers[static_cast<std::size_t>(aFault)] += 1;
  }
};

/**
 * @param aDroppedLogLines Lines that the log dropped.
 * @return All counters as text in the Prometheus format.
 */
std::string
RenderForwardCounters(const ForwardCounters& aCounters,
                      std::uint64_t aDroppedLogLines);

} // namespace medlarkeel
