#include "connectionend.h"

// That of the C library lacks the number of bytes, and can't be included beside
// this one.
#include <cstddef>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace medlarkeel {

bool
IsClosedInOrder(int aDescriptor, std::uint64_t aBytesRead)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  constexpr std::size_t kNeededSize =
    offsetof(tcp_info, tcpi_bytes_received) + sizeof info.tcpi_bytes_received;
  const bool isKnown =
    getsockopt(aDescriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
    size >= kNeededSize && info.tcpi_bytes_received >= aBytesRead;
  if (!isKnown) {
    return true;
  }
  // The segment that closes a connection counts as a byte.
  return info.tcpi_bytes_received > aBytesRead;
}

std::optional<DeliveryState>
DeliveryOf(int aDescriptor)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  constexpr std::size_t kNeededSize =
    offsetof(tcp_info, tcpi_bytes_acked) + sizeof info.tcpi_bytes_acked;
  int outstanding = 0;
  const bool isKnown =
    getsockopt(aDescriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
    size >= kNeededSize && ioctl(aDescriptor, SIOCOUTQ, &outstanding) == 0;
  if (!isKnown) {
    return std::nullopt;
  }
  return DeliveryState{ info.tcpi_bytes_acked, outstanding == 0 };
}

} // namespace medlarkeel
