#pragma once

#include "backendscheduler.h"
#include "refusal.h"
#include "types.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace medlarkeel {

struct RunGranted
{
  GrantId mGrant;
  Timestamp mExpires;
};

struct RunRefused
{
  Refusal mRefusal;
};

struct RunHead
{
  int mStatus = 0;
  std::string mContentType;
  bool mReplayed = false;
};

struct RunData
{
  std::string mBytes;
};

struct RunDone
{};

/** What happens to one reservation, in order. */
using RunMessage =
  std::variant<RunGranted, RunRefused, RunHead, RunData, RunDone>;

/**
 * Hands the messages of one reservation to the thread that serves its stream.
 * Any thread may post.
 */
class RunMailbox
{
public:
  void Post(RunMessage aMessage);

  /**
   * Blocks while the data that waits to be taken exceeds a bound.
   *
   * @param aMaximumBytes The bound.
   * @param aShouldStop Asked at short intervals; true ends the wait.
   */
  void WaitForSpace(std::size_t aMaximumBytes,
                    const std::function<bool()>& aShouldStop);

  /**
   * Takes the oldest message.
   *
   * @param aPatience How long to wait for one.
   * @return The message, or nothing if none came in time.
   */
  std::optional<RunMessage> Wait(Milliseconds aPatience);

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<RunMessage> mMessages;
  /** Size of the data in the messages. */
  std::size_t mDataBytes = 0;
};

} // namespace medlarkeel
