#pragma once

#include "../common/standin.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace medlarkeel {

using SteadyClock = std::chrono::steady_clock;
using FloatMilliseconds = std::chrono::duration<double, std::milli>;

struct EngineOptions
{
  std::string mPool;
  std::size_t mSlots = 8;
  double mColdSeconds = 0;
  std::size_t mColdSlots = 1;
  double mFirstTokenMilliseconds = 50;
  double mTokenGapMilliseconds = 10;
  std::size_t mTokens = 32;
  /** 0 gives every answer mTokens tokens; else lengths vary by request. */
  std::uint64_t mSeed = 0;
  double mReportLagMilliseconds = 500;
  bool mHonoursFencing = false;
  std::size_t mCacheBlocks = 4096;
};

/** What one request asks of the engine. */
struct GenerationOrder
{
  /** Last word of the last message; every token of the answer carries it. */
  std::string mMarker;
  std::string mPrompt;
  std::size_t mTokens = 0;
  /** Lower is served first. */
  int mPriority = 0;
  bool mStreams = false;
  std::function<bool()> mCallerLeft;
};

/** A generation that waits for or holds a slot. */
struct Generation
{
  GenerationOrder mOrder;
  std::uint64_t mNumber = 0;
  std::size_t mNextToken = 0;
  bool mRunning = false;
  bool mOver = false;
};

/** Imitates a continuously batching model engine. */
class Engine
{
public:
  explicit Engine(EngineOptions aOptions);

  /** Queues a generation. */
  std::shared_ptr<Generation> Begin(GenerationOrder aOrder);

  /** Blocks until the next token is due.
   * @return Whether there is one; false if the caller has left. */
  bool NextToken(Generation& aGeneration, std::string& aToken);

  /** Frees the slot; counts a cancellation if tokens are missing. */
  void Finish(Generation& aGeneration);

  GenerationOrder ParseOrder(const HttpRequest& aRequest) const;

  nlohmann::json Load();
  nlohmann::json CacheEvents(std::uint64_t aAfter);
  nlohmann::json Statistics() const;
  nlohmann::json ModelState() const;
  HttpResponse ApplyOrder(const nlohmann::json& aOrder);
  void ApplyFault(const nlohmann::json& aFault);

private:
  struct LoadSample
  {
    SteadyClock::time_point mTime;
    std::size_t mRunning = 0;
    std::size_t mWaiting = 0;
  };

  struct CacheEvent
  {
    SteadyClock::time_point mTime;
    std::uint64_t mNumber = 0;
    std::uint64_t mBlock = 0;
    bool mAdded = false;
  };

  bool WaitForSlot(std::unique_lock<std::mutex>& aLock,
                   Generation& aGeneration);
  bool Pause(std::unique_lock<std::mutex>& aLock,
             const Generation& aGeneration,
             double aMilliseconds);
  bool MayRun(const Generation& aGeneration) const;
  void StartRunning(Generation& aGeneration);
  bool IsCold() const;
  double FillCache(const std::string& aPrompt);
  void AddCacheEvent(std::uint64_t aBlock, bool aAdded);
  void RecordLoad();
  void CountToken();

  const EngineOptions mOptions;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  SteadyClock::time_point mColdUntil;
  std::vector<Generation*> mWaiting;
  std::deque<LoadSample> mSamples;
  std::deque<CacheEvent> mCacheEvents;
  std::deque<std::uint64_t> mCache;
  std::uint64_t mLastCacheEvent = 0;
  std::uint64_t mNextNumber = 1;
  std::uint64_t mHighestFencing = 0;
  std::set<std::string> mModels;
  std::set<std::string> mAdapters;
  std::string mRole = "mixed";
  double mSlowFactor = 1;
  bool mHangs = false;
  bool mReportsPaused = false;
  std::int64_t mTokensBeforeDeath = -1;
  std::size_t mRunning = 0;
  std::size_t mMaximumRunning = 0;
  std::size_t mMaximumCold = 0;
  std::uint64_t mStarted = 0;
  std::uint64_t mFinished = 0;
  std::uint64_t mCancelled = 0;
  std::uint64_t mTokensMade = 0;
  std::uint64_t mTokensWasted = 0;
  std::uint64_t mOrdersApplied = 0;
  std::uint64_t mOrdersRefused = 0;
  std::map<std::string, std::uint64_t> mRunsByMarker;
  /** Monotonic time of the first start, in microseconds. */
  std::map<std::string, std::int64_t> mStartsByMarker;
};

} // namespace medlarkeel
