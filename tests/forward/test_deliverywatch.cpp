#include "deliverywatch.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <string>

namespace medlarkeel {

namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;
using std::chrono::milliseconds;

constexpr int kBuffer = 16'384;
constexpr std::size_t kRead = 32'768;
constexpr std::size_t kLargeBody = 1U << 20U;

/** A request that is written to a peer with a small receive buffer. */
struct WatchedRequest
{
  explicit WatchedRequest(std::size_t aBytes)
    : mBytes(aBytes, 'b')
  {
    tcp::acceptor acceptor(mContext);
    acceptor.open(tcp::v4());
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kBuffer));
    acceptor.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
    acceptor.listen();
    mConnection->mSocket.connect(acceptor.local_endpoint());
    mConnection->mSocket.set_option(
      boost::asio::socket_base::send_buffer_size(kBuffer));
    acceptor.accept(mPeer);
    boost::asio::async_write(mConnection->mSocket,
                             boost::asio::buffer(mBytes),
                             [](const Error&, std::size_t) {});
    mWatch->Start([this]() { mStalls += 1; });
  }

  ~WatchedRequest() { mWatch->Stop(); }
  WatchedRequest(const WatchedRequest&) = delete;
  WatchedRequest& operator=(const WatchedRequest&) = delete;

  void RunFor(milliseconds aTime)
  {
    mContext.restart();
    mContext.run_for(aTime);
  }

  boost::asio::io_context mContext;
  std::string mBytes;
  BackendConnectionPointer mConnection =
    std::make_shared<BackendConnection>(mContext,
                                        std::make_shared<std::size_t>(0));
  tcp::socket mPeer{ mContext };
  std::shared_ptr<DeliveryWatch> mWatch =
    std::make_shared<DeliveryWatch>(mContext, mConnection);
  int mStalls = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(deliverywatch)

BOOST_AUTO_TEST_CASE(BytesThatArentAcknowledgedStall)
{
  WatchedRequest request(kLargeBody);
  request.RunFor(milliseconds(900));
  BOOST_TEST(request.mStalls == 0);
  request.RunFor(milliseconds(3000));
  BOOST_TEST(request.mStalls == 1);
}

BOOST_AUTO_TEST_CASE(AcknowledgedBytesDontStall)
{
  WatchedRequest request(100);
  request.RunFor(milliseconds(2000));
  BOOST_TEST(request.mStalls == 0);
}

// A large body may take longer than the time without an acknowledgement.
BOOST_AUTO_TEST_CASE(SlowProgressIsntAStall)
{
  WatchedRequest request(kLargeBody);
  for (int i = 0; i < 10; ++i) {
    request.RunFor(milliseconds(250));
    std::array<char, kRead> buffer{};
    request.mPeer.read_some(boost::asio::buffer(buffer));
  }
  BOOST_TEST(request.mStalls == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
