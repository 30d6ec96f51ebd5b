#pragma once

#include "prefixhasher.h"
#include "replicachooser.h"
#include "retrybudget.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace medlarkeel {

/** Load and servers of one comparison of strategies. */
struct QueueScenario
{
  std::size_t mServers = 12;
  std::size_t mZones = 3;
  std::size_t mEntries = 3;
  /** Requests at once of a warm server. */
  std::size_t mLimit = 8;
  /** Requests per second over all entries. */
  double mRate = 60.0;
  Seconds mDuration{ 60 };
  /** Prompts start with one of so many common prefixes. */
  std::size_t mPrefixes = 40;
  std::size_t mPrefixBlocks = 24;
  std::size_t mOwnBlocks = 8;
  /** Prefixes that a server's cache holds. */
  std::size_t mCacheSize = 8;
  Microseconds mBlockCost = Milliseconds(10);
  Microseconds mMeanDecode = std::chrono::milliseconds(800);
  /** How much older than its delivery a load report is. */
  Microseconds mReportLag = std::chrono::seconds(1);
  Microseconds mTarget = std::chrono::milliseconds(1700);
  /** Server that is slower from mFaultAt on. */
  std::size_t mSlowServers = 0;
  double mSlowFactor = 5.0;
  /** All caches are emptied at mFaultAt without a signal. */
  bool mLosesCaches = false;
  /** A zone is back at mFaultAt with cold servers; it was out before. */
  bool mZoneReturns = false;
  Seconds mFaultAt{ 20 };
  /** Time in which a cold server's limit grows by one. */
  Microseconds mWarmStep = std::chrono::seconds(4);
  /** Servers at which a request that has to wait is queued at once. */
  std::size_t mReservations = 1;
  /** Share of requests that the budget of an entry allows a second one. */
  double mParallelShare = 0.5;
  /** Whether breakers and the ejection of outliers are in force. */
  bool mEjects = true;
  /** Requests that arrive before this aren't counted. */
  Seconds mCountFrom{ 5 };
};

/** What came of one run. */
struct QueueResult
{
  double mAttainment = 0.0;
  double mMeanFirstToken = 0.0;
  double mHitShare = 0.0;
  int mCounted = 0;
  /** Reservations sent for each request, on average. */
  double mReservations = 0.0;
  /** Misses of the cache that led to forgetting a server's blocks. */
  int mForgotten = 0;
};

/**
 * Some servers with a first-come queue, a limit and a prefix cache each, before
 * entries that choose by one strategy on reports that lag.
 */
class QueueModel
{
public:
  QueueModel(const QueueScenario& aScenario,
             const std::string& aStrategy,
             std::uint64_t aSeed)
    : mScenario(aScenario)
    , mRandom(aSeed)
    , mServers(aScenario.mServers)
  {
    ChooserSettings settings;
    settings.mStrategy = aStrategy;
    if (!aScenario.mEjects) {
      settings.mOutlier.mPanicShare = 0.0;
    }
    for (std::size_t entry = 0; entry < aScenario.mEntries; ++entry) {
      mEntries.push_back(
        std::make_unique<ReplicaChooser>(settings, aSeed + entry));
      mBudgets.emplace_back(
        RetryBudgetSettings{ aScenario.mParallelShare, 10.0 });
    }
    for (std::size_t prefix = 0; prefix < aScenario.mPrefixes; ++prefix) {
      const std::string text(aScenario.mPrefixBlocks * kPrefixBlockBytes,
                             static_cast<char>('!' + prefix));
      mPrefixHashes.push_back(HashPrefixBlocks(text, "model"));
    }
    mReports.resize(aScenario.mEntries * aScenario.mServers);
  }

  QueueResult Run()
  {
    Schedule(Timestamp{}, [this] { Arrive(); });
    Schedule(Timestamp{} + mScenario.mFaultAt, [this] { Fault(); });
    Schedule(Timestamp{}, [this] { Sample(); });
    while (!mEvents.empty()) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mAct();
    }
    const double counted = std::max(1, mResult.mCounted);
    mResult.mAttainment = mMet / counted;
    mResult.mMeanFirstToken = mFirstTokens / counted;
    mResult.mHitShare = mHits / counted;
    mResult.mReservations =
      static_cast<double>(mSentReservations) / std::max(1, mArrived);
    return mResult;
  }

private:
  struct Event
  {
    Timestamp mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mAct;

    friend bool operator>(const Event& aLeft, const Event& aRight)
    {
      return std::pair(aLeft.mAt, aLeft.mOrder) >
             std::pair(aRight.mAt, aRight.mOrder);
    }
  };

  struct Job
  {
    std::size_t mEntry = 0;
    std::size_t mServer = 0;
    /** Servers where it is queued. */
    std::vector<std::size_t> mReserved;
    bool mIsStarted = false;
    std::size_t mPrefix = 0;
    ChoiceRequest mRequest;
    Timestamp mArrival;
    Timestamp mStarted;
    Microseconds mDecode{ 0 };
  };

  struct Server
  {
    std::deque<std::shared_ptr<Job>> mQueue;
    std::size_t mRunning = 0;
    std::deque<std::size_t> mCache;
    std::deque<std::pair<Timestamp, LoadSnapshot>> mHistory;
    double mSlowness = 1.0;
    bool mIsOut = false;
    bool mIsCold = false;
  };

  struct Report
  {
    LoadSnapshot mLoad;
    Timestamp mAt;
    bool mIsKnown = false;
  };

  void Schedule(Timestamp aAt, std::function<void()> aAct)
  {
    mEvents.push({ aAt, mOrder++, std::move(aAct) });
  }

  Microseconds Exponential(double aMeanMicroseconds)
  {
    std::exponential_distribution<double> draw(1.0 / aMeanMicroseconds);
    return Microseconds(static_cast<Microseconds::rep>(draw(mRandom)));
  }

  std::size_t Zone(std::size_t aServer) const
  {
    return aServer % mScenario.mZones;
  }

  std::size_t Limit(const Server& aServer) const
  {
    if (!aServer.mIsCold) {
      return mScenario.mLimit;
    }
    const auto since = mNow - (Timestamp{} + mScenario.mFaultAt);
    const auto steps = static_cast<std::size_t>(since / mScenario.mWarmStep);
    return std::min(mScenario.mLimit, 1 + steps);
  }

  void Fault()
  {
    for (std::size_t index = 0; index < mServers.size(); ++index) {
      Server& server = mServers[index];
      server.mSlowness =
        index < mScenario.mSlowServers ? mScenario.mSlowFactor : 1.0;
      if (mScenario.mLosesCaches) {
        server.mCache.clear();
      }
      if (mScenario.mZoneReturns && Zone(index) == 0) {
        server.mCache.clear();
        server.mIsCold = true;
      }
    }
  }

  /** Keeps the load of the last seconds, so that reports can lag. */
  void Sample()
  {
    for (Server& server : mServers) {
      LoadSnapshot load;
      load.mRunning = server.mRunning;
      load.mQueued = server.mQueue.size();
      load.mLimit = Limit(server);
      if (!server.mQueue.empty()) {
        load.mQueueDelay = std::chrono::duration_cast<Microseconds>(
          mNow - server.mQueue.front()->mArrival);
      }
      server.mHistory.emplace_back(mNow, load);
      while (mNow - server.mHistory.front().first > mScenario.mReportLag) {
        server.mHistory.pop_front();
      }
    }
    if (mNow < Timestamp{} + mScenario.mDuration) {
      Schedule(mNow + Milliseconds(100), [this] { Sample(); });
    }
  }

  std::vector<Candidate> Candidates(std::size_t aEntry) const
  {
    std::vector<Candidate> candidates;
    const auto fault = Timestamp{} + mScenario.mFaultAt;
    for (std::size_t index = 0; index < mServers.size(); ++index) {
      const bool returns = mScenario.mZoneReturns && Zone(index) == 0;
      if (returns && mNow < fault) {
        continue;
      }
      const Report& report = mReports[aEntry * mServers.size() + index];
      Candidate candidate;
      candidate.mId = IdOf(index);
      candidate.mPool = PoolName("model");
      candidate.mSameZone = Zone(index) == aEntry % mScenario.mZones;
      candidate.mSameRegion = true;
      candidate.mLoad = report.mLoad;
      if (report.mIsKnown) {
        candidate.mLoadAge = mNow - report.mAt;
      }
      if (returns) {
        const double ramp = std::chrono::duration<double>(mNow - fault).count();
        candidate.mWeight = std::clamp(ramp / 30.0, 0.05, 1.0);
      }
      candidates.push_back(std::move(candidate));
    }
    return candidates;
  }

  void Arrive()
  {
    auto job = std::make_shared<Job>();
    ++mArrived;
    job->mEntry = mRandom() % mEntries.size();
    mBudgets[job->mEntry].RecordFirstAttempt();
    const std::size_t first = mRandom() % mScenario.mPrefixes;
    const std::size_t second = mRandom() % mScenario.mPrefixes;
    job->mPrefix = std::min(first, second);
    job->mArrival = mNow;
    job->mDecode =
      Exponential(static_cast<double>(mScenario.mMeanDecode.count()));
    job->mRequest.mPool = PoolName("model");
    job->mRequest.mPromptBlocks = mPrefixHashes[job->mPrefix];
    for (std::size_t block = 0; block < mScenario.mOwnBlocks; ++block) {
      job->mRequest.mPromptBlocks.push_back(mRandom());
    }
    for (std::size_t count = 0;
         count < mScenario.mReservations && !job->mIsStarted;
         ++count) {
      if (count > 0 && !mBudgets[job->mEntry].TryTakeRetry()) {
        break;
      }
      Reserve(job);
    }
    const Timestamp next = mNow + Exponential(1e6 / mScenario.mRate);
    if (next < Timestamp{} + mScenario.mDuration) {
      Schedule(next, [this] { Arrive(); });
    }
  }

  void Reserve(const std::shared_ptr<Job>& aJob)
  {
    ReplicaChooser& chooser = *mEntries[aJob->mEntry];
    ChoiceRequest request = aJob->mRequest;
    for (const std::size_t server : aJob->mReserved) {
      request.mExclusions.push_back(IdOf(server));
    }
    const Choice choice =
      chooser.Choose(request, Candidates(aJob->mEntry), mNow);
    if (choice.mChosen) {
      chooser.RecordSent(*choice.mChosen, mNow);
      const std::size_t server = std::stoul(choice.mChosen->Text().substr(6));
      aJob->mReserved.push_back(server);
      mServers[server].mQueue.push_back(aJob);
      ++mSentReservations;
      StartWaiting(server);
    }
  }

  void StartWaiting(std::size_t aServer)
  {
    Server& server = mServers[aServer];
    while (!server.mQueue.empty() && server.mRunning < Limit(server)) {
      const auto job = server.mQueue.front();
      server.mQueue.pop_front();
      ++server.mRunning;
      job->mServer = aServer;
      job->mIsStarted = true;
      CancelOthers(job);
      Start(job);
    }
  }

  void CancelOthers(const std::shared_ptr<Job>& aJob)
  {
    for (const std::size_t other : aJob->mReserved) {
      if (other != aJob->mServer) {
        auto& queue = mServers[other].mQueue;
        queue.erase(std::remove(queue.begin(), queue.end(), aJob), queue.end());
        mEntries[aJob->mEntry]->RecordWithdrawn(IdOf(other));
      }
    }
  }

  void Start(const std::shared_ptr<Job>& aJob)
  {
    Server& server = mServers[aJob->mServer];
    const auto cached =
      std::find(server.mCache.begin(), server.mCache.end(), aJob->mPrefix);
    const bool isHit = cached != server.mCache.end();
    if (isHit) {
      server.mCache.erase(cached);
    }
    server.mCache.push_front(aJob->mPrefix);
    server.mCache.resize(std::min(server.mCache.size(), mScenario.mCacheSize));
    const std::size_t blocks =
      mScenario.mOwnBlocks + (isHit ? 0 : mScenario.mPrefixBlocks);
    const auto prefill =
      Slowed(mScenario.mBlockCost * static_cast<long>(blocks), server);
    const auto whole = prefill + Slowed(aJob->mDecode, server);
    aJob->mStarted = mNow;
    Schedule(mNow + prefill, [this, aJob, isHit] { FirstToken(*aJob, isHit); });
    Schedule(mNow + whole, [this, aJob] { Finish(*aJob); });
  }

  static Microseconds Slowed(Microseconds aTime, const Server& aServer)
  {
    return Microseconds(static_cast<Microseconds::rep>(
      static_cast<double>(aTime.count()) * aServer.mSlowness));
  }

  void FirstToken(const Job& aJob, bool aIsHit)
  {
    const auto wait = mNow - aJob.mArrival;
    const CacheEvidence evidence = mEntries[aJob.mEntry]->RecordFirstToken(
      aJob.mRequest, IdOf(aJob.mServer), wait, mNow - aJob.mStarted, mNow);
    TakeReport(aJob);
    if (aJob.mArrival < Timestamp{} + mScenario.mCountFrom) {
      return;
    }
    mResult.mForgotten += evidence == CacheEvidence::Forgotten ? 1 : 0;
    ++mResult.mCounted;
    mMet += wait <= mScenario.mTarget ? 1.0 : 0.0;
    mHits += aIsHit ? 1.0 : 0.0;
    mFirstTokens += std::chrono::duration<double>(wait).count();
  }

  void Finish(const Job& aJob)
  {
    --mServers[aJob.mServer].mRunning;
    mEntries[aJob.mEntry]->RecordFinished(IdOf(aJob.mServer),
                                          mNow - aJob.mStarted);
    TakeReport(aJob);
    StartWaiting(aJob.mServer);
  }

  static InstanceId IdOf(std::size_t aServer)
  {
    return InstanceId("agent-" + std::to_string(aServer));
  }

  /** A reply carries the server's load as it was a while ago. */
  void TakeReport(const Job& aJob)
  {
    Report& report = mReports[aJob.mEntry * mServers.size() + aJob.mServer];
    report.mLoad = mServers[aJob.mServer].mHistory.front().second;
    report.mAt = mNow;
    report.mIsKnown = true;
  }

  QueueScenario mScenario;
  std::mt19937_64 mRandom;
  std::vector<Server> mServers;
  std::vector<std::unique_ptr<ReplicaChooser>> mEntries;
  std::vector<RetryBudget> mBudgets;
  std::vector<std::vector<std::uint64_t>> mPrefixHashes;
  std::vector<Report> mReports;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::uint64_t mOrder = 0;
  Timestamp mNow;
  QueueResult mResult;
  int mArrived = 0;
  std::size_t mSentReservations = 0;
  double mMet = 0.0;
  double mHits = 0.0;
  double mFirstTokens = 0.0;
};

} // namespace medlarkeel
