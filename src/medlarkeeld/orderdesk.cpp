#include "orderdesk.h"

#include "bootclock.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace medlarkeel {

namespace {

constexpr Milliseconds kStepInterval{ 50 };
/** Ranking the agents of a large pool costs most of a millisecond. */
constexpr Milliseconds kPlacementInterval{ 1000 };
constexpr Milliseconds kPauseLimit{ 1000 };
constexpr Milliseconds kRetryAfterFailure{ 1000 };

OrderLimits
LimitsFrom(const Settings& aSettings)
{
  OrderLimits limits;
  limits.mPauseBound = aSettings.mOrders.mPauseBound;
  limits.mOrderTimeout = aSettings.mOrders.mTimeout;
  limits.mListValidity = aSettings.mControl.mEvidenceValid;
  limits.mListLag = aSettings.mControl.mListLagBound;
  return limits;
}

PlacementLimits
PlacementFrom(const OrderSettings& aSettings)
{
  PlacementLimits limits;
  limits.mSettle = aSettings.mAdapterSettle;
  limits.mHold = aSettings.mAdapterHold;
  return limits;
}

RolloutLimits
RolloutFrom(const OrderSettings& aSettings)
{
  return { aSettings.mRolloutWidth, aSettings.mRolloutTurn };
}

bool
NeedsWeights(OrderKind aKind)
{
  return aKind == OrderKind::LoadVersion || aKind == OrderKind::LoadAdapter;
}

const char*
ResultText(OrderResult aResult)
{
  switch (aResult) {
    case OrderResult::Accepted:
      return "accepted";
    case OrderResult::Failed:
      return "failed";
    case OrderResult::RefusedAsOld:
      return "refused-as-old";
    case OrderResult::TimedOut:
      return "timed-out";
  }
  return "";
}

template<typename Id>
EventFields
Texts(const std::set<Id>& aIds)
{
  EventFields texts = EventFields::array();
  for (const Id& id : aIds) {
    texts.push_back(id.Text());
  }
  return texts;
}

EventFields
StateFields(const BackendState& aState)
{
  return { { "version", aState.mVersion },
           { "role", aState.mRole },
           { "adapters", Texts(aState.mAdapters) } };
}

/** @return The agents that the list gives each adapter of the pool. */
EventFields
ConsideredHolders(const Pool& aPool, const InstanceList& aList)
{
  EventFields considered = EventFields::object();
  for (const AdapterName& adapter : aPool.mAdapters) {
    considered[adapter.Text()] = Texts(
      AdapterHolders(adapter, aPool.mName, aList, PlacementLimits().mCopies));
  }
  return considered;
}

} // namespace

OrderDesk::OrderDesk(const Settings& aSettings,
                     Incarnation aIncarnation,
                     OrderEnvironment aEnvironment)
  : mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mStarted(BootNow())
  , mEnvironment(std::move(aEnvironment))
  , mClient("http://" + EndpointText(aSettings.mBackendServer->mEndpoint),
            [this] { return IsStopping(); })
  , mPlacement(aSettings.mInstanceId, PlacementFrom(aSettings.mOrders))
  , mRollout(aSettings.mInstanceId, RolloutFrom(aSettings.mOrders))
  , mPauses(kPauseLimit)
{
}

OrderDesk::~OrderDesk()
{
  Stop();
}

void
OrderDesk::Start()
{
  if (mSettings.mBackendServer->mKind == PoolKind::Model) {
    mThread = std::thread([this] { Run(); });
  }
}

void
OrderDesk::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
OrderDesk::ApplyDocument(const EnvironmentDocument& aDocument)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const Pool& pool : aDocument.mPools) {
    if (pool.mName == mSettings.mBackendServer->mPool) {
      mInputs.mPool = pool;
    }
  }
}

void
OrderDesk::ApplyList(const InstanceList& aList, Timestamp aSentAt)
{
  const bool isListed = std::any_of(
    aList.mInstances.begin(),
    aList.mInstances.end(),
    [this](const InstanceRecord& aRecord) { return IsOwnRecord(aRecord); });
  const std::lock_guard<std::mutex> lock(mMutex);
  if (!mInputs.mList || aList.mRevision > mInputs.mList->mRevision) {
    mInputs.mList = std::make_shared<const InstanceList>(aList);
  }
  if (isListed) {
    mInputs.mListedAt = aSentAt;
  }
}

void
OrderDesk::ResumeAfterPause()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mInputs.mPaused = true;
}

bool
OrderDesk::IsOwnRecord(const InstanceRecord& aRecord) const
{
  return aRecord.mId == mSettings.mInstanceId &&
         aRecord.mAddress == EndpointText(mSettings.mGrpcListen);
}

void
OrderDesk::Run()
{
  while (SleepFor(kStepInterval)) {
    Step();
  }
}

bool
OrderDesk::SleepFor(Milliseconds aTime)
{
  std::unique_lock<std::mutex> lock(mMutex);
  return !mWake.wait_for(lock, aTime, [this] { return mStopping; });
}

bool
OrderDesk::IsStopping()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mStopping;
}

OrderDesk::Inputs
OrderDesk::TakeInputs()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Inputs inputs = mInputs;
  mInputs.mPaused = false;
  return inputs;
}

void
OrderDesk::Step()
{
  const Inputs inputs = TakeInputs();
  if (!inputs.mPool || !inputs.mList) {
    return;
  }
  const Timestamp now = BootNow();
  Prepare(inputs, now);
  if (now < mNotBefore) {
    return;
  }
  UpdateDesired(inputs, now);
  const OrderStep step = mIssuer->Next(mEnvironment.mCore.IsDrained(), now);
  std::visit([this](const auto& aStep) { Handle(aStep); }, step);
}

void
OrderDesk::Prepare(const Inputs& aInputs, Timestamp aNow)
{
  if (!mIssuer) {
    mIssuer.emplace(mIncarnation,
                    aInputs.mPool->mHonoursFencing,
                    mStarted,
                    LimitsFrom(mSettings));
  }
  if (mPauses.Observe(aNow) || aInputs.mPaused) {
    mIssuer->ResumeAfterPause(aNow);
  }
  if (aInputs.mListedAt) {
    mIssuer->RecordListed(*aInputs.mListedAt);
  }
}

void
OrderDesk::UpdateDesired(const Inputs& aInputs, Timestamp aNow)
{
  if (mObserved) {
    FollowVersion(aInputs, aNow);
    PlaceAdapters(aInputs, aNow);
    KeepAdaptersInUse();
  }
  mIssuer->SetDesired(mDesired);
}

void
OrderDesk::FollowVersion(const Inputs& aInputs, Timestamp aNow)
{
  mDesired.mRole = mObserved->mRole;
  const std::string& version =
    mRollout.Update(*aInputs.mPool, *aInputs.mList, mObserved->mVersion, aNow);
  if (version == mDesired.mVersion) {
    return;
  }
  mDesired.mVersion = version;
  if (version != mObserved->mVersion) {
    mEnvironment.mLog.Write(Event::PlacementDecided,
                            { { "what", "version" },
                              { "observed", mObserved->mVersion },
                              { "desired", version },
                              { "listRevision", aInputs.mList->mRevision },
                              { "why", "own turn in the rollout" } });
  }
}

void
OrderDesk::PlaceAdapters(const Inputs& aInputs, Timestamp aNow)
{
  if (aNow < mNextPlacement) {
    return;
  }
  mNextPlacement = aNow + kPlacementInterval;
  const std::set<AdapterName> before = mPlaced;
  mPlaced = mPlacement.Update(*aInputs.mPool, *aInputs.mList, aNow);
  if (mPlaced != before) {
    mEnvironment.mLog.Write(
      Event::PlacementDecided,
      { { "what", "adapters" },
        { "observed", Texts(mObserved->mAdapters) },
        { "desired", Texts(mPlaced) },
        { "considered", ConsideredHolders(*aInputs.mPool, *aInputs.mList) },
        { "listRevision", aInputs.mList->mRevision },
        { "why", "rank among the pool's agents, settled" } });
  }
}

/** An adapter is unloaded only after its requests have ended. */
void
OrderDesk::KeepAdaptersInUse()
{
  std::set<AdapterName> served;
  mDesired.mAdapters = mPlaced;
  for (const AdapterName& adapter : mObserved->mAdapters) {
    if (mPlaced.count(adapter) != 0) {
      served.insert(adapter);
    }
  }
  mEnvironment.mCore.SetAdapters(std::move(served));
  for (const AdapterName& adapter : mObserved->mAdapters) {
    if (mEnvironment.mCore.HasWorkFor(adapter)) {
      mDesired.mAdapters.insert(adapter);
    }
  }
}

void
OrderDesk::Handle(const WaitStep& aStep)
{
  if (!aStep.mUntil) {
    EndDrain("nothing to change");
  }
  if (mIssuer->IsSuperseded() && !mLoggedSuperseded) {
    mLoggedSuperseded = true;
    mEnvironment.mLog.Write(Event::AgentSuperseded,
                            { { "incarnation", mIncarnation.mValue } });
  }
}

void
OrderDesk::Handle(const ReadStateStep& aStep)
{
  static_cast<void>(aStep);
  const Timestamp asked = BootNow();
  const auto reading = mClient.ReadState();
  mPauses = PauseDetector(kPauseLimit);
  if (!reading || reading.value().mIsLoading) {
    mNotBefore = asked + kRetryAfterFailure;
    return;
  }
  TakeReading(reading.value(), asked);
}

void
OrderDesk::TakeReading(const BackendReading& aReading, Timestamp aAsked)
{
  if (!mObserved) {
    mPlacement.AdoptLoaded(aReading.mState.mAdapters);
  }
  mObserved = aReading.mState;
  if (aReading.mFencingNumber) {
    mIssuer->RecordFencingNumber(*aReading.mFencingNumber);
  }
  mIssuer->RecordState(aReading.mState, std::nullopt, aAsked);
}

void
OrderDesk::Handle(const DrainStep& aStep)
{
  static_cast<void>(aStep);
  if (mDraining) {
    return;
  }
  mDraining = true;
  mEnvironment.mCore.SetDraining(true);
  mEnvironment.mLog.Write(Event::DrainBegan,
                          { { "observed", StateFields(*mObserved) },
                            { "desired", StateFields(mDesired) } });
}

void
OrderDesk::EndDrain(const char* aWhy)
{
  if (!mDraining) {
    return;
  }
  mDraining = false;
  if (std::exchange(mReloaded, false)) {
    mEnvironment.mCore.RecordReload();
  }
  mEnvironment.mCore.SetDraining(false);
  mEnvironment.mLog.Write(Event::DrainEnded, { { "why", aWhy } });
}

void
OrderDesk::Handle(const SendOrderStep& aStep)
{
  if (!MayLoad(aStep)) {
    return;
  }
  WriteOrder(Event::OrderDecided, aStep, "the state differs from the desired");
  SleepFor(mSettings.mOrders.mNotice);
  if (IsStopping() || !mIssuer->MaySend(aStep.mToken, BootNow())) {
    mIssuer->Withdraw(aStep.mToken, BootNow());
    WriteOrder(Event::OrderVoided, aStep, "too long after the decision");
    return;
  }
  SendOrder(aStep);
}

/** Takes a load of the weight store's rate; voids the order without one. */
bool
OrderDesk::MayLoad(const SendOrderStep& aStep)
{
  if (!NeedsWeights(aStep.mOrder.mKind)) {
    return true;
  }
  const AdmitVerdict verdict = mEnvironment.mTakeLoad();
  if (verdict.mAdmitted) {
    mLoggedShortage = false;
    return true;
  }
  const Timestamp now = BootNow();
  mIssuer->Withdraw(aStep.mToken, now);
  mNotBefore = now + std::clamp<Microseconds>(
                       verdict.mRetryAfter, kStepInterval, kRetryAfterFailure);
  if (!std::exchange(mLoggedShortage, true)) {
    WriteOrder(Event::OrderVoided, aStep, "waits for the weight store's rate");
  }
  return false;
}

void
OrderDesk::SendOrder(const SendOrderStep& aStep)
{
  const OrderResult result = mClient.Send(
    aStep.mOrder, FencingNumber(aStep.mToken), mSettings.mOrders.mTimeout);
  mPauses = PauseDetector(kPauseLimit);
  mIssuer->RecordResult(aStep.mToken, result, BootNow());
  WriteOrder(Event::OrderEnded, aStep, ResultText(result));
  mReloaded = mReloaded || aStep.mOrder.mKind == OrderKind::LoadVersion;
  if (result == OrderResult::Failed) {
    mNotBefore = BootNow() + kRetryAfterFailure;
    EndDrain("the order failed");
  }
}

void
OrderDesk::WriteOrder(Event aEvent,
                      const SendOrderStep& aStep,
                      const std::string& aWhy)
{
  mEnvironment.mLog.Write(aEvent,
                          { { "number", FencingNumber(aStep.mToken) },
                            { "kind", OrderKindText(aStep.mOrder.mKind) },
                            { "subject", aStep.mOrder.mSubject },
                            { "observed", StateFields(*mObserved) },
                            { "desired", StateFields(mDesired) },
                            { "why", aWhy } });
}

} // namespace medlarkeel
