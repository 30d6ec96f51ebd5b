#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace medlarkeel {

/** A program under test; killed when the object or the test ends. */
class ChildProcess
{
public:
  /**
   * Starts a program.
   *
   * @param aProgram Path of the program.
   * @param aArguments Its arguments, without the program's name.
   * @param aLogPath File that gets its output.
   */
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               std::string aLogPath);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Pid() const { return mPid; }

  void Signal(int aSignal) const;

  /** Kills the process and waits for its end. */
  void Kill();

  bool IsRunning();

  /** @return The wait status, or nothing if it still runs at the limit. */
  std::optional<int> WaitForEnd(std::chrono::milliseconds aLimit);

  /** @return What it has written so far. */
  std::string Log() const;

private:
  pid_t mPid = -1;
  std::string mLogPath;
  std::optional<int> mStatus;
};

} // namespace medlarkeel
