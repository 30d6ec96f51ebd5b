#include "uploadmonitor.h"

#include "bootclock.h"

#include <algorithm>
#include <linux/tcp.h>
#include <malloc.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace medlarkeel {

namespace {

/** A server on the loopback interface receives some ten megabytes in it. */
constexpr std::chrono::milliseconds kInterval{ 10 };

/** Interval while all requests together can't exceed the bound. */
constexpr std::chrono::milliseconds kQuietInterval{ 100 };

/** Released bytes above which freed memory is returned to the machine; the
 * server's threads would keep it. */
constexpr std::size_t kLeastTrim = 4U << 20U;

/** Time from their release to the return. A connection's thread frees most of
 * its memory after the request has ended. */
constexpr std::chrono::seconds kTrimDelay{ 1 };

void
ReturnFreedMemory()
{
#ifdef __GLIBC__
  malloc_trim(0);
#endif
}

/** @return Bytes that a connection has received, read or not; 0 if that isn't
 * known. */
std::uint64_t
ReceivedBytes(int aDescriptor)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(aDescriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return 0;
  }
  return info.tcpi_bytes_received;
}

} // namespace

UploadMonitor::UploadMonitor(const CallerMemorySettings& aSettings,
                             std::size_t aMostOfRequest,
                             Handler aOnCut)
  : mSettings(aSettings)
  , mMostOfRequest(aMostOfRequest)
  , mOnCut(std::move(aOnCut))
  , mMemory(aSettings)
  , mThread([this]() { Run(); })
{
}

UploadMonitor::~UploadMonitor()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopped = true;
  }
  mWake.notify_all();
  mThread.join();
}

void
UploadMonitor::Begin(int aDescriptor, std::uint64_t aEarlierBytes)
{
  const Timestamp now = BootNow();
  const std::lock_guard lock(mMutex);
  const CallerId id = mMemory.Add(now);
  mUploads[aDescriptor] = Upload{ id, aEarlierBytes, false };
  CallerUsage usage;
  usage.mPhase = CallerPhase::Receiving;
  mMemory.Update(id, usage, now);
}

void
UploadMonitor::SetRunning(int aDescriptor, std::size_t aHeldBytes)
{
  const std::lock_guard lock(mMutex);
  const auto place = mUploads.find(aDescriptor);
  if (place == mUploads.end()) {
    return;
  }
  place->second.mIsRunning = true;
  CallerUsage usage;
  usage.mPhase = CallerPhase::Running;
  usage.mHeldBytes = aHeldBytes;
  mMemory.Update(place->second.mId, usage, BootNow());
}

std::uint64_t
UploadMonitor::End(int aDescriptor)
{
  const std::lock_guard lock(mMutex);
  const auto place = mUploads.find(aDescriptor);
  if (place != mUploads.end()) {
    mMemory.Remove(place->second.mId);
    mUploads.erase(place);
  }
  return ReceivedBytes(aDescriptor);
}

UploadState
UploadMonitor::State() const
{
  const std::lock_guard lock(mMutex);
  return { mMemory.TotalBytes(), mMemory.BoundBytes(), mCut };
}

void
UploadMonitor::Run()
{
  std::unique_lock lock(mMutex);
  std::size_t mostHeld = 0;
  std::optional<Timestamp> trimAt;
  while (!mIsStopped) {
    const Timestamp now = BootNow();
    mostHeld = std::max(mostHeld, mMemory.TotalBytes());
    if (!trimAt && mostHeld >= mMemory.TotalBytes() + kLeastTrim) {
      trimAt = now + kTrimDelay;
    }
    if (trimAt && now >= *trimAt) {
      trimAt.reset();
      mostHeld = mMemory.TotalBytes();
      lock.unlock();
      ReturnFreedMemory();
      lock.lock();
      continue;
    }
    const bool isQuiet =
      mUploads.size() * (mMostOfRequest + mSettings.mConnectionBytes) <=
      mSettings.mBoundBytes / 2;
    mWake.wait_for(lock, isQuiet ? kQuietInterval : kInterval);
    if (isQuiet || mIsStopped) {
      continue;
    }
    const std::size_t before = mCut;
    Check(BootNow());
    if (mCut > before && mOnCut) {
      const UploadState state{ mMemory.TotalBytes(),
                               mMemory.BoundBytes(),
                               mCut };
      lock.unlock();
      mOnCut(state);
      lock.lock();
    }
  }
}

void
UploadMonitor::Check(Timestamp aNow)
{
  for (const auto& [descriptor, upload] : mUploads) {
    if (upload.mIsRunning) {
      continue;
    }
    CallerUsage usage;
    usage.mPhase = CallerPhase::Receiving;
    usage.mMovedBytes = ReceivedBytes(descriptor) - upload.mEarlierBytes;
    usage.mHeldBytes = std::min<std::size_t>(mMostOfRequest, usage.mMovedBytes);
    usage.mMissingBytes = mMostOfRequest - usage.mHeldBytes;
    usage.mIsLengthKnown = false;
    mMemory.Update(upload.mId, usage, aNow);
  }
  const std::vector<CallerId> evicted = mMemory.ReleaseExcess(aNow);
  mCut += evicted.size();
  for (const auto& [descriptor, upload] : mUploads) {
    if (std::find(evicted.begin(), evicted.end(), upload.mId) !=
        evicted.end()) {
      // The connection's own thread ends the request and closes it.
      shutdown(descriptor, SHUT_RDWR);
    }
  }
}

} // namespace medlarkeel
