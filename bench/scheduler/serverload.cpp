#include "serverload.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace medlarkeel {

namespace {

constexpr Milliseconds kStep{ 10 };
constexpr Milliseconds kTokenGap{ 20 };
constexpr Milliseconds kPrefill{ 60 };
constexpr Seconds kRestart{ 5 };
constexpr std::size_t kSlots = 8;
constexpr Incarnation kIncarnation{ 1 };

struct Workload
{
  const char* mClass;
  int mTier;
  /** Share of the arrivals. */
  double mShare;
  /** Seconds; 0 for none. */
  double mDeadline;
  /** Median tokens of output and the spread of their logarithm. */
  double mTokens;
  double mSpread;
};

constexpr Workload kWorkloads[] = {
  { "confirmation", 0, 0.3, 2.0, 20.0, 0.3 },
  { "draft", 1, 0.5, 10.0, 150.0, 0.8 },
  { "review", 2, 0.2, 0.0, 400.0, 0.5 },
};

double
MeanTokens(const Workload& aWorkload)
{
  return aWorkload.mTokens *
         std::exp(aWorkload.mSpread * aWorkload.mSpread / 2.0);
}

/** @return Seconds of a slot that a mean request takes. */
double
MeanService()
{
  double sum = 0.0;
  for (const Workload& workload : kWorkloads) {
    const double tokens = MeanTokens(workload);
    sum += workload.mShare * (0.06 + tokens * 0.02);
  }
  return sum;
}

} // namespace

ServerLoad::ServerLoad(std::uint64_t aSeed, LoadSettings aSettings)
  : mRandom(aSeed)
  , mSettings(aSettings)
  , mScheduler(kIncarnation, aSettings.mLimits)
{
  Pool pool;
  pool.mConcurrency = kSlots;
  pool.mColdStartConcurrency = mSettings.mColdStart;
  pool.mQueueLimit = 64;
  std::vector<ServiceClass> classes;
  for (const Workload& workload : kWorkloads) {
    ServiceClass serviceClass;
    serviceClass.mName = ClassName(workload.mClass);
    serviceClass.mTier.mValue = mSettings.mClasses ? workload.mTier : 0;
    const bool hasFloor = mSettings.mClasses && workload.mTier == 2;
    serviceClass.mFloorShare = hasFloor ? mSettings.mReviewFloor : 0.0;
    classes.push_back(serviceClass);
  }
  mScheduler.SetPool(pool, classes, mNow);
}

LoadOutcome
ServerLoad::Run(Seconds aDuration)
{
  const double rate =
    mSettings.mLoad * static_cast<double>(kSlots) / MeanService();
  const double perStep = rate * std::chrono::duration<double>(kStep).count();
  std::poisson_distribution<int> arrivals(perStep);
  const Timestamp end = mNow + aDuration;
  while (mNow < end) {
    mNow += kStep;
    for (int count = arrivals(mRandom); count > 0; --count) {
      Arrive();
    }
    Advance();
    Apply(mScheduler.Tick(mNow));
  }
  mOutcome.mLimit = mScheduler.Load(mNow).mLimit;
  return mOutcome;
}

void
ServerLoad::Arrive()
{
  const double draw = std::uniform_real_distribution<>(0.0, 1.0)(mRandom);
  const Workload* workload = std::begin(kWorkloads);
  double passed = workload->mShare;
  while (draw > passed && workload + 1 != std::end(kWorkloads)) {
    ++workload;
    passed += workload->mShare;
  }
  std::lognormal_distribution<> tokens(std::log(workload->mTokens),
                                       workload->mSpread);
  Request request;
  request.mClass = workload->mClass;
  request.mArrival = mNow;
  request.mOutput =
    1U + static_cast<std::uint32_t>(std::min(4000.0, tokens(mRandom)));
  if (workload->mDeadline > 0.0) {
    request.mDeadline =
      mNow + std::chrono::duration_cast<Microseconds>(
               std::chrono::duration<double>(workload->mDeadline));
  }
  Reservation reservation;
  reservation.mId = ReservationId{ ++mLastId };
  reservation.mClass = ClassName(request.mClass);
  reservation.mRepeatable = workload->mTier > 0;
  reservation.mPromptTokens = 100;
  if (mSettings.mClasses) {
    reservation.mDeadline = request.mDeadline;
  }
  ++mOutcome.mClasses[request.mClass].mArrived;
  mWaiting.emplace(mLastId, std::move(request));
  Apply(mScheduler.Reserve(reservation, mNow));
}

void
ServerLoad::Apply(const SchedulerActions& aActions)
{
  for (const SchedulerAction& action : aActions) {
    if (const auto* grant = std::get_if<GrantAction>(&action)) {
      auto node = mWaiting.extract(grant->mId.mValue);
      node.mapped().mGrant = grant->mGrant;
      node.mapped().mCommitted = mNow;
      ClassOutcome& outcome = mOutcome.mClasses[node.mapped().mClass];
      outcome.mLongestWait =
        std::max(outcome.mLongestWait, mNow - node.mapped().mArrival);
      if (mScheduler.Commit(grant->mGrant, kIncarnation, mNow)) {
        mRunning.insert(std::move(node));
      }
    } else if (const auto* refuse = std::get_if<RefuseAction>(&action)) {
      const auto node = mWaiting.extract(refuse->mId.mValue);
      ++mOutcome.mClasses[node.mapped().mClass].mRefused;
    } else if (const auto* cut = std::get_if<CutAction>(&action)) {
      const auto running = mRunning.find(cut->mId.mValue);
      if (running != mRunning.end()) {
        running->second.mCut = true;
      }
    }
  }
}

void
ServerLoad::Advance()
{
  if (mNow < mDownUntil) {
    return;
  }
  CrashIfOverloaded();
  const double others = std::max(0.0, static_cast<double>(mRunning.size()) - 1);
  const double gap = std::chrono::duration<double>(kTokenGap).count() *
                     (1.0 + mSettings.mBatchCost * others);
  const double tokensPerStep =
    std::chrono::duration<double>(kStep).count() / gap;
  std::vector<std::uint64_t> ended;
  for (auto& [id, request] : mRunning) {
    const auto elapsed = mNow - request.mCommitted - kPrefill;
    if (elapsed >= Microseconds(0) && request.mDone == 0) {
      mScheduler.RecordFirstToken(request.mGrant, mNow);
    }
    const auto whole = static_cast<std::uint32_t>(request.mProgress);
    const std::uint32_t upTo = std::min(request.mOutput, whole);
    if (elapsed >= Microseconds(0) && upTo > request.mDone) {
      mScheduler.RecordTokens(request.mGrant, upTo - request.mDone, mNow);
      request.mDone = upTo;
    }
    if (elapsed >= Microseconds(0)) {
      request.mProgress += tokensPerStep;
    }
    if (request.mCut || request.mDone >= request.mOutput) {
      ended.push_back(id);
    }
  }
  for (const std::uint64_t id : ended) {
    Complete(id);
  }
}

void
ServerLoad::Complete(std::uint64_t aId)
{
  const auto node = mRunning.extract(aId);
  const Request& request = node.mapped();
  ClassOutcome& outcome = mOutcome.mClasses[request.mClass];
  const bool isInTime = !request.mDeadline || mNow <= *request.mDeadline;
  if (request.mCut) {
    ++outcome.mRefused;
  } else if (isInTime) {
    ++outcome.mGood;
  } else {
    ++outcome.mLate;
  }
  const bool isGood = !request.mCut && isInTime;
  (isGood ? mOutcome.mGoodTokens : mOutcome.mWastedTokens) += request.mDone;
  ++mFinishedSinceStart;
  Apply(mScheduler.Finish(request.mGrant,
                          request.mCut ? FinishKind::Cancelled
                                       : FinishKind::Succeeded,
                          mNow));
}

void
ServerLoad::CrashIfOverloaded()
{
  const int bears = 2 + mFinishedSinceStart / 2;
  if (!mSettings.mFragile || static_cast<int>(mRunning.size()) <= bears) {
    return;
  }
  ++mOutcome.mCrashes;
  mFinishedSinceStart = 0;
  mDownUntil = mNow + kRestart;
  const auto lost = std::move(mRunning);
  mRunning.clear();
  Apply(mScheduler.BackendRestarted(mNow));
  for (const auto& [id, request] : lost) {
    mOutcome.mWastedTokens += request.mDone;
    ++mOutcome.mClasses[request.mClass].mRefused;
    Apply(mScheduler.Finish(request.mGrant, FinishKind::Failed, mNow));
  }
}

} // namespace medlarkeel
