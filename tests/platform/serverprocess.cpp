#include "serverprocess.h"

#include "../support/freeport.h"
#include "../support/loopback.h"
#include "../support/waituntil.h"
#include "loopbackplatform.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

namespace medlarkeel {

ServerProcess::ServerProcess(FakeStore& aStore,
                             std::string aId,
                             std::filesystem::path aFolder,
                             std::string aService)
  : mStore(aStore)
  , mId(std::move(aId))
  , mFolder(std::move(aFolder))
  , mService(std::move(aService))
  , mPort(FreePort())
{
  Restart();
}

ServerProcess::~ServerProcess()
{
  Kill();
  mStore.Remove("servers/" + mId);
}

void
ServerProcess::Kill()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mProcess->Kill();
}

void
ServerProcess::Restart()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mProcess.reset();
  mState = "ready";
  mBornMs = std::chrono::duration_cast<Milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  mProcess = std::make_unique<ChildProcess>(
    ProgramPath("streamserver"),
    std::vector<std::string>{ "--id=" + mId,
                              "--port=" + std::to_string(mPort),
                              "--born=" + std::to_string(mBornMs) },
    mFolder / (mId + ".log"));
  WaitUntilItListens();
  PublishState(mState);
}

void
ServerProcess::WaitUntilItListens() const
{
  WaitUntil(std::chrono::seconds(5),
            [this]() { return Caller(mPort).IsConnected(); });
}

void
ServerProcess::Pause()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mProcess->Signal(SIGSTOP);
}

void
ServerProcess::Continue()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mProcess->Signal(SIGCONT);
}

void
ServerProcess::Stop()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mState = "draining";
  PublishState(mState);
  mProcess->Signal(SIGTERM);
}

void
ServerProcess::Publish()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mProcess->IsRunning()) {
    PublishState(mState);
  }
}

void
ServerProcess::PublishState(const char* aState)
{
  mSequence += 1;
  mStore.Put("servers/" + mId,
             { { "service", mService },
               { "address", "127.0.0.1:" + std::to_string(mPort) },
               { "zone", "zone-0" },
               { "version", "1" },
               { "slots", 64 },
               { "state", aState },
               { "cold-remaining-ms", 0 },
               { "sequence", mSequence },
               { "born", mBornMs } });
}

} // namespace medlarkeel
