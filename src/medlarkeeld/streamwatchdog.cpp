#include "streamwatchdog.h"

#include "bootclock.h"

#include <grpcpp/client_context.h>

namespace medlarkeel {

namespace {

constexpr Milliseconds kWatchInterval{ 50 };

} // namespace

StreamWatchdog::StreamWatchdog()
  : mThread([this] { Run(); })
{
}

StreamWatchdog::~StreamWatchdog()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
  }
  mStopRequested.notify_all();
  mThread.join();
}

StreamWatchdog::Token
StreamWatchdog::Watch(grpc::ClientContext* aContext, Milliseconds aSilenceBound)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Token token = mNextToken++;
  mStreams[token] = WatchedStream{ aContext, aSilenceBound, BootNow() };
  return token;
}

void
StreamWatchdog::RecordActivity(Token aToken)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mStreams.find(aToken);
  if (found != mStreams.end()) {
    found->second.mLastActivity = BootNow();
  }
}

void
StreamWatchdog::Forget(Token aToken)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mStreams.erase(aToken);
}

void
StreamWatchdog::Run()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping) {
    mStopRequested.wait_for(lock, kWatchInterval);
    CancelSilentStreams(BootNow());
  }
}

void
StreamWatchdog::CancelSilentStreams(Timestamp aNow)
{
  for (auto& [token, stream] : mStreams) {
    if (aNow - stream.mLastActivity > stream.mSilenceBound) {
      stream.mContext->TryCancel();
    }
  }
}

} // namespace medlarkeel
