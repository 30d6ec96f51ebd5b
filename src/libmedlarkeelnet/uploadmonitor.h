#pragma once

#include "forwarding/callermemory.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace medlarkeel {

/** What the monitor of uploads has done. */
struct UploadState
{
  /** Bytes that requests hold. */
  std::size_t mHeldBytes = 0;
  std::size_t mBoundBytes = 0;
  /** Requests that were ended, since the start. */
  std::size_t mCut = 0;
};

/**
 * Bounds the memory of the requests that an HTTP server receives on its own
 * threads, one for each connection. A thread asks before it keeps more of a
 * body. Near the bound it is blocked, so that its connection isn't read, or
 * requests that haven't begun to run are ended. Threads may share it.
 */
class UploadMonitor
{
public:
  using Handler = std::function<void(const UploadState& aState)>;

  /**
   * @param aBodyLimit Size of a body above which it is refused, in bytes.
   * @param aOnCut Called on the monitor's thread after requests were ended; may
   *        be empty.
   */
  UploadMonitor(const CallerMemorySettings& aSettings,
                std::size_t aBodyLimit,
                Handler aOnCut);
  ~UploadMonitor();
  UploadMonitor(const UploadMonitor&) = delete;
  UploadMonitor& operator=(const UploadMonitor&) = delete;

  /**
   * Adds a request whose first line has arrived.
   *
   * @param aDescriptor The connection; it stays open until End.
   */
  CallerId Begin(int aDescriptor);

  /**
   * Asks for memory before a body grows; blocks while other requests are read
   * first.
   *
   * @param aBytes Size that the body will have in memory.
   * @return False if the request was ended; its body is to be freed.
   */
  bool Reserve(CallerId aRequest, std::size_t aBytes);

  /**
   * Asks for the memory with which a complete request runs; may block.
   *
   * @param aBytes All that the request holds while it runs.
   * @return Whether it may run: it isn't ended any more. Otherwise it must not.
   */
  bool Start(CallerId aRequest, std::size_t aBytes);

  /** Removes a request that holds nothing any more. */
  void End(CallerId aRequest);

  /** Ends all requests that wait for memory now or later. */
  void Stop();

  UploadState State() const;

private:
  struct Upload
  {
    int mDescriptor = -1;
    std::size_t mHeldBytes = 0;
    bool mIsComplete = false;
    bool mIsCut = false;
    /** Wakes the request's thread when it may go on or was ended. */
    std::condition_variable mWake;
  };
  using Lock = std::unique_lock<std::mutex>;

  bool TakeRoom(Lock& aLock,
                CallerId aRequest,
                Upload& aUpload,
                std::size_t aBytes);
  /** @return Whether the memory is now counted for the request. */
  bool IsAdmitted(CallerId aRequest, Upload& aUpload, std::size_t aBytes);
  void Count(CallerId aRequest, const Upload& aUpload, Timestamp aNow);
  /** @return Bytes that are still to come; the most possible, as no length is
   * known. */
  std::size_t MissingBytes(const Upload& aUpload) const;
  void Cut(CallerId aRequest);
  void Cut(const std::vector<CallerId>& aRequests);
  void Run();
  void ResumePaused();
  void ReportCuts(Lock& aLock);
  void TrimWhenDue(Lock& aLock, Timestamp aNow);

  const CallerMemorySettings mSettings;
  const std::size_t mBodyLimit;
  const Handler mOnCut;
  mutable std::mutex mMutex;
  std::condition_variable mWake;
  CallerMemory mMemory;
  std::map<CallerId, Upload> mUploads;
  /** Bytes of ended requests whose threads haven't freed them yet. */
  std::size_t mReleasingBytes = 0;
  std::size_t mCut = 0;
  std::size_t mReportedCut = 0;
  /** Bytes that requests held which ended since freed memory was last returned
   * to the machine. */
  std::size_t mFreedBytes = 0;
  std::optional<Timestamp> mTrimAt;
  bool mIsStopped = false;
  std::thread mThread;
};

} // namespace medlarkeel
