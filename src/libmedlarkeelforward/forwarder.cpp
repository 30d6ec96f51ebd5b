#include "forwarder.h"

#include "../libmedlarkeelnet/bootclock.h"
#include "callerconnection.h"

#include <limits>
#include <malloc.h>

namespace medlarkeel {

namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

/** Part of a limit that is planned with; the rest covers requests that are
 * counted in another window than here. */
constexpr double kLimitShare = 0.9;

/** Part of the retry reserve that is used: a process that was replaced within
 * the window may have used its part before. */
constexpr double kReserveShare = 0.45;

/** Time for which connections are still accepted after the request to end:
 * the balancer asks each second and takes an entry out after two misses. */
constexpr Milliseconds kServeWhileStopping{ 3000 };

/** Time before the shutdown bound at which running requests are given up. */
constexpr Milliseconds kGiveUpMargin{ 400 };

/** Time before the shutdown bound at which the process ends in any case; until
 * then the last answers are written. */
constexpr Milliseconds kEndMargin{ 150 };

/** Number of routes above which those without recent requests are removed. */
constexpr std::size_t kMaximumDurations = 1024;

constexpr Milliseconds kStopCheck{ 100 };
constexpr Milliseconds kEndCheck{ 20 };

/** Time over which callers' returns are spread when all servers of a pool
 * asked for no requests. */
constexpr Milliseconds kReturnSpread{ 500 };

const char*
BackendChangeText(BackendChange aChange)
{
  switch (aChange) {
    case BackendChange::None:
      return "none";
    case BackendChange::Refreshed:
      return "refreshed";
    case BackendChange::Added:
      return "added";
    case BackendChange::Restarted:
      return "restarted";
    case BackendChange::Draining:
      return "draining";
    case BackendChange::ColdExtended:
      return "cold-extended";
    case BackendChange::Withheld:
      return "withheld";
    case BackendChange::Removed:
      return "removed";
    case BackendChange::RemovalDelayed:
      return "removal-delayed";
  }
  return "unknown";
}

/** Interval of reports above which a directory reader sends one more after each
 * answer of the directory. */
constexpr Milliseconds kMaximumReaderInterval{ 500 };

/** Shortest time between two sums of what the others have in progress: a tenth
 * of the shortest time between two reports. */
constexpr Milliseconds kRefreshPause{ 20 };

/** Interval of checks for memory for paused connections: a tenth of the
 * time after which a body counts as stalled. */
constexpr Milliseconds kPauseCheck{ 50 };

/** Interval of log lines while an entry isn't ready after its start. */
constexpr Milliseconds kNotReadyLogPause{ 1000 };

/** Interval of checks whether freed memory is to be returned. */
constexpr Milliseconds kTrimCheck{ 500 };

/** Released bytes above which freed memory is returned to the machine. */
constexpr std::size_t kLeastTrim = 4U << 20U;

/** Shortest time between two log lines on refused connections, and between two
 * on a lack of memory. */
constexpr Milliseconds kRefusalLogPause{ 1000 };

/** Time for the head of a request, after which its connection is closed if
 * others need the descriptor. */
constexpr Milliseconds kHeadTime{ 1000 };

CallerMemorySettings
MemorySettingsFor(const ForwardSettings& aSettings)
{
  CallerMemorySettings settings;
  settings.mBoundBytes = CallerMemoryBoundFor(aSettings);
  return settings;
}

CallerDescriptorSettings
DescriptorSettingsFor(const ForwardSettings& aSettings)
{
  CallerDescriptorSettings settings;
  settings.mBound = CallerDescriptorBoundFor(aSettings);
  return settings;
}

ReceiveBufferSettings
ReceiveBufferSettingsFor(const ForwardSettings& aSettings)
{
  ReceiveBufferSettings settings;
  settings.mBoundBytes = ReceiveBufferBoundFor(aSettings);
  return settings;
}

/** Replaces the peers' load at the chooser until the end of a scope. */
class PeerLoadScope
{
public:
  PeerLoadScope(BackendChooser& aChooser, EntryLoad aLoad)
    : mChooser(aChooser)
    , mPrevious(aChooser.ExchangePeerLoad(std::move(aLoad)))
  {
  }
  PeerLoadScope(const PeerLoadScope&) = delete;
  PeerLoadScope& operator=(const PeerLoadScope&) = delete;
  ~PeerLoadScope() { mChooser.SetPeerLoad(std::move(mPrevious)); }

private:
  BackendChooser& mChooser;
  EntryLoad mPrevious;
};

/** Pause between two looks at what the others know. */
constexpr Milliseconds kPeerCheck{ 150 };

} // namespace

Forwarder::Forwarder(boost::asio::io_context& aContext,
                     const ForwardSettings& aSettings,
                     WireProtocol aProtocol,
                     DirectorySources aDirectories,
                     EventLog& aLog)
  : mContext(aContext)
  , mSettings(aSettings)
  , mProtocol(std::move(aProtocol))
  , mDirectories(std::move(aDirectories))
  , mLog(aLog)
  , mFollower(FollowerSettingsFor(aSettings.mChangeBound, aSettings.mHeartbeat))
  , mDocumentFollower(DocumentFollowerSettings())
  , mChooser(BackendChooserSettings(), aSettings.mZone, NewIncarnation().mValue)
  , mPeers(PeerSettingsFor(aSettings.mChangeBound),
           aSettings.mPeers.mAddress,
           aSettings.mSeeds,
           BootNow(),
           ZoneHash(aSettings.mZone),
           aSettings.mLinkMbps.value_or(0))
  , mPeerChannel(
      aContext,
      aSettings.mPeers,
      mPeers,
      mCounters,
      mLog,
      [this](PeerReport& aReport) { FillReport(aReport); },
      [this](const PeerReport& aReport) { TakeReport(aReport); },
      [this](const DirectoryDelta& aDelta) { TakeDelta(aDelta); },
      [this](const std::string& aSender, const PermitMessage& aMessage) {
        mPermits.HandleMessage(aSender, aMessage);
      })
  , mPermits(aContext,
             aSettings.mPeers.mAddress,
             mPeers,
             mLimits,
             mCounters,
             [this](const std::string& aTarget, const std::string& aBytes) {
               mPeerChannel.SendTo({ aTarget }, aBytes);
             })
  , mConnections(aContext, mCounters)
  , mMemory(MemorySettingsFor(aSettings))
  , mDescriptors(DescriptorSettingsFor(aSettings))
  , mReceiveBuffers(ReceiveBufferSettingsFor(aSettings))
  , mPauseTimer(aContext)
  , mTrimTimer(aContext)
  , mAcceptor(aContext)
  , mReadinessTimer(aContext)
  , mDirectoryTimer(aContext)
  , mDocumentTimer(aContext)
  , mStopTimer(aContext)
  , mRandom(NewIncarnation().mValue)
  , mStartedAt(BootNow())
{
  mChooser.SetLimits(&mLimits);
}

void
Forwarder::Start()
{
  Listen();
  Accept();
  TrimMemory();
  mPeerChannel.Start();
  CallDirectory();
  FollowDocuments();
  LogMissingReadiness();
}

void
Forwarder::Listen()
{
  const tcp::endpoint endpoint(
    boost::asio::ip::make_address(mSettings.mCallers.mAddress),
    mSettings.mCallers.mPort);
  mAcceptor.open(endpoint.protocol());
  mAcceptor.set_option(tcp::acceptor::reuse_address(true));
  SizeQueuedReceiveBuffers();
  mAcceptor.bind(endpoint);
  mAcceptor.listen(static_cast<int>(ReceiveBufferSettings().mQueueLength));
}

void
Forwarder::Accept()
{
  mAcceptor.async_accept([this](const Error& aError, tcp::socket aSocket) {
    if (aError == boost::asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      TakeCaller(std::move(aSocket));
    } else {
      mLog.Write(Event::AcceptFailed, { { "error", aError.message() } });
    }
    Accept();
  });
}

void
Forwarder::TakeCaller(tcp::socket aSocket)
{
  Error error;
  const tcp::endpoint remote = aSocket.remote_endpoint(error);
  if (error) {
    return; // It has ended.
  }
  const std::string address = remote.address().to_string();
  if (!AddDescriptor(address)) {
    return;
  }
  const std::size_t bufferBytes = mReceiveBuffers.Next();
  if (bufferBytes > mQueuedReceiveBuffer) {
    aSocket.set_option(boost::asio::socket_base::receive_buffer_size(
                         static_cast<int>(bufferBytes)),
                       error);
  }
  auto caller = std::make_shared<CallerConnection>(
    *this, std::move(aSocket), address, bufferBytes);
  mCallers.emplace(caller->Id(), caller);
  mReceiveBuffers.Add(caller->ReceiveBufferBytes());
  SizeQueuedReceiveBuffers();
  caller->Start();
}

bool
Forwarder::AddDescriptor(const std::string& aAddress)
{
  if (mDescriptors.Add(aAddress, mConnections.Count())) {
    return true;
  }
  mCounters.mRefusedForDescriptors += 1;
  const Timestamp now = BootNow();
  if (!mRefusalLoggedAt || now - *mRefusalLoggedAt >= kRefusalLogPause) {
    mRefusalLoggedAt = now;
    mLog.Write(Event::CallerRefused,
               { { "address", aAddress },
                 { "connections", mCallers.size() },
                 { "refusedInAll", mCounters.mRefusedForDescriptors } });
  }
  return CloseUnfinishedCaller(aAddress) &&
         mDescriptors.Add(aAddress, mConnections.Count());
}

bool
Forwarder::CloseUnfinishedCaller(const std::string& aAddress)
{
  const Timestamp latest = BootNow() - kHeadTime;
  const bool isAddressFull = mDescriptors.IsFull(aAddress);
  const auto oldest =
    std::find_if(mCallers.begin(), mCallers.end(), [&](const auto& aCaller) {
      const std::shared_ptr<CallerConnection>& caller = aCaller.second;
      const std::optional<Timestamp> since = caller->HeadMissingSince();
      return since && *since <= latest &&
             (!isAddressFull || caller->Address() == aAddress);
    });
  if (oldest == mCallers.end()) {
    return false;
  }
  const std::shared_ptr<CallerConnection> caller = oldest->second;
  caller->Abort();
  return true;
}

void
Forwarder::SizeQueuedReceiveBuffers()
{
  const std::size_t bytes = mReceiveBuffers.Queued();
  if (bytes == mQueuedReceiveBuffer) {
    return;
  }
  mQueuedReceiveBuffer = bytes;
  // Connections inherit it. Made smaller later, it wouldn't bound the window.
  Error ignored; // Without the option the buffer of the last one applies.
  mAcceptor.set_option(
    boost::asio::socket_base::receive_buffer_size(static_cast<int>(bytes)),
    ignored);
}

void
Forwarder::LogMemoryPressure()
{
  const Timestamp now = BootNow();
  if (mPressureLoggedAt && now - *mPressureLoggedAt < kRefusalLogPause) {
    return;
  }
  mPressureLoggedAt = now;
  mLog.Write(Event::CallerMemoryShort,
             { { "heldBytes", mMemory.TotalBytes() },
               { "boundBytes", mMemory.BoundBytes() },
               { "connections", mCallers.size() },
               { "refusedInAll", mCounters.mRefusedForMemory },
               { "cutInAll", mCounters.mAnswersCutForMemory } });
}

void
Forwarder::UpdateGauges()
{
  mCounters.mHeldBytes = mMemory.TotalBytes();
  mCounters.mHeldBytesBound = mMemory.BoundBytes();
  const Timestamp now = BootNow();
  mCounters.mIsReady = IsReady();
  mCounters.mUsableServers.clear();
  if (const ForwardingDocumentPointer document = Document()) {
    for (const auto& [name, pool] : document->mPools) {
      mCounters.mUsableServers[name.Text()] =
        mFollower.Backends().Usable(name, now).size();
    }
  }
  for (const auto& [pool, admission] : mAdmissions) {
    const ForecastError& errors = admission.ForecastErrors();
    mCounters.mForecastErrors[pool.Text()] = { errors.Summary(true, now),
                                               errors.Summary(false, now) };
  }
}

void
Forwarder::EvictCallers(const std::vector<CallerId>& aCallers)
{
  for (const CallerId id : aCallers) {
    const auto place = mCallers.find(id);
    if (place != mCallers.end()) {
      const std::shared_ptr<CallerConnection> caller = place->second;
      caller->Evict();
    }
  }
}

void
Forwarder::WatchPaused()
{
  if (mIsWatchingPaused) {
    return;
  }
  mIsWatchingPaused = true;
  mPauseTimer.expires_after(kPauseCheck);
  mPauseTimer.async_wait([this](const Error& aError) {
    mIsWatchingPaused = false;
    if (!aError) {
      ResumeCallers();
    }
  });
}

void
Forwarder::ResumeCallers()
{
  const ResumeDecision decision = mMemory.TakeResumable(BootNow());
  EvictCallers(decision.mEvicted);
  for (const CallerId id : decision.mResumed) {
    const auto place = mCallers.find(id);
    if (place != mCallers.end()) {
      const std::shared_ptr<CallerConnection> caller = place->second;
      caller->Resume();
    }
  }
  if (mMemory.HasPaused()) {
    WatchPaused();
  }
}

void
Forwarder::TrimMemory()
{
  mMostHeld = std::max(mMostHeld, mMemory.TotalBytes());
  if (mMostHeld >= mMemory.TotalBytes() + kLeastTrim) {
    mMostHeld = mMemory.TotalBytes();
#ifdef __GLIBC__
    malloc_trim(0);
#endif
  }
  mTrimTimer.expires_after(kTrimCheck);
  mTrimTimer.async_wait([this](const Error& aError) {
    if (!aError) {
      TrimMemory();
    }
  });
}

std::string
Forwarder::MissingForReadiness() const
{
  if (mIsStopping) {
    return "the process ends";
  }
  if (!mFollower.HasRead()) {
    return "the list of backend servers";
  }
  return mFollower.Document() ? "" : "a document";
}

Milliseconds
Forwarder::TimeSinceStart() const
{
  return std::chrono::duration_cast<Milliseconds>(BootNow() - mStartedAt);
}

void
Forwarder::RecordReadiness()
{
  if (!mHasBeenReady && IsReady()) {
    mHasBeenReady = true;
    mReadinessTimer.cancel();
    mLog.Write(Event::Ready, { { "afterMs", TimeSinceStart().count() } });
  }
}

void
Forwarder::LogMissingReadiness()
{
  mReadinessTimer.expires_after(kNotReadyLogPause);
  mReadinessTimer.async_wait([this](const Error& aError) {
    if (aError || mHasBeenReady) {
      return;
    }
    EventFields fields{ { "missing", MissingForReadiness() },
                        { "sinceStartMs", TimeSinceStart().count() },
                        { "failedCalls", mCounters.mDirectoryFailures } };
    if (mLastDirectoryError) {
      fields["error"] = DirectoryErrorText(*mLastDirectoryError);
    }
    mLog.Write(Event::NotReady, fields);
    LogMissingReadiness();
  });
}

void
Forwarder::RecordDirectoryFailure(DirectoryError aError)
{
  mCounters.RecordDirectoryFailure(aError);
  mLastDirectoryError = aError;
}

Milliseconds
Forwarder::DirectoryAge() const
{
  return std::chrono::duration_cast<Milliseconds>(mFollower.Age(BootNow()));
}

AdmissionControl&
Forwarder::Admission(const PoolName& aPool)
{
  return mAdmissions.try_emplace(aPool, AdmissionSettings(), PoolHash(aPool))
    .first->second;
}

RetryBudget&
Forwarder::Budget(const PoolName& aPool)
{
  const auto entries = static_cast<double>(mPeers.EntryCount(BootNow()));
  const double reserve =
    std::max(1.0, mSettings.mRetryReserve * kReserveShare / entries);
  const RetryBudgetSettings settings{ mSettings.mRetryShare * kLimitShare,
                                      reserve };
  RetryBudget& budget =
    mBudgets.emplace(aPool, RetryBudget(settings)).first->second;
  budget.SetReserve(reserve);
  return budget;
}

std::size_t
Forwarder::ColdLimit(const ForwardPool& aPool, const InstanceId& aServer) const
{
  if (aPool.mColdRequestsPerSecond <= 0.0) {
    return std::numeric_limits<std::size_t>::max();
  }
  const Timestamp now = BootNow();
  const auto all = static_cast<std::size_t>(
    kLimitShare * (aPool.mColdRequestsPerSecond * mSettings.mColdFactor +
                   mSettings.mColdReserve));
  const std::size_t each = all / mPeers.EntryCount(now);
  return each > 0 ? each
                  : (mPeers.IsSelectedForServer(aServer, all, now) ? 1 : 0);
}

Milliseconds
Forwarder::RetryDelay(const PoolName& aPool,
                      const std::vector<const ListedBackend*>& aUsable,
                      Timestamp aEarliest)
{
  const Timestamp now = BootNow();
  RequestRate accepted;
  bool areAllLimited = true;
  for (const ListedBackend* server : aUsable) {
    const auto rate = mLimits.AllowedRate(server->mProcessHash, now);
    areAllLimited = areAllLimited && rate;
    accepted.mPerSecond += rate.value_or(RequestRate()).mPerSecond;
  }
  if (areAllLimited) {
    accepted.mPerSecond /= static_cast<double>(mPeers.RunningCount(now));
    return mRetrySchedules[aPool].NextDelay(aEarliest, accepted, now);
  }
  return std::chrono::duration_cast<Milliseconds>(aEarliest - now) +
         Milliseconds(static_cast<std::int64_t>(
           Random() * static_cast<double>(kReturnSpread.count())));
}

void
Forwarder::RefreshChooser()
{
  const Timestamp now = BootNow();
  if (now - mRefreshedAt >= kRefreshPause) {
    mRefreshedAt = now;
    EntryLoad load = mPeers.TotalPeerLoad(now).mLoad;
    for (auto& [pool, admission] : mAdmissions) {
      admission.SetPeerLoad(load);
    }
    mChooser.SetPeerLoad(std::move(load));
  }
}

PlacementExplanation
Forwarder::ExplainPlacement(const PlacementTarget& aTarget,
                            const std::optional<PromptDescription>& aPrompt)
{
  const Timestamp now = BootNow();
  LoadSum peers = mPeers.TotalPeerLoad(now);
  const PoolName& pool = aTarget.mPool->mName;
  const auto known = mAdmissions.find(pool);
  AdmissionControl admission =
    known == mAdmissions.end()
      ? AdmissionControl(AdmissionSettings(), PoolHash(pool))
      : known->second;
  // A request would refresh the peers' load. The explanation uses the same
  // load, and restores the previous one so that later choices don't change.
  std::optional<PeerLoadScope> refreshed;
  if (now - mRefreshedAt >= kRefreshPause) {
    admission.SetPeerLoad(peers.mLoad);
    refreshed.emplace(mChooser, std::move(peers.mLoad));
  }
  PlacementExplanation explanation =
    medlarkeel::ExplainPlacement(aTarget,
                                 aPrompt,
                                 { mFollower.Backends(),
                                   mChooser,
                                   admission,
                                   mLimits,
                                   [&](const InstanceId& aServer) {
                                     return ColdLimit(*aTarget.mPool, aServer);
                                   } },
                                 now);
  explanation.mFreshness.mDirectoryAge = DirectoryAge();
  explanation.mFreshness.mDirectoryPosition = mFollower.Position();
  explanation.mFreshness.mPeerReports = peers.mReports;
  explanation.mFreshness.mOldestPeerReport = peers.mAge;
  return explanation;
}

double
Forwarder::Random()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
}

void
Forwarder::Remove(const std::shared_ptr<CallerConnection>& aConnection)
{
  if (mCallers.erase(aConnection->Id()) > 0) {
    mMemory.Remove(aConnection->Id());
    mDescriptors.Remove(aConnection->Address());
    mReceiveBuffers.Remove(aConnection->ReceiveBufferBytes());
    SizeQueuedReceiveBuffers();
    if (mMemory.HasPaused()) {
      WatchPaused();
    }
  }
}

void
Forwarder::CallDirectory()
{
  CallDirectoryLater(mFollower.Next().mDelay);
}

void
Forwarder::FillReport(PeerReport& aReport)
{
  const Timestamp now = BootNow();
  mChooser.FillReport(aReport, now);
  for (const auto& [pool, admission] : mAdmissions) {
    admission.FillReport(aReport.mLoad);
  }
  mLimits.RemoveUnlisted(
    [this](ProcessHash aProcess) {
      return mFollower.Backends().FindProcess(aProcess) != nullptr;
    },
    now);
  aReport.mLimits = mLimits.TakeReport(now);
  aReport.mShuttingDownProcesses = mFollower.Backends().ShuttingDownProcesses();
  aReport.mHasLostDirectoryContact = mFollower.HasLostContact();
  aReport.mDirectoryDigest = mFollower.Digest();
  if (const ForwardingDocumentPointer& document = mFollower.NewestDocument()) {
    aReport.mDocumentVersion = document->mVersion;
  }
  aReport.mDirectoryPosition = mFollower.Position();
  if (aReport.mDirectoryPosition.mEra.mValue != 0) {
    aReport.mEraAge = mFollower.EraAge(now);
  }
  aReport.mDirectoryAge = DirectoryAge();
  if (mPeers.IsReader(now)) {
    aReport.mRecentDelta = mFollower.RecentDelta(now);
  }
}

void
Forwarder::TakeReport(const PeerReport& aReport)
{
  const Timestamp now = BootNow();
  mChooser.RecordPeerSentParts(aReport.mSent, now);
  if (aReport.mSum) {
    mChooser.RecordPeerSentParts(aReport.mSum->mSent, now);
  }
  mPermits.RecordReport(aReport.mAddress);
  RecordPeerLimits(aReport);
  mFollower.Backends().RecordShuttingDownByPeer(aReport.mShuttingDownProcesses,
                                                now);
  if (const auto news = mFollower.RecordPeerEra(
        aReport.mDirectoryPosition.mEra, aReport.mEraAge, now)) {
    TakeNews(*news);
  }
  mDocumentFollower.RecordPeerVersion(aReport.mDocumentVersion, now);
  ReadMissingDocument();
  if (!aReport.mRecentDelta) {
    return;
  }
  TakeDelta(*aReport.mRecentDelta);
  mFollower.RecordPeerState(
    aReport.mDirectoryPosition, aReport.mDirectoryDigest, now);
}

void
Forwarder::TakeDelta(const DirectoryDelta& aDelta)
{
  if (const auto news = mFollower.RecordRelayedDelta(aDelta, BootNow())) {
    mCounters.mDirectoryNewsTold += 1;
    TakeNews(*news);
  }
}

void
Forwarder::RecordPeerLimits(const PeerReport& aReport)
{
  const Timestamp now = BootNow();
  for (const ReportedLimit& limit : aReport.mLimits) {
    const LimitChange change = mLimits.RecordReported(limit, now);
    const ListedBackend* server =
      mFollower.Backends().FindProcess(limit.mProcess);
    if (change != LimitChange::None && server != nullptr) {
      mLog.Write(Event::BackendLimit,
                 { { "server", server->mEntry.mId.Text() },
                   { "change", LimitChangeText(change) },
                   { "perSecond", limit.mRate.mPerSecond },
                   { "ageMs", limit.mAge.count() },
                   { "peer", aReport.mAddress } });
    }
  }
}

void
Forwarder::CallDirectoryLater(Milliseconds aDelay)
{
  mDirectoryTimer.expires_after(aDelay);
  mDirectoryTimer.async_wait([this](const Error& aError) {
    if (aError) {
      return;
    }
    const Timestamp now = BootNow();
    const DirectoryCall step = mFollower.CallAt(now);
    const bool isQuiet = mFollower.CanSkipCall(now) &&
                         mPeers.CanSkipDirectoryCall(
                           mFollower.Digest(), mFollower.Position(), now);
    if (isQuiet) {
      mFollower.RecordPeerConfirmation(now);
      CallDirectoryLater(kPeerCheck);
      return;
    }
    mCounters.mDirectoryCalls += 1;
    mFollower.RecordCallStarted(now);
    if (step.mKind == DirectoryCall::Kind::ReadAll) {
      const ReadFreshness freshness = mFollower.Freshness();
      mDirectories.mAll->ReadAll(
        freshness, [this, freshness](const DirectoryResult& aResult) {
          TakeReading(aResult, freshness);
        });
    } else {
      mDirectories.mAll->Watch(
        step.mPosition,
        mFollower.Wait(now),
        [this](const DirectoryResult& aResult) { TakeChanges(aResult); });
    }
  });
}

void
Forwarder::FollowDocuments()
{
  mDocumentTimer.expires_after(mDocumentFollower.Next().mDelay);
  mDocumentTimer.async_wait([this](const Error& aError) {
    if (!aError) {
      CallForDocuments();
    }
  });
}

void
Forwarder::CallForDocuments()
{
  const auto takeAnswer = [this](const DirectoryResult& aResult) {
    mDocumentFollower.RecordAnswer(aResult);
    TakeDocuments(aResult);
    FollowDocuments();
  };
  const DirectoryCall step = mDocumentFollower.Next();
  if (step.mKind == DirectoryCall::Kind::ReadAll) {
    ReadDocuments(takeAnswer);
  } else {
    mCounters.mDirectoryCalls += 1;
    mDirectories.mDocuments->Watch(
      step.mPosition, mDocumentFollower.Wait(), takeAnswer);
  }
}

void
Forwarder::TakeDocuments(const DirectoryResult& aResult)
{
  if (!aResult) {
    RecordDirectoryFailure(aResult.error());
    return;
  }
  TakeNews(mFollower.RecordDocuments(aResult.value(), BootNow()));
}

void
Forwarder::ReadMissingDocument()
{
  const ForwardingDocumentPointer& newest = mFollower.NewestDocument();
  if (mIsReadingDocuments || !mDocumentFollower.TakeReadDue(
                               newest ? newest->mVersion : 0, BootNow())) {
    return;
  }
  ReadDocuments(
    [this](const DirectoryResult& aResult) { TakeDocuments(aResult); });
}

void
Forwarder::ReadDocuments(const DirectorySource::Handler& aHandler)
{
  if (mIsReadingDocuments) {
    aHandler(DirectoryError::Refused);
    return;
  }
  mIsReadingDocuments = true;
  mCounters.mDirectoryCalls += 1;
  mDirectories.mDocuments->ReadAll(
    ReadFreshness::Newest, [this, aHandler](const DirectoryResult& aResult) {
      mIsReadingDocuments = false;
      aHandler(aResult);
    });
}

void
Forwarder::TakeReading(const DirectoryResult& aResult, ReadFreshness aFreshness)
{
  TakeAnswer(aResult, mFollower.RecordRead(aResult, BootNow(), aFreshness));
}

void
Forwarder::TakeChanges(const DirectoryResult& aResult)
{
  TakeAnswer(aResult, mFollower.RecordWatch(aResult, BootNow()));
}

void
Forwarder::TakeAnswer(const DirectoryResult& aResult,
                      const FollowerUpdate& aNews)
{
  if (!aResult) {
    RecordDirectoryFailure(aResult.error());
  }
  mPeers.SetHasLostDirectoryContact(mFollower.HasLostContact());
  if (aNews.mHasLostContact) {
    EventFields fields{ { "error", DirectoryErrorText(aNews.mError) } };
    if (mFollower.HasRead()) {
      fields["listAgeMs"] = DirectoryAge().count();
    }
    mLog.Write(Event::DirectoryLost, fields);
  }
  TakeNews(aNews);
  const bool isForOthers =
    aNews.mHasNewDocument || !aNews.mBackends.empty() || !aNews.mZones.empty();
  const Timestamp now = BootNow();
  // The other entries rely on a reader only while they know its answer is new.
  const bool isReportLate = mPeers.Interval(now) > kMaximumReaderInterval;
  if ((isForOthers || isReportLate) && mPeers.IsReader(now)) {
    mPeerChannel.SendDeltas(aNews.mDeltaParts);
    mPeerChannel.SendSoon();
  }
  CallDirectory();
}

void
Forwarder::TakeNews(const FollowerUpdate& aNews)
{
  if (aNews.mHasRestoredContact) {
    mLog.Write(
      Event::DirectoryRegained,
      { { "outageMs",
          std::chrono::duration_cast<Milliseconds>(aNews.mOutage).count() } });
  }
  if (aNews.mNewEra) {
    mLog.Write(Event::DirectoryRestored,
               { { "era", aNews.mNewEra->mEra.mValue },
                 { "source", aNews.mNewEra->mIsRead ? "read" : "announced" },
                 { "holdMs", aNews.mNewEra->mHold.count() } });
  }
  if (aNews.mHasNewDocument) {
    const ForwardingDocumentPointer document = mFollower.NewestDocument();
    mLog.Write(Event::DocumentAccepted,
               { { "document", document->mVersion },
                 { "routes", document->mRoutes.size() },
                 { "teams", document->mTeams.size() } });
    if (document->mRequiresKeys && document->mKeys.empty()) {
      mLog.Write(Event::DocumentWithoutKeys,
                 { { "document", document->mVersion } });
    }
  }
  for (const auto& [id, change] : aNews.mBackends) {
    mLog.Write(
      Event::ListObserved,
      { { "server", id.Text() }, { "change", BackendChangeText(change) } });
    const bool isGone =
      change == BackendChange::Removed || change == BackendChange::Restarted;
    if (isGone) {
      mChooser.Forget(id);
      mConnections.CloseIdle(id);
    }
  }
  for (const InstanceId& id : mFollower.Backends().RemoveExpired(BootNow())) {
    mLog.Write(Event::ListObserved,
               { { "server", id.Text() }, { "change", "removed" } });
    mChooser.Forget(id);
    mConnections.CloseIdle(id);
  }
  for (const ZoneEvacuation& zone : aNews.mZones) {
    mLog.Write(
      Event::ZoneChanged,
      { { "zone", zone.mZone.Text() }, { "evacuated", zone.mIsEvacuated } });
  }
  for (const UnreadableItem& item : aNews.mUnreadable) {
    mCounters.mUnreadableItems += 1;
    mLog.Write(Event::ItemUnreadable,
               { { "item", item.mKey }, { "reason", item.mReason } });
  }
  RecordReadiness();
}

bool
Forwarder::CanEndBeforeShutdown(const ForwardRoute& aRoute,
                                Milliseconds aTimeLimit) const
{
  if (!mIsStopping) {
    return true;
  }
  const Timestamp now = BootNow();
  ShutdownRequest request;
  request.mTimeLimit = aTimeLimit;
  request.mTimeLeft = std::chrono::duration_cast<Milliseconds>(
    mStopAt + mSettings.mShutdownBound - kGiveUpMargin - now);
  const auto known = mDurations.find(aRoute.mName);
  if (known != mDurations.end()) {
    request.mRecentDuration = known->second.Value(now);
  }
  return medlarkeel::CanEndBeforeShutdown(aRoute, request);
}

void
Forwarder::RecordDuration(const ForwardRoute& aRoute, Milliseconds aDuration)
{
  const Timestamp now = BootNow();
  if (mDurations.size() >= kMaximumDurations) {
    for (auto place = mDurations.begin(); place != mDurations.end();) {
      place =
        place->second.Value(now) ? std::next(place) : mDurations.erase(place);
    }
  }
  mDurations[aRoute.mName].Record(aDuration, now);
}

void
Forwarder::Stop()
{
  if (mIsStopping) {
    return;
  }
  mIsStopping = true;
  mStopAt = BootNow();
  mLog.Write(Event::ShutdownStep,
             { { "step", "serving without readiness" },
               { "connections", mCallers.size() } });
  ContinueShutdown();
}

void
Forwarder::CloseIdleCallers()
{
  // The balancer goes on sending connections where no other entry is left.
  Error ignored; // A closed acceptor is what is wanted.
  mAcceptor.close(ignored);
  const auto callers = mCallers;
  for (const auto& [id, caller] : callers) {
    caller->CloseIfIdle();
  }
}

void
Forwarder::EndRequests()
{
  mHasEndedRequests = true;
  mLog.Write(
    Event::ShutdownStep,
    { { "step", "ending requests" }, { "connections", mCallers.size() } });
  const auto callers = mCallers;
  for (const auto& [id, caller] : callers) {
    caller->EndForShutdown();
  }
}

void
Forwarder::ContinueShutdown()
{
  const Microseconds passed = BootNow() - mStopAt;
  const Microseconds givesUpAfter = mSettings.mShutdownBound - kGiveUpMargin;
  if (passed >= kServeWhileStopping || passed >= givesUpAfter) {
    CloseIdleCallers();
  }
  if (passed >= givesUpAfter && !mHasEndedRequests) {
    EndRequests();
  }
  const bool isIdle =
    mCallers.empty() && (passed >= kServeWhileStopping || mHasEndedRequests);
  if (isIdle || passed >= mSettings.mShutdownBound - kEndMargin) {
    mLog.Write(Event::ShutdownStep,
               { { "step", "ending" }, { "connections", mCallers.size() } });
    mContext.stop();
    return;
  }
  const Microseconds untilGiveUp = givesUpAfter - passed;
  const Microseconds pause =
    mHasEndedRequests ? Microseconds(kEndCheck)
                      : std::min<Microseconds>(kStopCheck, untilGiveUp);
  mStopTimer.expires_after(pause);
  mStopTimer.async_wait([this](const Error& aError) {
    if (!aError) {
      ContinueShutdown();
    }
  });
}

} // namespace medlarkeel
