#pragma once

#include "../support/childprocess.h"
#include "fakestore.h"

#include <filesystem>
#include <mutex>

namespace medlarkeel {

/**
 * A backend server with an engine that is a process of its own, so that
 * its end is that of a process. It serves the streams of StreamPlan. All
 * methods may be called from any thread.
 */
class ServerProcess
{
public:
  /** @param aFolder Folder for the output of the processes. */
  ServerProcess(FakeStore& aStore,
                std::string aId,
                std::filesystem::path aFolder,
                std::string aService = "model");
  ~ServerProcess();
  ServerProcess(const ServerProcess&) = delete;
  ServerProcess& operator=(const ServerProcess&) = delete;

  /** Kills the process. Its entry in the store stays. */
  void Kill();

  /** Starts a new process under the same id, at the same address, once the old
   * one has ended; waits until it listens. */
  void Restart();

  /** Suspends or continues the process. */
  void Pause();
  void Continue();

  /** Publishes that the server drains and asks its process to end. */
  void Stop();

  /** Renews the server's entry in the store if its process runs. */
  void Publish();

private:
  void PublishState(const char* aState);
  void WaitUntilItListens() const;

  FakeStore& mStore;
  std::string mId;
  std::filesystem::path mFolder;
  std::string mService;
  std::uint16_t mPort;
  std::mutex mMutex;
  std::unique_ptr<ChildProcess> mProcess;
  const char* mState = "ready";
  std::int64_t mBornMs = 0;
  std::uint64_t mSequence = 0;
};

} // namespace medlarkeel
