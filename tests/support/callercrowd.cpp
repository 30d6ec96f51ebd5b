#include "callercrowd.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <netinet/tcp.h>
#include <sstream>

namespace medlarkeel {

namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t kMostPieceBytes = 65'536;

constexpr int kSegmentBytes = 1460;
constexpr int kReceiveBuffer = 16'384;

void
SetSmallBuffers(tcp::socket& aSocket)
{
  setsockopt(aSocket.native_handle(),
             IPPROTO_TCP,
             TCP_MAXSEG,
             &kSegmentBytes,
             sizeof(kSegmentBytes));
  aSocket.set_option(
    boost::asio::socket_base::receive_buffer_size(kReceiveBuffer));
}

} // namespace

CrowdRequest
AnnouncedBody(const std::string& aHead,
              std::size_t aSize,
              std::size_t aSent,
              std::size_t aPieceSize)
{
  CrowdRequest request;
  request.mFirst =
    aHead + "Content-Length: " + std::to_string(aSize) + "\r\n\r\n";
  request.mPiece = std::string(aPieceSize, 'b');
  request.mPieces = aSent / aPieceSize;
  request.mLast = std::string(aSent % aPieceSize, 'b');
  return request;
}

CrowdRequest
ChunkedBody(const std::string& aHead, std::size_t aSize, std::size_t aChunkSize)
{
  std::ostringstream size;
  size << std::hex << aChunkSize;
  const std::string chunk =
    size.str() + "\r\n" + std::string(aChunkSize, 'b') + "\r\n";
  CrowdRequest request;
  request.mFirst = aHead + "Transfer-Encoding: chunked\r\n\r\n";
  // Tiny chunks are written many at once.
  const std::size_t chunks = aSize / aChunkSize;
  const std::size_t together =
    std::max<std::size_t>(1, kMostPieceBytes / chunk.size());
  for (std::size_t i = 0; i < together; ++i) {
    request.mPiece += chunk;
  }
  request.mPieces = chunks / together;
  for (std::size_t i = 1; i < chunks % together; ++i) {
    request.mLast += chunk;
  }
  request.mLast += "1\r\n";
  return request;
}

CallerCrowd::CallerCrowd(const std::string& aAddress,
                         std::uint16_t aPort,
                         std::size_t aCallers,
                         CrowdRequest aRequest,
                         const std::string& aSource)
  : mRequest(std::move(aRequest))
{
  const tcp::endpoint target(boost::asio::ip::make_address(aAddress), aPort);
  const tcp::endpoint source(boost::asio::ip::make_address(aSource), 0);
  for (std::size_t i = 0; i < aCallers; ++i) {
    mMembers.push_back(std::make_unique<Member>(mContext));
    Member& member = *mMembers.back();
    Error error;
    member.mSocket.open(tcp::v4());
    if (mRequest.mHasSmallBuffers) {
      SetSmallBuffers(member.mSocket);
    }
    member.mSocket.bind(source, error);
    member.mSocket.connect(target, error);
    if (error) {
      End(member);
    } else {
      mConnected += 1;
      Begin(member);
    }
  }
  mThread = std::thread([this]() { mContext.run(); });
}

CallerCrowd::~CallerCrowd()
{
  mContext.stop();
  mThread.join();
}

void
CallerCrowd::Begin(Member& aMember)
{
  // The first byte of an answer, or the end of the connection.
  aMember.mSocket.async_read_some(
    boost::asio::buffer(&aMember.mByte, 1),
    [this, &aMember](const Error&, std::size_t) { End(aMember); });
  SendNext(aMember);
}

void
CallerCrowd::SendNext(Member& aMember)
{
  const std::string* text = nullptr;
  if (aMember.mStep == 0) {
    text = &mRequest.mFirst;
    aMember.mStep = 1;
  } else if (aMember.mStep == 1 && aMember.mSentPieces < mRequest.mPieces) {
    text = &mRequest.mPiece;
    aMember.mSentPieces += 1;
  } else if (aMember.mStep == 1) {
    text = &mRequest.mLast;
    aMember.mStep = 2;
  } else {
    Settle(aMember);
    return;
  }
  boost::asio::async_write(aMember.mSocket,
                           boost::asio::buffer(*text),
                           [this, &aMember](const Error& aError, std::size_t) {
                             if (aError) {
                               End(aMember);
                             } else {
                               SendNext(aMember);
                             }
                           });
}

void
CallerCrowd::Settle(Member& aMember)
{
  mSettled += aMember.mIsSettled ? 0 : 1;
  aMember.mIsSettled = true;
}

void
CallerCrowd::End(Member& aMember)
{
  mEnded += aMember.mHasEnded ? 0 : 1;
  aMember.mHasEnded = true;
  Settle(aMember);
}

} // namespace medlarkeel
