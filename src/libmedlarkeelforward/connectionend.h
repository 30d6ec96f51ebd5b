#pragma once

#include <cstdint>
#include <optional>

namespace medlarkeel {

/**
 * Finds out whether a connection whose reading has ended was closed by the peer
 * in order. The error of a reset goes to the first call that fails: if that is
 * a write, the reading ends as after an orderly close.
 *
 * @param aDescriptor A TCP socket all of whose bytes have been read.
 * @param aBytesRead Bytes read from it since it was connected.
 * @return Whether the peer has closed it in order; also if that isn't known.
 */
bool
IsClosedInOrder(int aDescriptor, std::uint64_t aBytesRead);

/** How much of what was written to a connection has arrived. */
struct DeliveryState
{
  /** Bytes that the peer's system has acknowledged since the connection was
   * opened. */
  std::uint64_t mAcknowledged = 0;
  /** Whether nothing that was written is without acknowledgement. */
  bool mIsComplete = false;
};

/**
 * @param aDescriptor A TCP socket.
 * @return What the peer has acknowledged; nothing if the system doesn't tell.
 */
std::optional<DeliveryState>
DeliveryOf(int aDescriptor);

} // namespace medlarkeel
