#include "forwardfixture.h"

#include <boost/asio/post.hpp>
#include <spdlog/sinks/null_sink.h>

#include <future>

namespace medlarkeel {

namespace {

using Error = boost::system::error_code;

WireProtocol
TestProtocol()
{
  WireProtocol names;
  names.mRequestId = "Request";
  names.mTimeLeft = "Time-Left";
  names.mKeyScheme = "Key ";
  names.mTeam = "Team";
  names.mExpectedBackend = "Expected";
  names.mNotRun = "Not-Run";
  names.mLeaving = "Leaving";
  names.mRequestLimit = "Limit";
  names.mPriority = "Rank";
  names.mPromptParts = "Parts";
  names.mPromptSize = "Size";
  names.mReserved = { "Team", "Expected", "Rank", "Authorization" };
  return names;
}

ForwardRoute
Route(const char* aPrefix, RepeatRule aRule, int aAttempts)
{
  ForwardRoute route;
  route.mName = aPrefix;
  route.mHost = "host";
  route.mPathPrefix = aPrefix;
  route.mRepeatRule = aRule;
  route.mMaximumAttempts = aAttempts;
  route.mTimeout = ForwardFixture::kRouteTimeout;
  route.mLatencyTarget = Milliseconds(300);
  route.mPools = { { PoolName("pool"), 1 } };
  return route;
}

ForwardingDocumentPointer
TestDocument(bool aHasModelServers)
{
  auto document = std::make_shared<ForwardingDocument>();
  document->mVersion = 1;
  document->mRoutes = { Route("/once/", RepeatRule::AtMostOnce, 1),
                        Route("/again/", RepeatRule::Repeatable, 2),
                        Route("/stream/", RepeatRule::AtMostOnce, 1),
                        Route("/resume/", RepeatRule::AtMostOnce, 2),
                        Route("/open/", RepeatRule::AtMostOnce, 1),
                        Route("/long/", RepeatRule::AtMostOnce, 1) };
  document->mRoutes[2].mIsStream = true;
  document->mRoutes[3].mIsStream = true;
  document->mRoutes[3].mIsResumable = true;
  document->mRoutes[4].mIsPublic = true;
  document->mRoutes[5].mTimeout = ForwardFixture::kLongRouteTimeout;
  document->mPools[PoolName("pool")].mName = PoolName("pool");
  document->mPools[PoolName("pool")].mIsModel = aHasModelServers;
  document->mTeams = { { TeamName("team-1"), std::nullopt } };
  document->mKeys = { { "secret", 0 } };
  document->mRequiresKeys = true;
  document->mLimits.mHeaderTimeout = Milliseconds(500);
  return document;
}

} // namespace

FakeDirectory::FakeDirectory(boost::asio::io_context& aContext)
  : mContext(aContext)
  , mTimer(aContext)
{
}

void
FakeDirectory::ReadAll(ReadFreshness, Handler aHandler)
{
  boost::asio::post(mContext, [this, aHandler = std::move(aHandler)]() {
    aHandler(DirectoryChanges{ mContent, mPosition });
  });
}

void
FakeDirectory::Watch(const DirectoryPosition&,
                     Milliseconds aWait,
                     Handler aHandler)
{
  mTimer.expires_after(aWait);
  mTimer.async_wait([this, aHandler = std::move(aHandler)](const Error&) {
    aHandler(DirectoryChanges{ {}, mPosition });
  });
}

void
FakeDirectory::Set(std::vector<DirectoryChange> aContent)
{
  mContent = std::move(aContent);
  mPosition.mRevision += 1;
}

ForwardFixture::ForwardFixture(Milliseconds aShutdownBound)
  : mWork(mContext.get_executor())
  , mDirectory(std::make_shared<FakeDirectory>(mContext))
  , mDocuments(std::make_shared<FakeDirectory>(mContext))
  , mLog("entry-1", std::make_shared<spdlog::sinks::null_sink_mt>())
{
  mSettings.mNode = InstanceId("entry-1");
  mSettings.mZone = ZoneName("zone-0");
  mSettings.mCallers = { "127.0.0.1", FreePort() };
  mSettings.mPeers = { "127.0.0.1", FreePort() };
  mSettings.mShutdownBound = aShutdownBound;
}

ForwardFixture::~ForwardFixture()
{
  mWork.reset();
  mContext.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
  mBackends.clear();
}

FakeBackend&
ForwardFixture::AddBackend(FakeBackend::Script aScript,
                           std::optional<std::size_t> aEarlyBytes)
{
  mBackends.push_back(
    std::make_unique<FakeBackend>(std::move(aScript), aEarlyBytes));
  AddListed(mBackends.back()->Address());
  return *mBackends.back();
}

void
ForwardFixture::AddListed(const Endpoint& aAddress)
{
  BackendEntry entry;
  entry.mId = InstanceId("server-" + std::to_string(mContent.size()));
  entry.mPool = PoolName("pool");
  entry.mZone = ZoneName("zone-0");
  entry.mEndpoint = aAddress;
  entry.mPosition.mRevision = 1;
  mContent.emplace_back(entry);
}

void
ForwardFixture::AddUnreachable()
{
  AddListed({ "127.0.0.1", FreePort() });
}

void
ForwardFixture::Start(bool aHasDocument)
{
  if (aHasDocument) {
    mContent.emplace_back(TestDocument(mHasModelServers));
    mDocuments->Set({ mContent.back() });
  }
  mDirectory->Set(mContent);
  mForwarder =
    std::make_unique<Forwarder>(mContext,
                                mSettings,
                                TestProtocol(),
                                DirectorySources{ mDirectory, mDocuments },
                                mLog);
  mForwarder->Start();
  mThread = std::thread([this]() { mContext.run(); });
  constexpr Milliseconds kPause{ 5 };
  constexpr int kMostPauses = 1000;
  bool hasRead = !aHasDocument;
  for (int i = 0; i < kMostPauses && !hasRead; ++i) {
    Run([&](const Forwarder& aForwarder) { hasRead = aForwarder.IsReady(); });
    std::this_thread::sleep_for(kPause);
  }
}

void
ForwardFixture::Run(const std::function<void(Forwarder&)>& aTask)
{
  std::promise<void> done;
  boost::asio::post(mContext, [&]() {
    aTask(*mForwarder);
    done.set_value();
  });
  done.get_future().wait();
}

std::string
ForwardFixture::RequestText(const std::string& aPath,
                            const std::string& aFields,
                            const std::string& aBody)
{
  std::string text = "POST " + aPath + " HTTP/1.1\r\nHost: host\r\n" +
                     "Request: r-1\r\nAuthorization: Key secret\r\n" + aFields;
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return text + aBody;
}

SeenAnswer
ForwardFixture::Call(const std::string& aPath,
                     const std::string& aFields,
                     const std::string& aBody)
{
  Caller caller(Port());
  caller.Send(RequestText(aPath, aFields, aBody));
  return caller.Read();
}

} // namespace medlarkeel
