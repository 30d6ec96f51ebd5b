#pragma once

#include "forwarding/callermemory.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace medlarkeel {

/** What the monitor of uploads has done. */
struct UploadState
{
  /** Bytes that requests hold. */
  std::size_t mHeldBytes = 0;
  std::size_t mBoundBytes = 0;
  /** Connections that were closed, since the start. */
  std::size_t mCut = 0;
};

/**
 * Bounds the memory of the requests that an HTTP server receives on its own
 * threads. The server collects a body before it hands it over, so this watches
 * how many bytes each connection has received, and ends connections of requests
 * that haven't begun when the sum is too large. Threads may share it.
 */
class UploadMonitor
{
public:
  using Handler = std::function<void(const UploadState& aState)>;

  /**
   * @param aMostOfRequest Most bytes that the server keeps of a request.
   * @param aOnCut Called after connections were ended; may be empty.
   */
  UploadMonitor(const CallerMemorySettings& aSettings,
                std::size_t aMostOfRequest,
                Handler aOnCut);
  ~UploadMonitor();
  UploadMonitor(const UploadMonitor&) = delete;
  UploadMonitor& operator=(const UploadMonitor&) = delete;

  /**
   * Begins to watch a request whose first line has arrived.
   *
   * @param aDescriptor The connection; it stays open until End.
   * @param aEarlierBytes What End returned for the connection's last request,
   *        0 if there was none.
   */
  void Begin(int aDescriptor, std::uint64_t aEarlierBytes);

  /** Records that a request is complete: it isn't ended any more. */
  void SetRunning(int aDescriptor, std::size_t aHeldBytes);

  /** @return Bytes that the connection has received in all. */
  std::uint64_t End(int aDescriptor);

  UploadState State() const;

private:
  struct Upload
  {
    CallerId mId;
    std::uint64_t mEarlierBytes = 0;
    bool mIsRunning = false;
  };

  void Run();
  void Check(Timestamp aNow);

  const CallerMemorySettings mSettings;
  const std::size_t mMostOfRequest;
  const Handler mOnCut;
  mutable std::mutex mMutex;
  std::condition_variable mWake;
  CallerMemory mMemory;
  std::unordered_map<int, Upload> mUploads;
  std::size_t mCut = 0;
  bool mIsStopped = false;
  std::thread mThread;
};

} // namespace medlarkeel
