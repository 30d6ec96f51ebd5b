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
  /** Version that is loaded at the start; empty for none. */
  std::string mVersion;
  /** Time that the weights of a version or an adapter take to load. */
  double mLoadMilliseconds = 0;
  /** Loopback port of the store that weights come from; 0 for no store. */
  std::uint16_t mWeightStorePort = 0;
};

/** An order that reached the engine, and what became of it. */
struct ReceivedOrder
{
  std::string mKind;
  std::string mName;
  std::uint64_t mFencing = 0;
  std::int64_t mReceivedAt = 0;
  /** Milliseconds of the wall clock; 0 while it has had no effect. */
  std::int64_t mEffectiveAt = 0;
  std::string mOutcome = "running";
};

/** What one request asks of the engine. */
struct GenerationOrder
{
  /** Last word of the last message; every token of the answer carries it. */
  std::string mMarker;
  std::string mPrompt;
  /** Empty for the model itself. */
  std::string mAdapter;
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
  /** Version loads before it began; a later one ends it. */
  std::uint64_t mVersionLoads = 0;
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

  /** Carries an order out; blocks until it has taken effect or failed. */
  HttpResponse ApplyOrder(const nlohmann::json& aOrder);
  /** @return All orders that were received, oldest first. */
  nlohmann::json Orders() const;

  /** @return The status of a request that can't be served now; 0 if it can. */
  int StatusOfUnserved(const GenerationOrder& aOrder) const;
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
  bool IsEnded(const Generation& aGeneration) const;
  void BeginVersionLoad();
  bool DrawWeights(const std::string& aName) const;
  bool LoadWeights(const ReceivedOrder& aOrder);
  void TakeEffect(const ReceivedOrder& aOrder);

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
  std::string mVersion;
  std::string mRole = "mixed";
  /** Held while an order is carried out; others wait for their turn. */
  std::mutex mOrderTurn;
  std::deque<ReceivedOrder> mOrders;
  /** Version or adapter that is being loaded. */
  std::string mLoading;
  bool mLoadsVersion = false;
  std::uint64_t mVersionLoads = 0;
  std::uint64_t mCutByOrders = 0;
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
