#include "freeport.h"

#include <arpa/inet.h>
#include <cstddef>
#include <mutex>
#include <string>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

namespace medlarkeel {

namespace {

// Below the ports that the kernel gives to outgoing connections.
constexpr unsigned kFirstPort = 12000;
constexpr unsigned kPortsPerBlock = 60;
constexpr unsigned kBlocks = 300;

bool
IsFree(unsigned aPort)
{
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  const int outcome =
    bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address);
  close(probe);
  return outcome == 0;
}

/**
 * Takes a block of ports for this process until it ends. Two processes that
 * probe the same ports would find the same one free.
 *
 * @return Whether no other process has it.
 */
bool
TakeBlock(unsigned aBlock)
{
  const std::string name = "medlarkeel-test-ports-" + std::to_string(aBlock);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  name.copy(address.sun_path + 1, name.size()); // In the abstract namespace.
  const auto size =
    static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
  const int holder = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind(holder, reinterpret_cast<sockaddr*>(&address), size) == 0) {
    return true; // The descriptor stays open.
  }
  close(holder);
  return false;
}

} // namespace

std::uint16_t
FreePort()
{
  static std::mutex sMutex;
  static unsigned sBlock = static_cast<unsigned>(getpid()) % kBlocks;
  static unsigned sNext = kPortsPerBlock;
  const std::lock_guard<std::mutex> lock(sMutex);
  while (true) {
    if (sNext == kPortsPerBlock) {
      do {
        sBlock = (sBlock + 1) % kBlocks;
      } while (!TakeBlock(sBlock));
      sNext = 0;
    }
    const unsigned port = kFirstPort + sBlock * kPortsPerBlock + sNext++;
    if (IsFree(port)) {
      return static_cast<std::uint16_t>(port);
    }
  }
}

} // namespace medlarkeel
