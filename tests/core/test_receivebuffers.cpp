#include "forwarding/receivebuffers.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

BOOST_AUTO_TEST_SUITE(receivebuffers)

/** Guards against unread bytes of many connections that exceed the memory of
 * the machine. */
BOOST_AUTO_TEST_CASE(SumOfManyBuffersIsBounded)
{
  constexpr std::size_t kConnections = 3000;
  ReceiveBufferSettings settings;
  settings.mBoundBytes = ReceiveBufferBound(160U << 20U);
  ReceiveBuffers buffers(settings);
  for (std::size_t i = 0; i < kConnections; ++i) {
    const std::size_t bytes = buffers.Next();
    BOOST_TEST((i >= 200 || bytes == settings.mLargestBytes));
    BOOST_TEST(bytes >= settings.mSmallestBytes);
    buffers.Add(bytes);
  }
  BOOST_TEST(buffers.TotalBytes() <=
             settings.mBoundBytes + kConnections * settings.mSmallestBytes);
}

/** Guards against connections that fill the machine's memory before they are
 * accepted. */
BOOST_AUTO_TEST_CASE(SumOfQueuedBuffersIsBounded)
{
  for (const std::size_t megabytes : { 160U, 512U, 4096U }) {
    ReceiveBufferSettings settings;
    settings.mBoundBytes = ReceiveBufferBound(megabytes << 20U);
    ReceiveBuffers buffers(settings);
    BOOST_TEST(buffers.Queued() * settings.mQueueLength <=
               settings.mBoundBytes / 4);
    BOOST_TEST(buffers.Queued() >= 2 * settings.mSmallestBytes);
    BOOST_TEST(buffers.Queued() <= buffers.Next());
    buffers.Add(settings.mBoundBytes);
    BOOST_TEST(buffers.Queued() == settings.mSmallestBytes);
  }
}

BOOST_AUTO_TEST_CASE(RemovedBuffersAreUsedAgain)
{
  ReceiveBufferSettings settings;
  settings.mBoundBytes = 8U << 20U;
  ReceiveBuffers buffers(settings);
  const std::size_t first = buffers.Next();
  buffers.Add(settings.mBoundBytes);
  BOOST_TEST(buffers.Next() == settings.mSmallestBytes);
  buffers.Remove(settings.mBoundBytes);
  BOOST_TEST(buffers.Next() == first);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
