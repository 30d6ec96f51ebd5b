#include "schedulerworld.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>
#include <variant>

namespace medlarkeel {

namespace {

constexpr Incarnation kIncarnation{ 3 };
constexpr Milliseconds kPrefill{ 20 };
constexpr Milliseconds kTokenGap{ 10 };
constexpr std::uint32_t kOutputTokens = 40;
/** Part of a target that may pass before the prefill has to begin. */
constexpr double kTargetPart = 0.9;
constexpr Milliseconds kRunTime = kPrefill + kOutputTokens * kTokenGap;

} // namespace

SchedulerWorld::SchedulerWorld(std::uint64_t aSeed, Settings aSettings)
  : mRandom(aSeed)
  , mSettings(std::move(aSettings))
  , mScheduler(kIncarnation)
{
  Pool pool;
  pool.mColdStartConcurrency = mSettings.mColdStart;
  pool.mConcurrency = mSettings.mConcurrency;
  pool.mQueueLimit = mSettings.mQueueLimit;
  Apply(mScheduler.SetPool(pool, mSettings.mClasses, mNow));
}

std::string
SchedulerWorld::Run(int aSteps)
{
  for (int step = 0; step < aSteps && mFault.empty(); ++step) {
    mNow += Milliseconds(Pick(40));
    Step();
    CheckState();
  }
  return mFault;
}

int
SchedulerWorld::Count(const std::string& aEvent) const
{
  const auto found = mCounts.find(aEvent);
  return found == mCounts.end() ? 0 : found->second;
}

std::int64_t
SchedulerWorld::Pick(std::int64_t aBound)
{
  return std::uniform_int_distribution<std::int64_t>(0, aBound - 1)(mRandom);
}

bool
SchedulerWorld::Chance(int aPercent)
{
  return Pick(100) < aPercent;
}

void
SchedulerWorld::Fault(const std::string& aText)
{
  if (mFault.empty()) {
    mFault = aText;
  }
}

void
SchedulerWorld::Step()
{
  Apply(mScheduler.Tick(mNow));
  RunEngine();
  if (Chance(mSettings.mArrivals)) {
    Arrive();
  }
  CommitSome();
  if (mSettings.mFaults && Chance(2)) {
    Disturb();
  }
}

void
SchedulerWorld::Arrive()
{
  const auto count = static_cast<std::int64_t>(mSettings.mClasses.size());
  const auto index = static_cast<std::size_t>(Pick(count));
  const ServiceClass& serviceClass = mSettings.mClasses[index];
  Tracked tracked;
  tracked.mReservation.mId = ReservationId{ ++mLastId };
  tracked.mReservation.mTeam = TeamName("team");
  tracked.mReservation.mKey = KeyId(Chance(50) ? "one" : "two");
  tracked.mReservation.mClass = serviceClass.mName;
  tracked.mReservation.mRepeatable = Chance(70);
  tracked.mReservation.mPromptTokens = 100;
  const bool mayHaveDeadline =
    !HasFloor(serviceClass.mName) || serviceClass.mFirstByteTarget;
  if (mayHaveDeadline && Chance(mSettings.mDeadlines)) {
    tracked.mReservation.mDeadline = mNow + Milliseconds(300 + Pick(2000));
  }
  SetTimes(tracked, serviceClass);
  tracked.mTier = serviceClass.mTier.mValue;
  const Reservation reservation = tracked.mReservation;
  mAll.emplace(mLastId, std::move(tracked));
  Apply(mScheduler.Reserve(reservation, mNow));
}

void
SchedulerWorld::SetTimes(Tracked& aTracked, const ServiceClass& aClass)
{
  const auto& deadline = aTracked.mReservation.mDeadline;
  if (!aClass.mFirstByteTarget) {
    aTracked.mDue = deadline.value_or(mNow + Seconds(60));
    return;
  }
  const Milliseconds target = *aClass.mFirstByteTarget;
  aTracked.mDue = mNow + target;
  if (deadline) {
    aTracked.mDue = std::min(aTracked.mDue, *deadline);
    const auto allowed =
      std::chrono::duration_cast<Milliseconds>(target * kTargetPart);
    const Milliseconds prefill = mKnowsPrefill ? kPrefill : Milliseconds(0);
    aTracked.mLatestStart = mNow + allowed - prefill;
  }
}

void
SchedulerWorld::CommitSome()
{
  for (const std::uint64_t id : In(State::Granted)) {
    Tracked& tracked = mAll.at(id);
    if (Chance(3)) {
      tracked.mState = State::Ended;
      Apply(mScheduler.Cancel(tracked.mReservation.mId, mNow));
    } else if (Chance(60)) {
      if (!mScheduler.Commit(tracked.mGrant, kIncarnation, mNow)) {
        Fault("a valid grant was refused at its commit");
      }
      tracked.mState = State::Committed;
      tracked.mCommitted = mNow;
    }
  }
}

void
SchedulerWorld::RunEngine()
{
  std::vector<std::uint64_t> running = In(State::Committed);
  for (const std::uint64_t id : running) {
    Tracked& tracked = mAll.at(id);
    const auto elapsed = mNow - tracked.mCommitted;
    if (elapsed >= kPrefill && !tracked.mFirstToken) {
      tracked.mFirstToken = true;
      mKnowsPrefill = true;
      mScheduler.RecordFirstToken(tracked.mGrant,
                                  tracked.mCommitted + kPrefill);
    }
    if (elapsed < kRunTime || tracked.mState != State::Committed) {
      continue;
    }
    mScheduler.RecordTokens(tracked.mGrant, 1, tracked.mCommitted + kPrefill);
    mScheduler.RecordTokens(
      tracked.mGrant, kOutputTokens, tracked.mCommitted + kRunTime);
    tracked.mState = State::Ended;
    const bool fails = mSettings.mFaults && Chance(5);
    mSuccesses += fails ? 0U : 1U;
    Apply(mScheduler.Finish(tracked.mGrant,
                            fails ? FinishKind::Failed : FinishKind::Succeeded,
                            mNow));
  }
  for (const std::uint64_t id : In(State::Committed)) {
    if (Chance(1)) {
      ++mCounts["left while running"];
      Apply(mScheduler.Cancel(ReservationId{ id }, mNow));
      mAll.at(id).mState = State::Cut;
    }
  }
  for (const std::uint64_t id : In(State::Cut)) {
    Tracked& tracked = mAll.at(id);
    if (Chance(50)) {
      tracked.mState = State::Ended;
      Apply(mScheduler.Finish(tracked.mGrant, FinishKind::Cancelled, mNow));
    }
  }
}

void
SchedulerWorld::Disturb()
{
  switch (Pick(4)) {
    case 0:
      Restart();
      break;
    case 1:
      mNow += Seconds(Pick(20));
      Apply(mScheduler.ResumeAfterPause(Seconds(5), mNow));
      break;
    case 2:
      Apply(mScheduler.WithdrawKeys(
        [](const TeamName&, const KeyId& aKey) { return aKey.Text() == "one"; },
        WithdrawnStreams::Finish,
        mNow));
      break;
    default:
      Apply(mScheduler.SetAccepting(false, RefusalReason::ZoneOut, mNow));
      if (!In(State::Waiting).empty() || !In(State::Granted).empty()) {
        Fault("work was left after the agent closed");
      }
      Apply(mScheduler.SetAccepting(true, RefusalReason::ZoneOut, mNow));
      break;
  }
}

void
SchedulerWorld::Restart()
{
  const bool isTold = Chance(50);
  if (isTold) {
    mSuccesses = 0;
    mColdStart = mNow;
    mKnowsPrefill = false;
    Apply(mScheduler.BackendRestarted(mNow));
  }
  std::vector<std::uint64_t> lost = In(State::Committed);
  const std::vector<std::uint64_t> cut = In(State::Cut);
  lost.insert(lost.end(), cut.begin(), cut.end());
  for (const std::uint64_t id : lost) {
    Tracked& tracked = mAll.at(id);
    if (!isTold && mColdStart < tracked.mCommitted) {
      mSuccesses = 0;
      mColdStart = mNow;
      mKnowsPrefill = false;
    }
    tracked.mState = State::Ended;
    const FinishKind kind = isTold ? FinishKind::Failed : FinishKind::Lost;
    Apply(mScheduler.Finish(tracked.mGrant, kind, mNow));
  }
}

void
SchedulerWorld::Apply(const SchedulerActions& aActions)
{
  for (const SchedulerAction& action : aActions) {
    std::visit([this](const auto& aAction) { Check(aAction); }, action);
  }
}

void
SchedulerWorld::Check(const GrantAction& aAction)
{
  Tracked& tracked = mAll.at(aAction.mId.mValue);
  if (tracked.mState != State::Waiting) {
    Fault("a grant went to work that doesn't wait");
  }
  const Tracked* first = First();
  tracked.mFloor = first != &tracked;
  if (tracked.mFloor && FirstOf(tracked.mReservation.mClass) != &tracked) {
    Fault("a grant broke the order of service");
  }
  if (tracked.mFloor && !HasFloor(tracked.mReservation.mClass)) {
    Fault("a grant went past the head without a floor");
  }
  ++mCounts[tracked.mFloor ? "floor grant" : "grant"];
  CheckFloors(tracked);
  tracked.mState = State::Granted;
  tracked.mGrant = aAction.mGrant;
  const std::size_t limit =
    std::min(mSettings.mConcurrency, mSettings.mColdStart + mSuccesses);
  if (InFlight() > limit || InFlight() > mScheduler.Load(mNow).mLimit) {
    Fault("more in flight than the cold start bears");
  }
}

void
SchedulerWorld::Check(const RefuseAction& aAction)
{
  Tracked& tracked = mAll.at(aAction.mId.mValue);
  const RefusalReason reason = aAction.mRefusal.mReason;
  ++mCounts[ReasonCode(reason)];
  if (tracked.mState != State::Waiting && tracked.mState != State::Granted) {
    Fault("work was refused as not run after its commit");
  }
  if (aAction.mRefusal.mExecuted != Executed::No) {
    Fault("a refusal before the commit doesn't say that nothing ran");
  }
  const State before = tracked.mState;
  tracked.mState = State::Ended;
  if (reason == RefusalReason::Overloaded || reason == RefusalReason::Shed) {
    if (before == State::Waiting) {
      CheckShed(tracked);
    }
  }
  if (before == State::Granted &&
      mScheduler.Commit(tracked.mGrant, kIncarnation, mNow)) {
    Fault("a refused grant could be committed");
  }
}

void
SchedulerWorld::Check(const CutAction& aAction)
{
  Tracked& tracked = mAll.at(aAction.mId.mValue);
  ++mCounts["cut"];
  if (tracked.mState != State::Committed) {
    Fault("work was cut that doesn't run");
  }
  if (!tracked.mReservation.mRepeatable) {
    Fault("work was cut that may not be repeated");
  }
  const bool isShed = aAction.mRefusal.mReason == RefusalReason::Shed;
  const Tracked* first = First();
  if (isShed && (first == nullptr || first->mTier >= tracked.mTier)) {
    Fault("work was cut for no higher tier");
  }
  tracked.mState = State::Cut;
}

void
SchedulerWorld::CheckShed(const Tracked& aVictim)
{
  const bool hasTarget = aVictim.mLatestStart != Timestamp::max();
  const Tracked* first = First();
  const bool wasFirst = first == nullptr || OrderOf(aVictim) < OrderOf(*first);
  const bool hadTime =
    wasFirst && mNow + kRunTime + 2 * kTokenGap <= aVictim.mLatestStart;
  std::size_t waiting = 1;
  for (auto& [id, other] : mAll) {
    const bool isLower = other.mTier > aVictim.mTier;
    const bool isYoungRun = other.mState == State::Committed &&
                            other.mReservation.mRepeatable &&
                            mNow - other.mCommitted < kRunTime / 2;
    if (other.mState == State::Waiting) {
      const ClassName& name = other.mReservation.mClass;
      const bool isFloor = HasFloor(name) && FirstOf(name) == &other;
      waiting += isFloor ? 0U : 1U;
      const bool isBeside = !isFloor && other.mTier == aVictim.mTier;
      const bool isNewer = aVictim.mReservation.mId < other.mReservation.mId;
      if (isBeside && isNewer && (!hasTarget || IsLate(other))) {
        Fault("older work was shed before newer work of its tier");
      }
      if (isBeside && hadTime && IsLate(other)) {
        Fault("work that could meet its target was shed before late work");
      }
      if (isLower && !isFloor) {
        Fault("a higher tier was refused while a lower one waited");
      }
    } else if (isLower && !other.mFloor &&
               (other.mState == State::Granted || isYoungRun)) {
      Fault("a higher tier was refused while a lower one held a slot");
    }
  }
  const ClassName& victimClass = aVictim.mReservation.mClass;
  const Tracked* kept = FirstOf(victimClass);
  if (HasFloor(victimClass) &&
      (kept == nullptr || OrderOf(aVictim) < OrderOf(*kept))) {
    Fault("the first work of a class with a floor was shed");
  }
  if (waiting <= mSettings.mQueueLimit) {
    Fault("work was shed while there was room");
  }
}

void
SchedulerWorld::CheckFloors(const Tracked& aGranted)
{
  std::size_t floors = 0;
  for (const ServiceClass& serviceClass : mSettings.mClasses) {
    floors += HasFloor(serviceClass.mName) ? 1U : 0U;
  }
  for (const ServiceClass& serviceClass : mSettings.mClasses) {
    const ClassName& name = serviceClass.mName;
    const bool isServed = name == aGranted.mReservation.mClass;
    if (!HasFloor(name) || isServed || FirstOf(name) == nullptr) {
      mPassedBy[name] = 0;
      continue;
    }
    const double bound = std::ceil(2.0 / serviceClass.mFloorShare) +
                         static_cast<double>(floors) - 1.0;
    if (static_cast<double>(++mPassedBy[name]) > bound) {
      Fault("a class waited longer than its floor allows");
    }
  }
}

void
SchedulerWorld::CheckState()
{
  const LoadSnapshot load = mScheduler.Load(mNow);
  if (load.mQueued != In(State::Waiting).size()) {
    Fault("the scheduler and the list differ in what waits");
  }
  if (load.mRunning != InFlight()) {
    Fault("the scheduler and the list differ in what is in flight");
  }
  if (load.mQueued > 0 && load.mRunning < load.mLimit) {
    Fault("a slot was free while work waited");
  }
  for (auto entry = mAll.begin(); entry != mAll.end();) {
    const bool isOver = entry->second.mState == State::Ended;
    entry = isOver ? mAll.erase(entry) : std::next(entry);
  }
}

bool
SchedulerWorld::IsLate(const Tracked& aTracked) const
{
  return aTracked.mLatestStart < mNow;
}

SchedulerWorld::Order
SchedulerWorld::OrderOf(const Tracked& aTracked) const
{
  const bool isLate = IsLate(aTracked);
  const Timestamp due =
    isLate ? *aTracked.mReservation.mDeadline : aTracked.mDue;
  return { aTracked.mTier, isLate, due, aTracked.mReservation.mId.mValue };
}

template<typename Predicate>
SchedulerWorld::Tracked*
SchedulerWorld::FirstWhere(const Predicate& aPredicate)
{
  Tracked* first = nullptr;
  for (auto& [id, tracked] : mAll) {
    if (tracked.mState == State::Waiting && aPredicate(tracked) &&
        (first == nullptr || OrderOf(tracked) < OrderOf(*first))) {
      first = &tracked;
    }
  }
  return first;
}

SchedulerWorld::Tracked*
SchedulerWorld::First()
{
  return FirstWhere([](const Tracked&) { return true; });
}

SchedulerWorld::Tracked*
SchedulerWorld::FirstOf(const ClassName& aClass)
{
  return FirstWhere([&aClass](const Tracked& aTracked) {
    return aTracked.mReservation.mClass == aClass;
  });
}

std::size_t
SchedulerWorld::InFlight() const
{
  return In(State::Granted).size() + In(State::Committed).size() +
         In(State::Cut).size();
}

std::vector<std::uint64_t>
SchedulerWorld::In(State aState) const
{
  std::vector<std::uint64_t> ids;
  for (const auto& [id, tracked] : mAll) {
    if (tracked.mState == aState) {
      ids.push_back(id);
    }
  }
  return ids;
}

bool
SchedulerWorld::HasFloor(const ClassName& aClass) const
{
  return std::any_of(mSettings.mClasses.begin(),
                     mSettings.mClasses.end(),
                     [&aClass](const ServiceClass& aServiceClass) {
                       return aServiceClass.mName == aClass &&
                              aServiceClass.mFloorShare > 0.0;
                     });
}

} // namespace medlarkeel
