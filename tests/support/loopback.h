#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace medlarkeel {

/** @return The value of a head's field, or an empty text. */
std::string
FieldOf(const std::string& aHead, const std::string& aName);

/** Writes bytes; a connection that ended is left to the test to notice. */
void
WriteBytes(boost::asio::ip::tcp::socket& aSocket, const std::string& aBytes);

/** Ends both directions of a connection. The other side may have reset it
 * before, which isn't an error. */
void
ShutDown(boost::asio::ip::tcp::socket& aSocket);

/** What a test sees of an answer. */
struct SeenAnswer
{
  std::string mHead;
  std::string mBody;
  /** Whether the body's framing shows that it is whole. */
  bool mIsWhole = false;
  /** Whether the connection was closed, not reset, before that was shown. */
  bool mIsClosedInOrder = false;

  int Status() const;
  std::string Field(const std::string& aName) const
  {
    return FieldOf(mHead, aName);
  }
};

/** A caller's connection that sends and reads blockingly. */
class Caller
{
public:
  explicit Caller(std::uint16_t aPort, const char* aAddress = "127.0.0.1");

  /** @return Whether the connection could be made. */
  bool IsConnected() const { return mIsConnected; }
  void Send(const std::string& aBytes);
  /** Reads one answer, or up to the end of the connection. */
  SeenAnswer Read();
  /** Reads the head of an answer that has no body. */
  std::string ReadHead();
  void Close();

private:
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::socket mSocket;
  std::string mInput;
  bool mIsConnected = false;
};

} // namespace medlarkeel
