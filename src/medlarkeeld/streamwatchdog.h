#pragma once

#include "types.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

namespace grpc {
class ClientContext;
} // namespace grpc

namespace medlarkeel {

/**
 * Cancels streams to agents that have fallen silent. Agents send keep-alive
 * frames while there is nothing else to say, so silence means that the agent
 * is frozen, cut off or gone.
 */
class StreamWatchdog
{
public:
  using Token = std::uint64_t;

  StreamWatchdog();
  ~StreamWatchdog();

  StreamWatchdog(const StreamWatchdog&) = delete;
  StreamWatchdog& operator=(const StreamWatchdog&) = delete;

  /**
   * Starts to watch a stream.
   *
   * @param aContext Cancelled when the stream is silent for too long; must
   *        stay alive until Forget returns.
   * @param aSilenceBound Longest silence allowed.
   */
  Token Watch(grpc::ClientContext* aContext, Milliseconds aSilenceBound);

  /** Records that something arrived on the stream. */
  void RecordActivity(Token aToken);

  /** Ends the watch of a stream. */
  void Forget(Token aToken);

private:
  struct WatchedStream
  {
    grpc::ClientContext* mContext = nullptr;
    Microseconds mSilenceBound{ 0 };
    Timestamp mLastActivity;
  };

  void Run();
  void CancelSilentStreams(Timestamp aNow);

  std::mutex mMutex;
  std::condition_variable mStopRequested;
  bool mStopping = false;
  Token mNextToken = 1;
  std::map<Token, WatchedStream> mStreams;
  std::thread mThread;
};

} // namespace medlarkeel
