#include "httpcaller.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

namespace medlarkeel {

namespace {

using boost::asio::ip::tcp;

constexpr Milliseconds kTimeout{ 400 };
constexpr Milliseconds kPause{ 100 };
constexpr int kPieces = 10;
constexpr std::size_t kPieceBytes = 1000;

/** Answers one call with pieces and a pause before each. */
class SlowServer
{
public:
  /** @param aSentPieces Pieces until the server falls silent. */
  explicit SlowServer(int aSentPieces)
    : mAcceptor(mContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , mThread([this, aSentPieces]() { Serve(aSentPieces); })
  {
  }
  SlowServer(const SlowServer&) = delete;
  SlowServer& operator=(const SlowServer&) = delete;
  ~SlowServer() { mThread.join(); }

  Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

private:
  void Serve(int aSentPieces)
  {
    tcp::socket socket = mAcceptor.accept();
    std::string request;
    boost::asio::read_until(
      socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(kPieces * kPieceBytes) + "\r\n\r\n";
    boost::system::error_code error; // The caller may have gone.
    boost::asio::write(socket, boost::asio::buffer(head), error);
    const std::string piece(kPieceBytes, 'x');
    for (int i = 0; i < aSentPieces; ++i) {
      std::this_thread::sleep_for(kPause);
      boost::asio::write(socket, boost::asio::buffer(piece), error);
    }
    // Until the caller closes the connection.
    request.clear();
    boost::asio::read(socket, boost::asio::dynamic_buffer(request), error);
  }

  boost::asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::thread mThread;
};

std::optional<CallAnswer>
CallTo(const Endpoint& aServer)
{
  boost::asio::io_context context;
  std::optional<CallAnswer> answer;
  const auto caller = std::make_shared<HttpCaller>(context, aServer);
  caller->Get("/", kTimeout, [&](std::optional<CallAnswer> aAnswer) {
    answer = std::move(aAnswer);
  });
  context.run();
  return answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(httpcaller)

/** Guards against a list that is never read on a slow link, because its
 * transfer takes longer than the time-out of a call. */
BOOST_AUTO_TEST_CASE(AnswerThatArrivesSlowlyIsRead)
{
  const SlowServer server(kPieces);
  const auto answer = CallTo(server.Address());
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->mBody.size() == kPieces * kPieceBytes);
}

BOOST_AUTO_TEST_CASE(AnswerThatStopsIsGivenUp)
{
  const SlowServer server(kPieces / 2);
  BOOST_TEST(!CallTo(server.Address()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
