#include "runthreads.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace medlarkeel {

namespace {

/** How long a thread waits for another call. */
constexpr Milliseconds kThreadPatience{ 10000 };

using Lock = std::unique_lock<std::mutex>;

} // namespace

struct RunThreads::State
{
  /** Runs tasks until none came for a while. */
  void Work();
  bool WaitForTask(Lock& aLock);

  std::mutex mMutex;
  std::condition_variable mTaskCame;
  std::condition_variable mIdle;
  std::deque<Task> mTasks;
  std::size_t mRunning = 0;
  std::size_t mWaitingThreads = 0;
  bool mStopping = false;
};

void
RunThreads::State::Work()
{
  Lock lock(mMutex);
  while (WaitForTask(lock)) {
    Task task = std::move(mTasks.front());
    mTasks.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
    --mRunning;
    mIdle.notify_all();
  }
}

bool
RunThreads::State::WaitForTask(Lock& aLock)
{
  ++mWaitingThreads;
  mTaskCame.wait_for(
    aLock, kThreadPatience, [this] { return mStopping || !mTasks.empty(); });
  --mWaitingThreads;
  return !mTasks.empty();
}

RunThreads::RunThreads()
  : mState(std::make_shared<State>())
{
}

RunThreads::~RunThreads()
{
  const Lock lock(mState->mMutex);
  mState->mStopping = true;
  mState->mTaskCame.notify_all();
}

void
RunThreads::Start(Task aTask)
{
  const Lock lock(mState->mMutex);
  ++mState->mRunning;
  mState->mTasks.push_back(std::move(aTask));
  if (mState->mTasks.size() <= mState->mWaitingThreads) {
    mState->mTaskCame.notify_one();
    return;
  }
  std::thread([state = mState] { state->Work(); }).detach();
}

bool
RunThreads::WaitUntilIdle(Milliseconds aPatience)
{
  Lock lock(mState->mMutex);
  return mState->mIdle.wait_for(
    lock, aPatience, [this] { return mState->mRunning == 0; });
}

std::size_t
RunThreads::Count()
{
  const Lock lock(mState->mMutex);
  return mState->mRunning;
}

} // namespace medlarkeel
