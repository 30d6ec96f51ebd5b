#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <thread>

namespace medlarkeel {

/** What a process uses of its machine. */
struct ProcessUsage
{
  /** Resident set size, in bytes. */
  std::size_t mResident = 0;
  /** Bytes that the kernel has received for it and it hasn't read. */
  std::size_t mUnread = 0;
  std::size_t mDescriptors = 0;

  std::size_t Memory() const { return mResident + mUnread; }
};

/**
 * @param aPid The process.
 * @param aAddress IPv4 address at which it listens.
 * @param aPort Port at which it listens.
 */
ProcessUsage
UsageOf(pid_t aPid, const std::string& aAddress, std::uint16_t aPort);

/** Observes a process and keeps the highest values, until it is stopped. */
class UsageMonitor
{
public:
  UsageMonitor(pid_t aPid, std::string aAddress, std::uint16_t aPort);
  ~UsageMonitor();
  UsageMonitor(const UsageMonitor&) = delete;
  UsageMonitor& operator=(const UsageMonitor&) = delete;

  void Stop();

  /** @return Most bytes of memory seen; after Stop. */
  std::size_t MostMemory() const { return mMostMemory; }

  /** @return Most descriptors seen; after Stop. */
  std::size_t MostDescriptors() const { return mMostDescriptors; }

private:
  void Run();

  pid_t mPid;
  std::string mAddress;
  std::uint16_t mPort;
  std::size_t mMostMemory = 0;
  std::size_t mMostDescriptors = 0;
  std::atomic<bool> mIsStopped{ false };
  std::thread mThread;
};

} // namespace medlarkeel
