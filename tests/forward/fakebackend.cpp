#include "fakebackend.h"

#include <boost/asio/buffer.hpp>

namespace medlarkeel {

namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

tcp::endpoint
AnyPort()
{
  return { boost::asio::ip::make_address("127.0.0.1"), 0 };
}

} // namespace

FakeBackend::FakeBackend(Script aScript, std::optional<std::size_t> aEarlyBytes)
  : mScript(std::move(aScript))
  , mEarlyBytes(aEarlyBytes)
  , mAcceptor(mContext, AnyPort())
  , mAddress{ "127.0.0.1", mAcceptor.local_endpoint().port() }
  , mAcceptThread([this]() { Accept(); })
{
}

FakeBackend::~FakeBackend()
{
  mIsEnding = true;
  // Wakes the accepting thread, which then finds that the test has ended.
  Error ignored;
  tcp::socket waker(mContext);
  waker.connect(
    { boost::asio::ip::make_address(mAddress.mAddress), mAddress.mPort },
    ignored);
  mAcceptThread.join();
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (Socket& socket : mSockets) {
      socket.shutdown(Socket::shutdown_both, ignored);
    }
  }
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void
FakeBackend::LimitReceiveBuffer(int aBytes)
{
  mAcceptor.set_option(boost::asio::socket_base::receive_buffer_size(aBytes));
}

std::vector<std::string>
FakeBackend::Requests() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRequests;
}

void
FakeBackend::Accept()
{
  while (!mIsEnding) {
    tcp::socket socket(mContext);
    Error error;
    mAcceptor.accept(socket, error);
    if (error || mIsEnding) {
      return;
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mSockets.push_back(std::move(socket));
    Socket& kept = mSockets.back();
    mThreads.emplace_back([this, &kept]() { Serve(kept); });
  }
}

void
FakeBackend::Serve(Socket& aSocket)
{
  std::string input;
  std::array<char, 4096> buffer{};
  while (true) {
    const std::size_t head = input.find("\r\n\r\n");
    const std::string length =
      head == std::string::npos ? "" : FieldOf(input, "Content-Length");
    const std::size_t body = length.empty() ? 0 : std::stoul(length);
    const std::size_t size =
      head + 4 + std::min(body, mEarlyBytes.value_or(body));
    if (head != std::string::npos && input.size() >= size) {
      const std::string request =
        input.substr(0, mEarlyBytes ? input.size() : size);
      input.erase(0, request.size());
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mRequests.push_back(request);
      }
      mScript(aSocket, request);
      if (mEarlyBytes) {
        Drain(aSocket);
        return;
      }
      continue;
    }
    Error error;
    const std::size_t read =
      aSocket.read_some(boost::asio::buffer(buffer), error);
    if (error) {
      mClosed += 1;
      return;
    }
    input.append(buffer.data(), read);
  }
}

void
FakeBackend::Drain(Socket& aSocket)
{
  std::array<char, 4096> buffer{};
  Error error;
  while (!error) {
    aSocket.read_some(boost::asio::buffer(buffer), error);
  }
  mClosed += 1;
}

std::string
AnswerTo(const std::string& aRequest,
         int aStatus,
         const std::string& aBody,
         const std::string& aExtra)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Some\r\nRequest: " + FieldOf(aRequest, "Request") + "\r\n" + aExtra +
         "Proof: p1\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

} // namespace medlarkeel
