#include "loopback.h"

#include "../../src/libmedlarkeelforward/messageparser.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <strings.h>

namespace medlarkeel {

namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

} // namespace

std::string
FieldOf(const std::string& aHead, const std::string& aName)
{
  std::size_t begin = 0;
  while (begin < aHead.size()) {
    const std::size_t end = std::min(aHead.find("\r\n", begin), aHead.size());
    const std::string line = aHead.substr(begin, end - begin);
    const bool matches =
      line.size() > aName.size() + 1 && line[aName.size()] == ':' &&
      strncasecmp(line.c_str(), aName.c_str(), aName.size()) == 0;
    if (matches) {
      return line.substr(line.find_first_not_of(' ', aName.size() + 1));
    }
    begin = end + 2;
  }
  return {};
}

void
WriteBytes(tcp::socket& aSocket, const std::string& aBytes)
{
  Error ignored;
  boost::asio::write(aSocket, boost::asio::buffer(aBytes), ignored);
}

void
ShutDown(tcp::socket& aSocket)
{
  Error error;
  aSocket.shutdown(tcp::socket::shutdown_both, error);
  if (error && error != boost::asio::error::not_connected) {
    throw boost::system::system_error(error);
  }
}

int
SeenAnswer::Status() const
{
  constexpr std::size_t kStatusBegin = 9;
  return mHead.size() > kStatusBegin ? std::stoi(mHead.substr(kStatusBegin))
                                     : 0;
}

Caller::Caller(std::uint16_t aPort, const char* aAddress)
  : mSocket(mContext)
{
  Error error;
  mSocket.connect({ boost::asio::ip::make_address(aAddress), aPort }, error);
  mIsConnected = !error;
}

void
Caller::Send(const std::string& aBytes)
{
  WriteBytes(mSocket, aBytes);
}

SeenAnswer
Caller::Read()
{
  SeenAnswer answer;
  AnswerParser parser;
  std::array<char, 4096> buffer{};
  ParseState state = ParseState::NeedMore;
  Error error;
  while (true) {
    if (answer.mHead.empty()) {
      answer.mHead = mInput.substr(0, FindHeadEnd(mInput).value_or(0));
    }
    if (!answer.mHead.empty()) {
      state = Feed(parser, mInput);
    }
    if (state != ParseState::NeedMore || error) {
      break;
    }
    const std::size_t size =
      mSocket.read_some(boost::asio::buffer(buffer), error);
    mInput.append(buffer.data(), size);
  }
  answer.mBody = parser.TakeBody();
  answer.mIsWhole = state == ParseState::Done;
  answer.mIsClosedInOrder = error == boost::asio::error::eof;
  return answer;
}

std::string
Caller::ReadHead()
{
  std::array<char, 4096> buffer{};
  Error error;
  while (!FindHeadEnd(mInput) && !error) {
    const std::size_t size =
      mSocket.read_some(boost::asio::buffer(buffer), error);
    mInput.append(buffer.data(), size);
  }
  const std::size_t end = FindHeadEnd(mInput).value_or(mInput.size());
  std::string head = mInput.substr(0, end);
  mInput.erase(0, end);
  return head;
}

void
Caller::Close()
{
  Error ignored;
  mSocket.close(ignored);
}

} // namespace medlarkeel
