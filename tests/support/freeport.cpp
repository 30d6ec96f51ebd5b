#include "freeport.h"

#include <arpa/inet.h>
#include <atomic>
#include <sys/socket.h>
#include <unistd.h>

namespace medlarkeel {

namespace {

// Below the ports that the kernel gives to outgoing connections.
constexpr unsigned kFirstPort = 12000;
constexpr unsigned kPortCount = 18000;
constexpr unsigned kPortsPerProcess = 37;

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

} // namespace

std::uint16_t
FreePort()
{
  static std::atomic<unsigned> sNext{ static_cast<unsigned>(getpid()) *
                                      kPortsPerProcess };
  unsigned port = 0;
  do {
    port = kFirstPort + sNext++ % kPortCount;
  } while (!IsFree(port));
  return static_cast<std::uint16_t>(port);
}

} // namespace medlarkeel
