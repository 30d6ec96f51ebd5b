#pragma once

#include <cstddef>

namespace medlarkeel {

struct ReceiveBufferSettings
{
  /** Bytes that the buffers of all connections have together, except for the
   * smallest ones. */
  std::size_t mBoundBytes = 0;
  /** Largest and smallest buffer of a connection, in bytes. A body of the
   * largest size arrives in time with the largest one over 30 ms of latency. */
  std::size_t mLargestBytes = 65'536;
  std::size_t mSmallestBytes = 4096;
  /** Connections that may wait to be accepted. */
  std::size_t mQueueLength = 512;
};

/**
 * @param aMachineBytes Memory of the machine.
 * @return Bound on the sum of receive buffers. The system holds up to twice the
 * size of a buffer unread.
 */
std::size_t
ReceiveBufferBound(std::size_t aMachineBytes);

/**
 * Sizes the receive buffers of callers' connections. A connection gets a part
 * of what is left, so that a few have the largest buffers and each further one
 * of many still has a small one.
 */
class ReceiveBuffers
{
public:
  explicit ReceiveBuffers(const ReceiveBufferSettings& aSettings);

  /** @return Size of the buffer of the next accepted connection, in bytes. */
  std::size_t Next() const;

  /** @return Size of the buffer of a connection that waits to be accepted, in
   * bytes: a part of the bound that all of the queue share. */
  std::size_t Queued() const;

  /** Records that a connection has a buffer, or no longer has it. */
  void Add(std::size_t aBytes) { mTotalBytes += aBytes; }
  void Remove(std::size_t aBytes) { mTotalBytes -= aBytes; }

  std::size_t TotalBytes() const { return mTotalBytes; }

private:
  ReceiveBufferSettings mSettings;
  std::size_t mTotalBytes = 0;
};

} // namespace medlarkeel
