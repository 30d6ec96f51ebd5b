#include "processusage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <set>
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

/** @return The inodes of the process's sockets. */
std::set<std::string>
SocketInodes(pid_t aPid)
{
  const std::string begin = "socket:[";
  std::set<std::string> inodes;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(
         "/proc/" + std::to_string(aPid) + "/fd", error)) {
    const std::string link =
      std::filesystem::read_symlink(entry.path(), error).string();
    if (link.rfind(begin, 0) == 0) {
      inodes.insert(link.substr(begin.size(), link.size() - begin.size() - 1));
    }
  }
  return inodes;
}

/** @return Received and unread bytes of all connections to the address, also of
 * those that weren't accepted yet, and of the process's other connections. */
std::size_t
UnreadBytes(pid_t aPid, const std::string& aAddress, std::uint16_t aPort)
{
  const std::set<std::string> inodes = SocketInodes(aPid);
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
    std::string other;
    std::string inode;
    fields >> number >> local >> remote >> state >> queues;
    fields >> other >> other >> other >> other >> inode;
    const std::size_t colon = queues.find(':');
    // The receive queue of a listening socket counts connections.
    const bool isCounted = (local == wanted.str() || inodes.count(inode) > 0) &&
                           state != "0A" && colon != std::string::npos;
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
           UnreadBytes(aPid, aAddress, aPort),
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
