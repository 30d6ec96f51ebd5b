#include "runmailbox.h"

#include <utility>

namespace medlarkeel {

namespace {

constexpr Milliseconds kStopPoll{ 50 };

std::size_t
DataBytes(const RunMessage& aMessage)
{
  const auto* data = std::get_if<RunData>(&aMessage);
  return data == nullptr ? 0 : data->mBytes.size();
}

} // namespace

void
RunMailbox::Post(RunMessage aMessage)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mDataBytes += DataBytes(aMessage);
    mMessages.push_back(std::move(aMessage));
  }
  mChanged.notify_all();
}

void
RunMailbox::WaitForSpace(std::size_t aMaximumBytes,
                         const std::function<bool()>& aShouldStop)
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (mDataBytes > aMaximumBytes && !aShouldStop()) {
    mChanged.wait_for(lock, kStopPoll);
  }
}

std::optional<RunMessage>
RunMailbox::Wait(Milliseconds aPatience)
{
  std::unique_lock<std::mutex> lock(mMutex);
  mChanged.wait_for(lock, aPatience, [this] { return !mMessages.empty(); });
  if (mMessages.empty()) {
    return std::nullopt;
  }
  RunMessage message = std::move(mMessages.front());
  mMessages.pop_front();
  mDataBytes -= DataBytes(message);
  mChanged.notify_all();
  return message;
}

} // namespace medlarkeel
