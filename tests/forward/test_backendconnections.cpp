#include "backendconnections.h"

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <thread>

namespace medlarkeel {

namespace {

using boost::asio::ip::tcp;

/** Longer than a connection may take to be made. */
constexpr std::chrono::milliseconds kSuspension{ 400 };

} // namespace

BOOST_AUTO_TEST_SUITE(backendconnections)

// A request breaks that is sent on a connection which was made while the
// process was suspended.
BOOST_AUTO_TEST_CASE(ConnectionMadeDuringASuspensionStaysOpen)
{
  boost::asio::io_context context;
  tcp::acceptor acceptor(context,
                         { boost::asio::ip::make_address("127.0.0.1"), 0 });
  ForwardCounters counters;
  BackendConnections connections(context, counters);
  BackendConnectionPointer connection;
  boost::asio::post(context, [&]() {
    connections.Acquire(InstanceId("server"),
                        { "127.0.0.1", acceptor.local_endpoint().port() },
                        Microseconds(0),
                        [&](const BackendConnectionPointer& aConnection) {
                          connection = aConnection;
                        });
    std::this_thread::sleep_for(kSuspension);
  });
  context.run();
  // Without one, the request is sent elsewhere.
  BOOST_TEST((!connection || connection->mSocket.is_open()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
