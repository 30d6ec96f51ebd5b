#include "node.h"

#include "bootclock.h"
#include "operatorpages.h"
#include "version.h"

#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server_builder.h>

#include <csignal>
#include <cstdio>
#include <ctime>

namespace medlarkeel {

namespace {

constexpr long kTickNanoseconds = 20'000'000;
constexpr Milliseconds kPauseLimit{ 1000 };
constexpr int kMostMessageBytes = 16 << 20;

sigset_t
EndSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/** @return Whether an end signal came within one tick. */
bool
WaitForEndSignal()
{
  const sigset_t signals = EndSignals();
  const timespec tick{ 0, kTickNanoseconds };
  return sigtimedwait(&signals, nullptr, &tick) > 0;
}

} // namespace

void
BlockEndSignals()
{
  const sigset_t signals = EndSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

Node::Node(const Settings& aSettings)
  : mSettings(aSettings)
  , mIncarnation(NewIncarnation())
  , mLog(aSettings.mInstanceId.Text())
  , mDecisions(mLog)
  , mStarted(BootNow())
  , mPauses(kPauseLimit)
{
}

Node::~Node() = default;

int
Node::Run()
{
  if (!Start()) {
    return 1;
  }
  mLog.Write(Event::Started,
             { { "role", RoleText(mSettings.mRole) },
               { "zone", mSettings.mZone.Text() },
               { "version", Version() } });
  Loop();
  return Shutdown();
}

bool
Node::Start()
{
  mControl = std::make_unique<ControlPlane>(
    mSettings, mIncarnation, mChannels, mConfiguration, Hooks());
  mPeerService = std::make_unique<PeerService>(*mControl);
  Wire();
  mConfiguration.AddListener([this](const DocumentViewPtr& aView) {
    LogDocument(aView);
    mCounters.ApplyDocument(aView->Document());
    mDocumentChanged = true;
  });
  mConfiguration.SetRejectionListener(
    [this](const RejectedDocument& aRejected) { LogRejection(aRejected); });
  if (!StartGrpc() || !StartHttp()) {
    return false;
  }
  mWatcher = std::make_unique<PlatformWatcher>(
    mSettings,
    mIncarnation.mValue,
    mConfiguration,
    [this](const InstanceList& aList, Timestamp aSentAt, Timestamp aReceived) {
      LogList(aList);
      mControl->ApplyList(aList);
      ApplyList(aList, aSentAt, aReceived);
    },
    Hooks().mOnConfirmed);
  return true;
}

bool
Node::StartGrpc()
{
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(EndpointText(mSettings.mGrpcListen),
                           grpc::InsecureServerCredentials(),
                           &port);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.SetMaxReceiveMessageSize(kMostMessageBytes);
  builder.RegisterService(mPeerService.get());
  for (grpc::Service* service : Services()) {
    builder.RegisterService(service);
  }
  mGrpc = builder.BuildAndStart();
  if (!mGrpc || port == 0) {
    std::fprintf(stderr,
                 "medlarkeeld: can't listen on %s\n",
                 EndpointText(mSettings.mGrpcListen).c_str());
    return false;
  }
  return true;
}

bool
Node::StartHttp()
{
  HttpServerOptions options;
  options.mAddress = mSettings.mHttpListen.mAddress;
  options.mPort = mSettings.mHttpListen.mPort;
  options.mBodyLimit = mSettings.mLimits.mBodyLimitBytes;
  options.mConnectionLimit =
    static_cast<unsigned>(mSettings.mLimits.mConnectionLimit);
  constexpr std::size_t kMegabyte = 1U << 20U;
  options.mMemoryBound =
    CallerMemoryBound(mSettings.mLimits.mMemoryMb * kMegabyte,
                      mSettings.mLimits.mCallerMemoryShare);
  options.mOnUploadsCut = [this](const UploadState& aState) {
    LogUploadsCut(aState);
  };
  auto server = HttpServer::Start(
    options, [this](const HttpRequest& aRequest) { return Serve(aRequest); });
  if (!server) {
    std::fprintf(stderr,
                 "medlarkeeld: can't listen on %s: %s\n",
                 EndpointText(mSettings.mHttpListen).c_str(),
                 server.error().mDetail.c_str());
    return false;
  }
  mHttp = std::move(server.value());
  mServingHttp = mHttp.get();
  return true;
}

void
Node::LogUploadsCut(const UploadState& aState)
{
  constexpr auto kPause = std::chrono::seconds(1);
  const Timestamp now = BootNow();
  if (mUploadsLoggedAt && now - *mUploadsLoggedAt < kPause) {
    return;
  }
  mUploadsLoggedAt = now;
  mLog.Write(Event::CallerMemoryShort,
             { { "heldBytes", aState.mHeldBytes },
               { "boundBytes", aState.mBoundBytes },
               { "cutInAll", aState.mCut } });
}

HttpResponse
Node::Serve(const HttpRequest& aRequest)
{
  NodePages pages;
  pages.mReasonNotReady = [this] { return ReasonNotReady(); };
  pages.mMetrics = [this] {
    const HttpServer* http = mServingHttp;
    const UploadState uploads =
      http == nullptr ? UploadState() : http->Uploads();
    mCounters.Prometheus().SetUploads(uploads.mHeldBytes, uploads.mCut);
    return mCounters.Prometheus().Render();
  };
  pages.mDecisions = [this](const std::string& aRequest) {
    return DecisionsText(mDecisions.Find(aRequest));
  };
  pages.mStatus = [this] { return NodeStatusText(Status()); };
  if (auto page = OperatorPage(aRequest, pages)) {
    return std::move(*page);
  }
  return Handle(aRequest);
}

NodeStatus
Node::Status()
{
  NodeStatus status;
  status.mId = mSettings.mInstanceId;
  status.mRole = mSettings.mRole;
  status.mZone = mSettings.mZone;
  status.mRegion = mSettings.mRegion;
  status.mIncarnation = mIncarnation;
  status.mUptime =
    std::chrono::duration_cast<Milliseconds>(BootNow() - mStarted);
  status.mDocument.mStamp = mConfiguration.Stamp();
  if (const auto age = mConfiguration.ConfirmationAge()) {
    status.mDocument.mConfirmationAge =
      std::chrono::duration_cast<Milliseconds>(*age);
  }
  if (const auto rejected = mConfiguration.Rejected()) {
    status.mDocument.mRejectedRevision = rejected->mRevision;
  }
  mCounters.Fill(status);
  return status;
}

void
Node::LogDocument(const DocumentViewPtr& aView)
{
  mLog.Write(Event::DocumentAccepted,
             { { "version", aView->Document().mVersion } });
  LogZones(aView->Document().mZones);
}

void
Node::LogZones(const std::vector<ZoneEntry>& aZones)
{
  for (const ZoneEntry& zone : aZones) {
    const auto [known, isNew] =
      mLoggedZones.try_emplace(zone.mName, zone.mState);
    if (!isNew && known->second != zone.mState) {
      known->second = zone.mState;
      mLog.Write(Event::ZoneChanged,
                 { { "zone", zone.mName.Text() },
                   { "state", ZoneStateText(zone.mState) } });
    }
  }
}

void
Node::LogList(const InstanceList& aList)
{
  if (aList.mRevision > mLoggedRevision) {
    mLoggedRevision = aList.mRevision;
    mLog.Write(Event::ListObserved,
               { { "revision", aList.mRevision },
                 { "instances", aList.mInstances.size() },
                 { "unusable", aList.mUnusable } });
  }
}

void
Node::LogStaleness()
{
  const auto age = mConfiguration.ConfirmationAge();
  const bool isStale = age && *age > mSettings.mControl.mConfirmationBound;
  if (isStale && !mLoggedStale) {
    mLog.Write(Event::DocumentStale, { { "confirmationAgeUs", age->count() } });
  }
  mLoggedStale = isStale;
}

void
Node::LogRejection(const RejectedDocument& aRejected)
{
  EventFields problems = EventFields::array();
  for (const DocumentProblem& problem : aRejected.mProblems) {
    problems.push_back(ProblemText(problem));
  }
  mLog.Write(Event::DocumentRejected,
             { { "revision", aRejected.mRevision }, { "problems", problems } });
}

void
Node::Loop()
{
  while (!WaitForEndSignal()) {
    const Timestamp now = BootNow();
    if (const auto gap = mPauses.Observe(now)) {
      mLog.Write(Event::PauseNoticed, { { "gapUs", gap->count() } });
      ResumeAfterPause(*gap);
      mControl->AnnounceDocument();
    }
    GossipWhenDue(now);
    LogStaleness();
    CountControlBytes();
    Tick();
  }
}

void
Node::GossipWhenDue(Timestamp aNow)
{
  if (mDocumentChanged.exchange(false)) {
    mControl->AnnounceDocument();
  }
  if (aNow >= mNextGossip) {
    mNextGossip = aNow + mSettings.mControl.mGossip;
    mControl->ExchangeWithNextPeer();
  }
}

void
Node::CountControlBytes()
{
  const std::uint64_t sent = mControl->SentBytes();
  mCounters.Prometheus().CountControlBytesSent(sent - mCountedControlBytes);
  mCountedControlBytes = sent;
}

int
Node::Shutdown()
{
  mShuttingDown = true;
  mLog.Write(Event::ShutdownStep, { { "step", "drain" } });
  const Timestamp bound = BootNow() + mSettings.mShutdownBound;
  const bool drained = Drain(bound);
  mWatcher.reset();
  mHttp->Stop();
  mGrpc->Shutdown(std::chrono::system_clock::now());
  mGrpc->Wait();
  mLog.Write(Event::Stopped, { { "drained", drained } });
  return drained ? 0 : 1;
}

} // namespace medlarkeel
