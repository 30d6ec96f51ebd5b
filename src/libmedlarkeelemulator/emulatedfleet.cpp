#include "emulatedfleet.h"

#include <algorithm>
#include <limits>
#include <unordered_set>

namespace medlarkeel {

namespace {

/** Start of virtual time: late enough that no time of a past is negative. */
const Timestamp kStart{ Seconds(1000) };

/** Start of entries that know all others. */
const Timestamp kEntriesStarted{ Seconds(900) };

/** Time after a restart within which the requests of an entry are excused. */
constexpr double kContactMs = 3000.0;

constexpr double kMillisecondsPerSecond = 1000.0;

/** Highest rank that the engines accept. */
constexpr int kMaximumRank = 9;

/** Way between an entry and a server, in one direction. */
constexpr double kLinkMs = 1.0;

Microseconds
TimeOf(double aMilliseconds)
{
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  return Microseconds(
    static_cast<std::int64_t>(aMilliseconds * kMicrosecondsPerMillisecond));
}

Milliseconds
MillisecondsOf(double aMilliseconds)
{
  return Milliseconds(static_cast<std::int64_t>(aMilliseconds));
}

} // namespace

double
ClassOutcome::OnTimeShare() const
{
  return mAsked == 0
           ? 1.0
           : static_cast<double>(mOnTime) / static_cast<double>(mAsked);
}

double
ClassOutcome::RefusedShare() const
{
  return mAsked == 0
           ? 0.0
           : static_cast<double>(mRefused) / static_cast<double>(mAsked);
}

double
FleetOutcome::OnTimeShare() const
{
  double sum = 0.0;
  for (const ClassOutcome& outcome : mClasses) {
    sum += outcome.OnTimeShare();
  }
  return mClasses.empty() ? 1.0 : sum / static_cast<double>(mClasses.size());
}

EmulatedFleet::EmulatedFleet(const LoadPlan& aPlan,
                             const FleetPolicy& aPolicy,
                             std::uint64_t aSeed)
  : mPlan(aPlan)
  , mPolicy(aPolicy)
  , mSeed(aSeed)
  , mRandom(aSeed)
  , mArrivals(Arrivals(aPlan, aSeed))
  , mProgress(mArrivals.size())
  , mEntries(aPlan.mEntries)
{
  mOutcome.mClasses.resize(aPlan.mClasses.size());
  MakeDocument();
  for (std::size_t i = 0; i < aPlan.mEntries; ++i) {
    Initialize(i, kEntriesStarted);
  }
  mServers.resize(aPlan.mServers);
  for (std::size_t i = 0; i < aPlan.mServers; ++i) {
    Server& server = mServers[i];
    server.mListed.mEntry.mId = InstanceId("server-" + std::to_string(i));
    server.mListed.mEntry.mZone =
      ZoneName("zone-" + std::to_string(i % aPlan.mZones));
    server.mListed.mEntry.mSlots =
      static_cast<std::uint32_t>(aPlan.mSpeed.mSlots);
    server.mEngine = std::make_unique<EngineModel>(aPlan.mSpeed);
    mUsable.push_back(&server.mListed);
  }
}

void
EmulatedFleet::MakeDocument()
{
  const PoolName poolName("pool");
  for (const LoadClass& loadClass : mPlan.mClasses) {
    ForwardRoute route;
    route.mName = loadClass.mName;
    route.mTier = TierRank{ loadClass.mRank };
    route.mTimeout = MillisecondsOf(loadClass.mLimitMs);
    route.mLatencyTarget = MillisecondsOf(loadClass.mTargetMs);
    route.mEventGapTarget = MillisecondsOf(loadClass.mPauseMs);
    route.mPools = { { poolName, 1 } };
    mDocument.mRoutes.push_back(std::move(route));
  }
  for (std::size_t i = 0; i < mPlan.mTeamRanks.size(); ++i) {
    mDocument.mTeams.push_back({ TeamName("team-" + std::to_string(i)),
                                 TierRank{ mPlan.mTeamRanks[i] } });
  }
  ForwardPool& pool = mDocument.mPools[poolName];
  pool.mName = poolName;
  pool.mIsModel = true;
  if (mPolicy.mStatesEngineMemory) {
    pool.mPlacement.mEngineMemoryTokens = mPlan.mSpeed.mMemoryTokens;
  }
  mDocument.mRequiresKeys = !mDocument.mTeams.empty();
  mDocument.DerivePoolValues();
  mPool = &pool;
}

RequestPriority
EmulatedFleet::PriorityOfRequest(const PlannedRequest& aPlanned) const
{
  const ForwardTeam* team =
    aPlanned.mTeam ? &mDocument.mTeams[*aPlanned.mTeam] : nullptr;
  return PriorityOf(team, mDocument.mRoutes[aPlanned.mClass]);
}

void
EmulatedFleet::Initialize(std::size_t aEntry, Timestamp aStartedAt)
{
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < mPlan.mEntries; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i + 1));
  }
  Entry& entry = mEntries[aEntry];
  entry.mAddress = addresses[aEntry];
  entry.mChooser = std::make_unique<BackendChooser>(
    mPolicy.mChooser,
    ZoneName("zone-" + std::to_string(aEntry % mPlan.mZones)),
    mSeed + aEntry);
  entry.mPeers = std::make_unique<PeerView>(
    PeerSettings(), addresses[aEntry], addresses, aStartedAt);
  if (mPolicy.mAdmission) {
    entry.mAdmission = std::make_unique<AdmissionControl>(
      *mPolicy.mAdmission, PoolHash(mPool->mName));
  }
}

void
EmulatedFleet::Restart(std::size_t aEntry)
{
  for (std::size_t i = 0; i < mProgress.size(); ++i) {
    const bool isInProgress =
      mArrivals[i].mEntry == aEntry && mProgress[i].mSentMs >= 0.0;
    if (isInProgress && !mProgress[i].mIsOver) {
      mProgress[i].mIsExcused = true;
      GiveUp(i);
    }
  }
  mEntries[aEntry].mRestartedMs = mNowMs;
  Initialize(aEntry, Now());
}

bool
EmulatedFleet::IsOutOfTouch(const Entry& aEntry) const
{
  return aEntry.mRestartedMs >= 0.0 &&
         mNowMs - aEntry.mRestartedMs < kContactMs;
}

Timestamp
EmulatedFleet::Now() const
{
  return kStart + TimeOf(mNowMs);
}

void
EmulatedFleet::At(double aAtMs, std::function<void()> aRun)
{
  mTasks.push({ aAtMs, std::move(aRun) });
}

FleetOutcome
EmulatedFleet::Play()
{
  for (const PlannedRequest& planned : mArrivals) {
    const std::size_t number = planned.mRequest.mNumber;
    At(planned.mAtMs, [this, number]() { Arrive(number); });
  }
  for (const EntryRestart& restart : mPlan.mRestarts) {
    At(restart.mAtSeconds * kMillisecondsPerSecond,
       [this, entry = restart.mEntry]() { Restart(entry); });
  }
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    // Entries start at different times, so they don't report at once.
    At(static_cast<double>(i), [this, i]() { Exchange(i); });
  }
  std::size_t ended = 0;
  const auto isOver = [this, &ended]() {
    while (ended < mProgress.size() && mProgress[ended].mIsOver) {
      ++ended;
    }
    return ended == mProgress.size();
  };
  while (!mTasks.empty() && !isOver()) {
    const Task task = mTasks.top();
    mTasks.pop();
    mNowMs = task.mAtMs;
    task.mRun();
  }
  std::uint64_t read = 0;
  for (const Server& server : mServers) {
    read += server.mEngine->SharedTokensRead();
  }
  std::unordered_set<std::uint64_t> seen;
  std::uint64_t needed = 0;
  for (const PlannedRequest& planned : mArrivals) {
    const PromptPart& shared = planned.mRequest.mPrompt.mParts.front();
    needed += seen.insert(shared.mId).second ? shared.mTokens : 0;
  }
  for (const Server& server : mServers) {
    mOutcome.mReadInVain += server.mEngine->TokensReadInVain();
  }
  mOutcome.mReadAgain = read > needed ? read - needed : 0;
  for (std::size_t i = 0; i < mArrivals.size(); ++i) {
    mOutcome.mRequests.push_back(OutcomeOf(i));
  }
  return mOutcome;
}

RequestOutcome
EmulatedFleet::OutcomeOf(std::size_t aNumber) const
{
  const PlannedRequest& planned = mArrivals[aNumber];
  const Progress& progress = mProgress[aNumber];
  RequestOutcome outcome;
  outcome.mArrivedMs = planned.mAtMs;
  outcome.mClass = planned.mClass;
  outcome.mPriority = PriorityOfRequest(planned);
  outcome.mPromptTokens = planned.mRequest.mPrompt.mPromptTokens;
  if (progress.mFirstMs >= 0.0) {
    outcome.mBegunMs = planned.mAtMs + progress.mFirstMs;
  }
  outcome.mIsServed = progress.mIsServed;
  outcome.mIsExcused = progress.mIsExcused;
  return outcome;
}

void
EmulatedFleet::Exchange(std::size_t aEntry)
{
  Entry& entry = mEntries[aEntry];
  PeerReport report;
  report.mAddress = entry.mAddress;
  report.mSequence = ++entry.mReports;
  entry.mChooser->FillReport(report, Now());
  if (entry.mAdmission) {
    entry.mAdmission->FillReport(report.mLoad);
  }
  for (Entry& other : mEntries) {
    if (other.mPeers->Record(report, Now())) {
      other.mChooser->RecordPeerSentParts(report.mSent, Now());
    }
  }
  const auto pause = static_cast<double>(entry.mPeers->Interval(Now()).count());
  At(mNowMs + pause, [this, aEntry]() { Exchange(aEntry); });
}

void
EmulatedFleet::Arrive(std::size_t aNumber)
{
  const PlannedRequest& planned = mArrivals[aNumber];
  Entry& entry = mEntries[planned.mEntry];
  if (!mProgress[aNumber].mIsRetry) {
    mOutcome.mClasses[planned.mClass].mAsked += 1;
  }
  if (IsOutOfTouch(entry)) {
    mProgress[aNumber].mIsExcused = true;
  }
  EntryLoad load = entry.mPeers->TotalPeerLoad(Now()).mLoad;
  if (entry.mAdmission) {
    entry.mAdmission->SetPeerLoad(load);
  }
  entry.mChooser->SetPeerLoad(std::move(load));
  auto choice = entry.mChooser->Choose(
    mUsable,
    planned.mRequest.mPrompt,
    {},
    [](const InstanceId&) { return std::numeric_limits<std::size_t>::max(); },
    Now(),
    mPool->mPlacement);
  entry.mChooser->AssignPriority(
    PoolHash(mPool->mName), PriorityOfRequest(planned), *choice);
  if (IsAdmitted(aNumber, *choice)) {
    Send(aNumber, *choice);
  }
}

bool
EmulatedFleet::IsAdmitted(std::size_t aNumber, const BackendChoice& aChoice)
{
  const PlannedRequest& planned = mArrivals[aNumber];
  const Entry& entry = mEntries[planned.mEntry];
  if (!entry.mAdmission) {
    return true;
  }
  std::uniform_real_distribution<double> chance(0.0, 1.0);
  AdmissionRequest request;
  request.mPriority = PriorityOfRequest(planned);
  request.mNow = Now();
  request.mFirstEventTimeout =
    Milliseconds(static_cast<std::int64_t>(PatienceMs(planned.mClass)));
  request.mChoice = aChoice;
  request.mUsedTimeShare =
    (mNowMs - planned.mAtMs) / mPlan.mClasses[planned.mClass].mLimitMs;
  request.mRefusalSample = chance(mRandom);
  request.mJitterSample = chance(mRandom);
  const AdmissionDecision decision = entry.mAdmission->Decide(*mPool, request);
  Progress& progress = mProgress[aNumber];
  if (decision.mVerdict == AdmissionVerdict::Admitted) {
    progress.mExpectedMs =
      static_cast<double>(decision.mExpectedFirstEventTime.count());
    return true;
  }
  const double backMs =
    mNowMs + static_cast<double>(decision.mRetryDelay.count());
  const double limitMs =
    planned.mAtMs + mPlan.mClasses[planned.mClass].mLimitMs;
  if (progress.mIsRetry || backMs >= limitMs) {
    progress.mIsOver = true;
    mOutcome.mClasses[planned.mClass].mRefused += 1;
    return false;
  }
  progress.mIsRetry = true;
  At(backMs, [this, aNumber]() { Arrive(aNumber); });
  return false;
}

double
EmulatedFleet::PatienceMs(std::size_t aClass) const
{
  return static_cast<double>(
    mDocument.mRoutes[aClass].FirstEventTimeout().count());
}

void
EmulatedFleet::Send(std::size_t aNumber, const BackendChoice& aChoice)
{
  const PlannedRequest& planned = mArrivals[aNumber];
  Entry& entry = mEntries[planned.mEntry];
  Progress& progress = mProgress[aNumber];
  progress.mChoice = aChoice;
  progress.mSentMs = mNowMs;
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    const bool isChosen = mServers[i].mListed.mEntry.mId == aChoice.mId;
    progress.mServer = isChosen ? i : progress.mServer;
  }
  entry.mChooser->RecordStarted(aChoice, planned.mRequest.mPrompt, Now());
  mArrivals[aNumber].mRequest.mRank =
    BackendRank(mPool->mPriorities, PriorityOfRequest(planned), kMaximumRank);
  At(mNowMs + kLinkMs, [this, aNumber]() {
    if (mProgress[aNumber].mIsOver) {
      return;
    }
    const std::size_t server = mProgress[aNumber].mServer;
    mServers[server].mEngine->Add(mArrivals[aNumber].mRequest);
    if (!mServers[server].mIsWorking) {
      Work(server);
    }
  });
  At(mNowMs + PatienceMs(planned.mClass), [this, aNumber]() {
    if (mProgress[aNumber].mFirstMs < 0.0) {
      GiveUp(aNumber);
    }
  });
  At(planned.mAtMs + mPlan.mClasses[planned.mClass].mLimitMs,
     [this, aNumber]() { GiveUp(aNumber); });
}

void
EmulatedFleet::Work(std::size_t aServer)
{
  Server& server = mServers[aServer];
  server.mIsWorking = !server.mEngine->IsIdle();
  if (!server.mIsWorking) {
    return;
  }
  EngineStep step = server.mEngine->Step();
  At(mNowMs + step.mTimeMs,
     [this, aServer, tokens = std::move(step.mTokens)]() {
       for (const EngineToken& token : tokens) {
         TakeToken(token);
       }
       Work(aServer);
     });
}

void
EmulatedFleet::TakeToken(const EngineToken& aToken)
{
  Progress& progress = mProgress[aToken.mNumber];
  const bool isEvent = aToken.mIsLast || aToken.mMade == 1 ||
                       aToken.mMade % mPlan.mTokensPerEvent == 0;
  if (progress.mIsOver || !isEvent) {
    return;
  }
  const PlannedRequest& planned = mArrivals[aToken.mNumber];
  const double seenMs = mNowMs + kLinkMs;
  if (progress.mFirstMs < 0.0) {
    progress.mFirstMs = seenMs - planned.mAtMs;
    RecordFirstEvent(aToken.mNumber, seenMs);
  } else {
    progress.mLongestPauseMs =
      std::max(progress.mLongestPauseMs, seenMs - progress.mLastEventMs);
  }
  progress.mLastEventMs = seenMs;
  if (aToken.mIsLast) {
    RecordEnd(aToken.mNumber, true);
  }
}

void
EmulatedFleet::RecordFirstEvent(std::size_t aNumber, double aSeenMs)
{
  const std::size_t number = mArrivals[aNumber].mEntry;
  const Progress& progress = mProgress[aNumber];
  Entry& entry = mEntries[number];
  entry.mChooser->RecordFirstByte(progress.mChoice);
  if (!entry.mAdmission) {
    return;
  }
  const double tokens = progress.mChoice.TokensBeforeFirstEvent();
  entry.mAdmission->RecordFirstEvent(tokens,
                                     TimeOf(aSeenMs - progress.mSentMs));
  entry.mAdmission->RecordForecast(progress.mChoice,
                                   MillisecondsOf(progress.mExpectedMs),
                                   TimeOf(aSeenMs - progress.mSentMs),
                                   Now());
  mOutcome.mForecasts.push_back({ number,
                                  progress.mChoice.mIsShortPrompt,
                                  tokens,
                                  progress.mExpectedMs,
                                  progress.mSentMs,
                                  aSeenMs });
}

void
EmulatedFleet::GiveUp(std::size_t aNumber)
{
  if (mProgress[aNumber].mIsOver) {
    return;
  }
  mServers[mProgress[aNumber].mServer].mEngine->Cancel(aNumber);
  RecordEnd(aNumber, false);
}

void
EmulatedFleet::RecordEnd(std::size_t aNumber, bool aIsComplete)
{
  Progress& progress = mProgress[aNumber];
  const PlannedRequest& planned = mArrivals[aNumber];
  const LoadClass& loadClass = mPlan.mClasses[planned.mClass];
  ClassOutcome& outcome = mOutcome.mClasses[planned.mClass];
  progress.mIsOver = true;
  mEntries[planned.mEntry].mChooser->RecordEnded(progress.mChoice,
                                                 progress.mFirstMs >= 0.0);
  const bool isOnTime = progress.mFirstMs <= loadClass.mTargetMs &&
                        progress.mLongestPauseMs <= loadClass.mPauseMs;
  if (!aIsComplete) {
    outcome.mGivenUp += 1;
    return;
  }
  if (const auto& admission = mEntries[planned.mEntry].mAdmission) {
    admission->RecordStreamDuration(
      progress.mChoice.mIsShortPrompt,
      TimeOf(mNowMs + kLinkMs - planned.mAtMs - progress.mFirstMs));
  }
  progress.mIsServed = true;
  outcome.mFirstEventMs.push_back(progress.mFirstMs);
  (isOnTime ? outcome.mOnTime : outcome.mLate) += 1;
}

} // namespace medlarkeel
