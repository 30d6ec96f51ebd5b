#include "burstload.h"

#include <utility>
#include <variant>

namespace medlarkeel {

namespace {

constexpr Milliseconds kStep{ 5 };
constexpr Milliseconds kFirstToken{ 150 };
constexpr Milliseconds kTokenGap{ 40 };
constexpr std::uint32_t kTokens = 40;
constexpr Milliseconds kRun = kFirstToken + (kTokens - 1) * kTokenGap;
constexpr Seconds kRound{ 40 };
constexpr Seconds kBurstFrom{ 5 };
constexpr Seconds kBurstUntil{ 9 };
constexpr std::size_t kSlots = 16;
constexpr std::size_t kQueueLimit = 64;
constexpr std::size_t kWarmRequests = 200;
constexpr Incarnation kIncarnation{ 1 };

struct Load
{
  const char* mClass;
  int mTier;
  double mRate;      // requests a second
  double mBurstRate; // requests a second, while the burst lasts
  Milliseconds mTarget;
  Seconds mDeadline;
  double mFloor;
};

constexpr Load kLoads[] = {
  { "draft", 2, 2.9, 26.7, Milliseconds(1700), Seconds(30), 0.05 },
  { "notice", 3, 0.8, 0.0, Milliseconds(3000), Seconds(60), 0.03 },
};

double
ToSeconds(Milliseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

BurstLoad::BurstLoad(std::uint64_t aSeed, BurstSettings aSettings)
  : mRandom(aSeed)
  , mSettings(aSettings)
  , mScheduler(kIncarnation, aSettings.mLimits)
{
  Pool pool;
  pool.mConcurrency = kSlots;
  pool.mColdStartConcurrency = kSlots;
  pool.mQueueLimit = kQueueLimit;
  mScheduler.SetPool(pool, Classes(), mNow);
}

std::vector<ServiceClass>
BurstLoad::Classes() const
{
  std::vector<ServiceClass> classes;
  for (const Load& load : kLoads) {
    ServiceClass serviceClass;
    serviceClass.mName = ClassName(load.mClass);
    serviceClass.mTier = TierRank{ load.mTier };
    serviceClass.mFloorShare = load.mFloor;
    if (mSettings.mOrder == BurstOrder::Targets) {
      serviceClass.mFirstByteTarget = load.mTarget;
    }
    classes.push_back(std::move(serviceClass));
  }
  return classes;
}

std::map<std::string, BurstOutcome>
BurstLoad::Run(int aRounds)
{
  for (std::size_t index = 0; index < kWarmRequests; ++index) {
    mRound = mNow;
    Arrive(0);
    for (int step = 0; step < 40; ++step) {
      Step();
    }
  }
  mOutcomes.clear();
  for (int round = 0; round < aRounds; ++round) {
    mRound = mNow;
    while (mNow < mRound + kRound) {
      const bool bursts =
        mNow >= mRound + kBurstFrom && mNow < mRound + kBurstUntil;
      for (std::size_t index = 0; index < std::size(kLoads); ++index) {
        const Load& load = kLoads[index];
        const double rate = load.mRate + (bursts ? load.mBurstRate : 0.0);
        std::poisson_distribution<int> draw(rate * ToSeconds(kStep));
        for (int count = draw(mRandom); count > 0; --count) {
          Arrive(index);
        }
      }
      Step();
    }
  }
  return mOutcomes;
}

void
BurstLoad::Step()
{
  mNow += kStep;
  Commit();
  Advance();
  Apply(mScheduler.Tick(mNow));
}

void
BurstLoad::Arrive(std::size_t aClass)
{
  Request request;
  request.mClass = aClass;
  request.mArrival = mNow;
  ++OutcomeOf(request).mArrived;
  const std::uint64_t first = Reserve(request);
  const auto waiting = mRequests.find(first);
  const bool mustWait =
    waiting != mRequests.end() && waiting->second.mGrant.mValue == 0;
  const bool isSecond =
    mSettings.mSecondShare > 0.0 && mustWait &&
    std::bernoulli_distribution(mSettings.mSecondShare)(mRandom);
  if (isSecond) {
    waiting->second.mOther = first + 1;
    request.mOther = first;
    Reserve(request);
  }
}

std::uint64_t
BurstLoad::Reserve(const Request& aRequest)
{
  Reservation reservation;
  reservation.mId = ReservationId{ ++mLastId };
  reservation.mClass = ClassName(kLoads[aRequest.mClass].mClass);
  reservation.mRepeatable = true;
  reservation.mPromptTokens = 100;
  reservation.mDeadline = DeadlineOf(aRequest.mClass);
  mRequests.emplace(mLastId, aRequest);
  Apply(mScheduler.Reserve(reservation, mNow));
  return reservation.mId.mValue;
}

void
BurstLoad::GiveUpOther(Request& aRequest)
{
  const std::uint64_t other = std::exchange(aRequest.mOther, 0);
  if (mRequests.erase(other) > 0) {
    Apply(mScheduler.Cancel(ReservationId{ other }, mNow));
  }
}

Timestamp
BurstLoad::DeadlineOf(std::size_t aClass) const
{
  const Seconds deadline = kLoads[aClass].mDeadline;
  if (mSettings.mOrder == BurstOrder::NewestFirst) {
    return mRound + deadline + kRound - (mNow - mRound);
  }
  return mNow + deadline;
}

BurstOutcome&
BurstLoad::OutcomeOf(const Request& aRequest)
{
  return mOutcomes[kLoads[aRequest.mClass].mClass];
}

void
BurstLoad::Commit()
{
  for (auto& [id, request] : mRequests) {
    const bool isDue = request.mGrant.mValue != 0 && !request.mIsCommitted &&
                       request.mCommitted <= mNow;
    if (isDue && mScheduler.Commit(request.mGrant, kIncarnation, mNow)) {
      request.mIsCommitted = true;
    }
  }
}

void
BurstLoad::Advance()
{
  std::vector<std::uint64_t> ended;
  for (auto& [id, request] : mRequests) {
    if (!request.mIsCommitted) {
      continue;
    }
    const auto elapsed = mNow - request.mCommitted;
    if (elapsed >= kFirstToken && !request.mHasFirst) {
      request.mHasFirst = true;
      mScheduler.RecordFirstToken(request.mGrant, mNow);
      mScheduler.RecordTokens(request.mGrant, 1, mNow);
      const bool isInTime =
        mNow - request.mArrival <= kLoads[request.mClass].mTarget;
      OutcomeOf(request).mMet += isInTime ? 1 : 0;
    }
    if (request.mCut || elapsed >= kRun) {
      ended.push_back(id);
    }
  }
  for (const std::uint64_t id : ended) {
    const auto node = mRequests.extract(id);
    const Request& request = node.mapped();
    if (!request.mCut) {
      mScheduler.RecordTokens(request.mGrant, kTokens - 1, mNow);
      ++OutcomeOf(request).mWhole;
    }
    const FinishKind kind =
      request.mCut ? FinishKind::Cancelled : FinishKind::Succeeded;
    Apply(mScheduler.Finish(request.mGrant, kind, mNow));
  }
}

void
BurstLoad::Apply(const SchedulerActions& aActions)
{
  for (const SchedulerAction& action : aActions) {
    if (const auto* grant = std::get_if<GrantAction>(&action)) {
      std::exponential_distribution<double> delay(
        1.0 / static_cast<double>(mSettings.mCommitDelay.count()));
      Request& request = mRequests.at(grant->mId.mValue);
      request.mGrant = grant->mGrant;
      request.mCommitted =
        mNow + Milliseconds(static_cast<Milliseconds::rep>(delay(mRandom)));
      GiveUpOther(request);
    } else if (const auto* refuse = std::get_if<RefuseAction>(&action)) {
      Refuse(refuse->mId.mValue);
    } else if (const auto* cut = std::get_if<CutAction>(&action)) {
      mRequests.at(cut->mId.mValue).mCut = true;
    }
  }
}

void
BurstLoad::Refuse(std::uint64_t aId)
{
  const auto node = mRequests.extract(aId);
  const auto other = mRequests.find(node.mapped().mOther);
  if (other != mRequests.end()) {
    other->second.mOther = 0;
    return;
  }
  BurstOutcome& outcome = OutcomeOf(node.mapped());
  const bool isAtOnce = node.mapped().mArrival == mNow;
  ++(isAtOnce ? outcome.mRefusedAtOnce : outcome.mRefusedLater);
}

} // namespace medlarkeel
