#pragma once

#include "httpclient.h"
#include "httpmessage.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace medlarkeel {

/** A reply that a thread reads and a connection's thread passes on. */
class RelayedStream : public BodySource
{
public:
  explicit RelayedStream(HttpCall aCall);
  ~RelayedStream() override;

  /** Blocks until the head has come. @return The status; 0 if none came. */
  int WaitForHead(HttpHeaders& aHeaders);

  Piece Next() override;

private:
  void Read();

  HttpCall mCall;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<std::string> mPieces;
  HttpHeaders mHeaders;
  int mStatus = 0;
  bool mOver = false;
  bool mFailed = false;
  bool mLeft = false;
  std::thread mReader;
};

} // namespace medlarkeel
