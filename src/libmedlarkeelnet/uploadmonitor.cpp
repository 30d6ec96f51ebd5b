#include "uploadmonitor.h"

#include "bootclock.h"

#include <algorithm>
#include <limits>
#include <malloc.h>
#include <sys/socket.h>
#include <utility>

namespace medlarkeel {

namespace {

/** Interval while requests wait for memory; short against the time after which
 * a body counts as stalled. */
constexpr std::chrono::milliseconds kInterval{ 10 };

/** Interval while none does. */
constexpr std::chrono::milliseconds kQuietInterval{ 100 };

/** Freed bytes above which they are returned to the machine; the allocators of
 * the server's threads would keep what wasn't in large blocks. */
constexpr std::size_t kLeastTrim = 4U << 20U;

/** Time from then to the return. A connection's thread frees a part of its
 * memory after the request has ended. */
constexpr std::chrono::seconds kTrimDelay{ 1 };

void
ReturnFreedMemory()
{
#ifdef __GLIBC__
  malloc_trim(0);
#endif
}

} // namespace

UploadMonitor::UploadMonitor(const CallerMemorySettings& aSettings,
                             std::size_t aBodyLimit,
                             Handler aOnCut)
  : mSettings(aSettings)
  , mBodyLimit(aBodyLimit)
  , mOnCut(std::move(aOnCut))
  , mMemory(aSettings)
  , mThread([this]() { Run(); })
{
}

UploadMonitor::~UploadMonitor()
{
  Stop();
  mThread.join();
}

CallerId
UploadMonitor::Begin(int aDescriptor)
{
  const Timestamp now = BootNow();
  const Lock lock(mMutex);
  const CallerId id = mMemory.Add(now);
  Upload& upload = mUploads[id];
  upload.mDescriptor = aDescriptor;
  Count(id, upload, now);
  // The connection itself takes memory without a decision.
  Cut(mMemory.ReleaseExcess(now));
  return id;
}

bool
UploadMonitor::Reserve(CallerId aRequest, std::size_t aBytes)
{
  Lock lock(mMutex);
  const auto place = mUploads.find(aRequest);
  return place != mUploads.end() &&
         TakeRoom(lock, aRequest, place->second, aBytes);
}

bool
UploadMonitor::Start(CallerId aRequest, std::size_t aBytes)
{
  Lock lock(mMutex);
  const auto place = mUploads.find(aRequest);
  if (place == mUploads.end()) {
    return false;
  }
  Upload& upload = place->second;
  upload.mIsComplete = true;
  Count(aRequest, upload, BootNow());
  if (!TakeRoom(lock, aRequest, upload, aBytes)) {
    return false;
  }
  CallerUsage usage;
  usage.mPhase = CallerPhase::Running;
  usage.mHeldBytes = upload.mHeldBytes;
  mMemory.Update(aRequest, usage, BootNow());
  return true;
}

void
UploadMonitor::End(CallerId aRequest)
{
  const Lock lock(mMutex);
  const auto place = mUploads.find(aRequest);
  if (place == mUploads.end()) {
    return;
  }
  if (place->second.mIsCut) {
    mReleasingBytes -= place->second.mHeldBytes;
  }
  mFreedBytes += place->second.mHeldBytes + mSettings.mConnectionBytes;
  mMemory.Remove(aRequest);
  mUploads.erase(place);
  if (mMemory.HasPaused()) {
    mWake.notify_all();
  }
}

void
UploadMonitor::Stop()
{
  const Lock lock(mMutex);
  mIsStopped = true;
  for (auto& [id, upload] : mUploads) {
    upload.mWake.notify_all();
  }
  mWake.notify_all();
}

UploadState
UploadMonitor::State() const
{
  const Lock lock(mMutex);
  return { mMemory.TotalBytes(), mMemory.BoundBytes(), mCut };
}

bool
UploadMonitor::TakeRoom(Lock& aLock,
                        CallerId aRequest,
                        Upload& aUpload,
                        std::size_t aBytes)
{
  while (!aUpload.mIsCut && !mIsStopped &&
         !IsAdmitted(aRequest, aUpload, aBytes)) {
    aUpload.mWake.wait_for(aLock, kInterval);
  }
  // What ended requests held isn't counted any more, but still there.
  while (!aUpload.mIsCut && !mIsStopped && mReleasingBytes > 0 &&
         mMemory.TotalBytes() + mReleasingBytes > mSettings.mBoundBytes) {
    aUpload.mWake.wait_for(aLock, kInterval);
  }
  return !aUpload.mIsCut && !mIsStopped;
}

bool
UploadMonitor::IsAdmitted(CallerId aRequest,
                          Upload& aUpload,
                          std::size_t aBytes)
{
  if (mMemory.IsPaused(aRequest)) {
    return false;
  }
  const Timestamp now = BootNow();
  const std::size_t more = aBytes - std::min(aBytes, aUpload.mHeldBytes);
  const ReadDecision decision = mMemory.Decide(aRequest, more, now);
  Cut(decision.mEvicted);
  if (decision.mVerdict == ReadVerdict::Refuse) {
    Cut(aRequest);
  }
  if (decision.mVerdict != ReadVerdict::Read) {
    return false;
  }
  aUpload.mHeldBytes = aBytes;
  Count(aRequest, aUpload, now);
  return true;
}

void
UploadMonitor::Count(CallerId aRequest, const Upload& aUpload, Timestamp aNow)
{
  CallerUsage usage;
  usage.mPhase = CallerPhase::Receiving;
  usage.mHeldBytes = aUpload.mHeldBytes;
  usage.mMovedBytes = aUpload.mHeldBytes;
  usage.mMissingBytes = MissingBytes(aUpload);
  usage.mIsLengthKnown = false;
  mMemory.Update(aRequest, usage, aNow);
}

std::size_t
UploadMonitor::MissingBytes(const Upload& aUpload) const
{
  if (aUpload.mIsComplete) {
    return 0;
  }
  // A body over the limit is refused anyway: it is read last, ended first.
  return aUpload.mHeldBytes > mBodyLimit
           ? std::numeric_limits<std::size_t>::max()
           : mBodyLimit - aUpload.mHeldBytes;
}

void
UploadMonitor::Cut(CallerId aRequest)
{
  const auto place = mUploads.find(aRequest);
  if (place == mUploads.end() || place->second.mIsCut) {
    return;
  }
  Upload& upload = place->second;
  upload.mIsCut = true;
  mCut += 1;
  mReleasingBytes += upload.mHeldBytes;
  mMemory.Update(aRequest, CallerUsage(), BootNow());
  if (!upload.mIsComplete) {
    // The connection's thread may be waiting for more of the body.
    shutdown(upload.mDescriptor, SHUT_RDWR);
  }
  upload.mWake.notify_all();
  mWake.notify_all();
}

void
UploadMonitor::Cut(const std::vector<CallerId>& aRequests)
{
  for (const CallerId id : aRequests) {
    Cut(id);
  }
}

void
UploadMonitor::Run()
{
  Lock lock(mMutex);
  while (!mIsStopped) {
    TrimWhenDue(lock, BootNow());
    ResumePaused();
    ReportCuts(lock);
    if (!mIsStopped) {
      mWake.wait_for(lock, mMemory.HasPaused() ? kInterval : kQuietInterval);
    }
  }
}

void
UploadMonitor::ResumePaused()
{
  const ResumeDecision decision = mMemory.TakeResumable(BootNow());
  Cut(decision.mEvicted);
  for (const CallerId id : decision.mResumed) {
    const auto place = mUploads.find(id);
    if (place != mUploads.end()) {
      place->second.mWake.notify_all();
    }
  }
}

void
UploadMonitor::ReportCuts(Lock& aLock)
{
  if (mCut == mReportedCut || !mOnCut) {
    return;
  }
  mReportedCut = mCut;
  const UploadState state{ mMemory.TotalBytes(), mMemory.BoundBytes(), mCut };
  aLock.unlock();
  mOnCut(state);
  aLock.lock();
}

void
UploadMonitor::TrimWhenDue(Lock& aLock, Timestamp aNow)
{
  if (!mTrimAt && mFreedBytes >= kLeastTrim) {
    mTrimAt = aNow + kTrimDelay;
  }
  if (!mTrimAt || aNow < *mTrimAt) {
    return;
  }
  mTrimAt.reset();
  mFreedBytes = 0;
  aLock.unlock();
  ReturnFreedMemory();
  aLock.lock();
}

} // namespace medlarkeel
