#pragma once

#include "../libmedlarkeel/forwarding/callermemory.h"
#include "forwarder.h"
#include "messageparser.h"

#include <deque>
#include <memory>
#include <string>

namespace medlarkeel {

class Exchange;

/**
 * A caller's connection: reads one request after the other and writes their
 * answers. Goes on reading while a request runs, so that the caller's leaving
 * is noticed.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  /**
   * @param aAddress Address of the caller, under which it is counted.
   * @param aReceiveBufferBytes Size of the connection's receive buffer.
   */
  CallerConnection(Forwarder& aForwarder,
                   boost::asio::ip::tcp::socket aSocket,
                   std::string aAddress,
                   std::size_t aReceiveBufferBytes);

  void Start();

  CallerId Id() const { return mId; }
  const std::string& Address() const { return mAddress; }
  std::size_t ReceiveBufferBytes() const { return mReceiveBufferBytes; }

  /** Records what the connection holds; call it when its request or answer
   * has changed. */
  void UpdateMemory();

  /** Resumes reading after a pause for lack of memory. */
  void Resume();

  /** Releases what the connection holds, as others need the memory: a request
   * that hasn't begun is refused, an unread answer is cut. */
  void Evict();

  /** Writes bytes of the answer behind those that are still being written. */
  void Send(std::string aBytes);

  /** @return Bytes that wait to be written. */
  std::size_t PendingBytes() const { return mPendingBytes; }

  /** Ends the answer; the connection goes on or is closed. */
  void FinishAnswer(bool aKeepOpen);

  /** Closes the connection before the end that the framing states, so that the
   * answer can't look complete. */
  void Abort();

  /** Lets each end of the connection that isn't in order be a reset, also the
   * end of this process. An answer that ends with its connection would seem
   * complete. */
  void ResetUnlessFinished();

  /** Resets the connection: the only sign that an answer without a length or
   * chunks is incomplete. */
  void Reset();

  /** Closes the connection if no request is under way. */
  void CloseIfIdle();

  /** Ends the request that is under way with an answer, as the process ends. */
  void EndForShutdown();

  /** @return Whether a request waits, is being read or is answered. */
  bool IsBusy() const
  {
    return mExchange != nullptr || mHasBegun || !mInput.empty();
  }

  /** @return Since when the head of a request is missing; nothing if it is
   * complete, or if the connection is idle after an answer. */
  std::optional<Timestamp> HeadMissingSince() const
  {
    return mHeadMissingSince;
  }

  /** @return Whether an answer that begins now may keep the connection. In a
   * shutdown it may only if a further request has arrived. */
  bool MayKeepOpen() const;

private:
  using Error = boost::system::error_code;

  /** Sets whether the connection is reset when its socket is closed. */
  void SetResetOnClose(bool aIsReset);

  /** @return The limits in force, or the usual ones before a document. */
  CallerLimits Limits() const;
  void Read();
  /** Reads what has arrived, if there is memory for it. */
  void TakeReadable(const Error& aError);
  /** @return Whether a readable connection has no bytes but its end, which
   * takes no memory and is never refused. */
  bool HasEnded() const;
  /** @return Whether the connection may be read. */
  bool HasMemory();
  void TakeBytes(const Error& aError, std::string_view aBytes);
  CallerPhase Phase() const;
  /** @return Bytes of the request's body that are still to arrive. */
  std::size_t MissingBytes() const;
  void RefuseForMemory();
  void Process();
  bool ProcessHead();
  bool CheckHead(std::string_view aHead);
  /** Reads the urgency of the request from its head. */
  void ReadPriority(const MessageHead& aHead);
  void ProcessBody();
  bool CheckDescriptors();
  void RejectTooLarge();
  void Reject(int aStatus,
              const std::string& aReason,
              std::optional<Milliseconds> aRetryAfter = std::nullopt);
  void StartTimer(Milliseconds aTime);
  void Write();
  void CloseGracefully();
  void Close();

  Forwarder& mForwarder;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::string mAddress;
  std::size_t mReceiveBufferBytes;
  CallerId mId;
  RequestPriority mPriority;
  /** Bytes received and sent. */
  std::uint64_t mMovedBytes = 0;
  std::string mInput;
  std::unique_ptr<RequestParser> mParser;
  std::shared_ptr<Exchange> mExchange;
  std::deque<std::string> mOutput;
  std::size_t mPendingBytes = 0;
  std::optional<Timestamp> mHeadMissingSince;
  /** Bytes of a request have arrived whose answer hasn't begun. */
  bool mHasBegun = false;
  /** Whether the request that has begun is a HEAD. */
  bool mIsHeadOnly = false;
  bool mIsReading = false;
  bool mIsWriting = false;
  bool mClosesAfterWrite = false;
  bool mIsLingering = false;
  bool mIsClosed = false;
};

} // namespace medlarkeel
