#include "processusage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace medlarkeel {

namespace {

constexpr auto kInterval = std::chrono::milliseconds(20);
constexpr int kHexadecimal = 16;

std::size_t
ResidentBytes(pid_t aPid)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/statm");
  std::size_t whole = 0;
  std::size_t resident = 0;
  file >> whole >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t
DescriptorCount(pid_t aPid)
{
  std::error_code error;
  const std::filesystem::directory_iterator begin(
    "/proc/" + std::to_string(aPid) + "/fd", error);
  return error ? 0
               : static_cast<std::size_t>(
                   std::distance(begin, std::filesystem::directory_iterator()));
}

/** @return Received and unread bytes of all connections to the address. */
std::size_t
UnreadBytes(const std::string& aAddress, std::uint16_t aPort)
{
  in_addr address{};
  inet_pton(AF_INET, aAddress.c_str(), &address);
  std::ostringstream wanted;
  wanted << std::hex << std::uppercase;
  wanted.fill('0');
  wanted.width(8);
  wanted << address.s_addr << ":";
  wanted.width(4);
  wanted << aPort;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::size_t unread = 0;
  std::getline(table, line);
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    const std::size_t colon = queues.find(':');
    // The receive queue of a listening socket counts connections.
    const bool isCounted =
      local == wanted.str() && state != "0A" && colon != std::string::npos;
    if (isCounted) {
      unread += std::stoul(queues.substr(colon + 1), nullptr, kHexadecimal);
    }
  }
  return unread;
}

} // namespace

ProcessUsage
UsageOf(pid_t aPid, const std::string& aAddress, std::uint16_t aPort)
{
  return { ResidentBytes(aPid),
           UnreadBytes(aAddress, aPort),
           DescriptorCount(aPid) };
}

UsageMonitor::UsageMonitor(pid_t aPid,
                           std::string aAddress,
                           std::uint16_t aPort)
  : mPid(aPid)
  , mAddress(std::move(aAddress))
  , mPort(aPort)
  , mThread([this]() { Run(); })
{
}

UsageMonitor::~UsageMonitor()
{
  Stop();
}

void
UsageMonitor::Stop()
{
  mIsStopped = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
UsageMonitor::Run()
{
  while (!mIsStopped) {
    const ProcessUsage usage = UsageOf(mPid, mAddress, mPort);
    mMostMemory = std::max(mMostMemory, usage.Memory());
    mMostDescriptors = std::max(mMostDescriptors, usage.mDescriptors);
    std::this_thread::sleep_for(kInterval);
  }
}

} // namespace medlarkeel
