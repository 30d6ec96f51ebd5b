#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace medlarkeel {

/** What each caller of a crowd sends: a first text, then one piece again and
 * again, then a last text. Afterwards its connection stays open. */
struct CrowdRequest
{
  std::string mFirst;
  std::string mPiece;
  std::size_t mPieces = 0;
  std::string mLast;
  /** Whether segments and receive buffers are small, as on a network. With
   * those of loopback, the kernels buffer more than 1 MB of each answer. */
  bool mHasSmallBuffers = false;
};

/**
 * @param aHead Head of the request without its length and its last line end.
 * @param aSize Bytes of the announced body.
 * @param aSent Bytes of it that are sent.
 * @param aPieceSize Bytes that are written at once.
 */
CrowdRequest
AnnouncedBody(const std::string& aHead,
              std::size_t aSize,
              std::size_t aSent,
              std::size_t aPieceSize);

/**
 * @param aHead Head of the request without its last line end.
 * @param aSize Bytes of the body that are sent; the last chunk lacks its last
 *        byte.
 * @param aChunkSize Bytes of a chunk.
 */
CrowdRequest
ChunkedBody(const std::string& aHead,
            std::size_t aSize,
            std::size_t aChunkSize);

/** Many callers that send the same bytes at once and never close. */
class CallerCrowd
{
public:
  /**
   * Connects all callers and begins to send.
   *
   * @param aSource Address of the callers.
   */
  CallerCrowd(const std::string& aAddress,
              std::uint16_t aPort,
              std::size_t aCallers,
              CrowdRequest aRequest,
              const std::string& aSource = "127.0.0.1");
  /** Closes all connections. */
  ~CallerCrowd();
  CallerCrowd(const CallerCrowd&) = delete;
  CallerCrowd& operator=(const CallerCrowd&) = delete;

  /** @return Whether each caller has sent all, or has been answered, or has
   * lost its connection. */
  bool IsSettled() const { return mSettled == mMembers.size(); }

  /** @return Callers that have been answered or have lost their connection. */
  std::size_t Ended() const { return mEnded; }

  /** @return Connections that could be made. */
  std::size_t Connected() const { return mConnected; }

private:
  struct Member
  {
    explicit Member(boost::asio::io_context& aContext)
      : mSocket(aContext)
    {
    }

    boost::asio::ip::tcp::socket mSocket;
    std::size_t mSentPieces = 0;
    int mStep = 0;
    bool mIsSettled = false;
    bool mHasEnded = false;
    char mByte = 0;
  };

  void Begin(Member& aMember);
  void SendNext(Member& aMember);
  void Settle(Member& aMember);
  void End(Member& aMember);

  const CrowdRequest mRequest;
  boost::asio::io_context mContext;
  std::vector<std::unique_ptr<Member>> mMembers;
  std::atomic<std::size_t> mSettled{ 0 };
  std::atomic<std::size_t> mEnded{ 0 };
  std::atomic<std::size_t> mConnected{ 0 };
  std::thread mThread;
};

} // namespace medlarkeel
