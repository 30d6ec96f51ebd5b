#pragma once

#include "types.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>

namespace medlarkeel {

/**
 * Runs an agent's calls, each on a thread of its own, and counts them so that
 * a shutdown can wait for them. Threads that have ended a call wait a while
 * for the next.
 */
class RunThreads
{
public:
  using Task = std::function<void()>;

  RunThreads();
  /** Ends the threads that wait; tasks that run go on. */
  ~RunThreads();
  RunThreads(const RunThreads&) = delete;
  RunThreads& operator=(const RunThreads&) = delete;

  /** Runs a task at once; it never waits for another. */
  void Start(Task aTask);

  /** @return Whether no task was left within the time. */
  bool WaitUntilIdle(Milliseconds aPatience);

  /** @return The number of tasks that run. */
  std::size_t Count();

  /** Tells all runs to end, also those that may not be repeated. */
  void CutAll() { mCut = true; }
  bool IsCut() const { return mCut; }

private:
  struct State;

  /** Shared with the threads, which may outlive this object. */
  std::shared_ptr<State> mState;
  std::atomic<bool> mCut{ false };
};

} // namespace medlarkeel
