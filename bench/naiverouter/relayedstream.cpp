#include "relayedstream.h"

namespace medlarkeel {

RelayedStream::RelayedStream(HttpCall aCall)
  : mCall(std::move(aCall))
{
  mCall.mShouldStop = [this] {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mLeft;
  };
  mReader = std::thread([this] { Read(); });
}

RelayedStream::~RelayedStream()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mLeft = true;
  }
  mReader.join();
}

int
RelayedStream::WaitForHead(HttpHeaders& aHeaders)
{
  std::unique_lock<std::mutex> lock(mMutex);
  mChanged.wait(lock, [this] { return mStatus != 0 || mOver; });
  aHeaders = mHeaders;
  return mStatus;
}

Piece
RelayedStream::Next()
{
  std::unique_lock<std::mutex> lock(mMutex);
  mChanged.wait(lock, [this] { return !mPieces.empty() || mOver; });
  if (!mPieces.empty()) {
    Piece piece{ PieceKind::Data, std::move(mPieces.front()) };
    mPieces.pop_front();
    return piece;
  }
  return { mFailed ? PieceKind::Failed : PieceKind::End, "" };
}

void
RelayedStream::Read()
{
  const auto onHead = [this](int aStatus, const HttpHeaders& aHeaders) {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStatus = aStatus;
    mHeaders = aHeaders;
    mChanged.notify_all();
  };
  const auto onData = [this](std::string_view aData) {
    const std::lock_guard<std::mutex> lock(mMutex);
    mPieces.emplace_back(aData);
    mChanged.notify_all();
    return !mLeft;
  };
  const auto result = StreamHttp(mCall, onHead, onData);
  const std::lock_guard<std::mutex> lock(mMutex);
  mFailed = !result || result.value() == TransferEnd::Close;
  mOver = true;
  mChanged.notify_all();
}

} // namespace medlarkeel
