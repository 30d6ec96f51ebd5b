#include "runmailbox.h"

#include <utility>

namespace medlarkeel {

void
RunMailbox::Post(RunMessage aMessage)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mMessages.push_back(std::move(aMessage));
  }
  mChanged.notify_one();
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
  return message;
}

} // namespace medlarkeel
