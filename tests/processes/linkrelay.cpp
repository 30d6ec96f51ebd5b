#include "linkrelay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace medlarkeel {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kBufferBytes = 16384;

tcp::endpoint
LoopbackEndpoint(std::uint16_t aPort)
{
  return { boost::asio::ip::address_v4::loopback(), aPort };
}

} // namespace

/** One forwarded connection: a caller's socket and the one to the server. */
class LinkRelay::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(tcp::socket aCaller, const LinkRelay& aRelay)
    : mRelay(aRelay)
    , mServer(aCaller.get_executor())
    , mCaller(std::move(aCaller))
  {
  }

  void Connect()
  {
    const auto self = shared_from_this();
    mServer.async_connect(mRelay.mTarget, [self](const error_code& aError) {
      if (aError) {
        self->Take(LinkDirection::FromServer, aError, 0);
        return;
      }
      self->SendWithoutDelay();
      self->Read(LinkDirection::ToServer);
      self->Read(LinkDirection::FromServer);
    });
  }

  void Resume(LinkDirection aDirection)
  {
    if (Side(aDirection).mParked) {
      Side(aDirection).mParked = false;
      Forward(aDirection);
    }
  }

  bool IsClosed() const { return !mCaller.is_open(); }

  void Reset()
  {
    error_code ignored;
    mCaller.set_option(tcp::socket::linger(true, 0), ignored);
    mServer.set_option(tcp::socket::linger(true, 0), ignored);
    Close();
  }

private:
  /** What one direction holds. */
  struct Half
  {
    std::array<char, kBufferBytes> mBuffer;
    std::size_t mSize = 0;
    error_code mEnd;
    bool mParked = false;
  };

  Half& Side(LinkDirection aDirection)
  {
    return mHalves[static_cast<std::size_t>(aDirection)];
  }

  tcp::socket& From(LinkDirection aDirection)
  {
    return aDirection == LinkDirection::ToServer ? mCaller : mServer;
  }

  tcp::socket& To(LinkDirection aDirection)
  {
    return aDirection == LinkDirection::ToServer ? mServer : mCaller;
  }

  void SendWithoutDelay()
  {
    error_code ignored;
    mCaller.set_option(tcp::no_delay(true), ignored);
    mServer.set_option(tcp::no_delay(true), ignored);
  }

  void Read(LinkDirection aDirection)
  {
    const auto self = shared_from_this();
    From(aDirection)
      .async_read_some(
        boost::asio::buffer(Side(aDirection).mBuffer),
        [self, aDirection](const error_code& aError, std::size_t aSize) {
          self->Take(aDirection, aError, aSize);
        });
  }

  void Take(LinkDirection aDirection,
            const error_code& aError,
            std::size_t aSize)
  {
    Side(aDirection).mEnd = aError;
    Side(aDirection).mSize = aSize;
    Forward(aDirection);
  }

  void Forward(LinkDirection aDirection)
  {
    Half& half = Side(aDirection);
    if (mRelay.mCut[static_cast<std::size_t>(aDirection)]) {
      half.mParked = true;
      return;
    }
    if (half.mEnd) {
      Close();
      return;
    }
    const auto self = shared_from_this();
    boost::asio::async_write(
      To(aDirection),
      boost::asio::buffer(half.mBuffer.data(), half.mSize),
      [self, aDirection](const error_code& aError, std::size_t) {
        if (aError) {
          self->Close();
        } else {
          self->Read(aDirection);
        }
      });
  }

  void Close()
  {
    error_code ignored;
    mCaller.close(ignored);
    mServer.close(ignored);
  }

  const LinkRelay& mRelay;
  tcp::socket mServer;
  tcp::socket mCaller;
  std::array<Half, 2> mHalves;
};

LinkRelay::LinkRelay(boost::asio::io_context& aContext,
                     std::uint16_t aPort,
                     std::uint16_t aTarget)
  : mAcceptor(aContext, LoopbackEndpoint(aPort))
  , mTarget(LoopbackEndpoint(aTarget))
{
  Accept();
}

void
LinkRelay::SetCut(LinkDirection aDirection, bool aCut)
{
  mCut[static_cast<std::size_t>(aDirection)] = aCut;
  if (aCut) {
    return;
  }
  for (const auto& connection : mConnections) {
    connection->Resume(aDirection);
  }
}

void
LinkRelay::Reset()
{
  for (const auto& connection : mConnections) {
    connection->Reset();
  }
}

void
LinkRelay::Accept()
{
  mAcceptor.async_accept([this](const error_code& aError, tcp::socket aCaller) {
    if (aError) {
      return;
    }
    mConnections.erase(
      std::remove_if(mConnections.begin(),
                     mConnections.end(),
                     [](const auto& aKnown) { return aKnown->IsClosed(); }),
      mConnections.end());
    const auto connection =
      std::make_shared<Connection>(std::move(aCaller), *this);
    mConnections.push_back(connection);
    connection->Connect();
    Accept();
  });
}

} // namespace medlarkeel
