#include "peermessenger.h"

#include "bootclock.h"

#include <grpcpp/channel.h>

#include <utility>

namespace medlarkeel {

namespace {

constexpr std::size_t kThreads = 4;
constexpr std::size_t kMostQueued = 256;
constexpr std::chrono::milliseconds kAnswerTime{ 500 };

} // namespace

PeerMessenger::PeerMessenger(AgentChannels& aChannels,
                             AnswerHandler aOnAnswer,
                             SilenceHandler aOnSilence)
  : mChannels(aChannels)
  , mOnAnswer(std::move(aOnAnswer))
  , mOnSilence(std::move(aOnSilence))
{
  for (std::size_t index = 0; index < kThreads; ++index) {
    mThreads.emplace_back([this] { Run(); });
  }
}

PeerMessenger::~PeerMessenger()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void
PeerMessenger::Send(OutgoingMessage aMessage)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mQueue.size() >= kMostQueued) {
      return;
    }
    mQueue.push_back(std::move(aMessage));
  }
  mChanged.notify_one();
}

std::uint64_t
PeerMessenger::SentBytes()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mSentBytes;
}

void
PeerMessenger::Run()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping) {
    if (mQueue.empty()) {
      mChanged.wait(lock);
      continue;
    }
    const OutgoingMessage message = std::move(mQueue.front());
    mQueue.pop_front();
    mSentBytes += message.mMessage.ByteSizeLong();
    lock.unlock();
    Exchange(message);
    lock.lock();
  }
}

void
PeerMessenger::Exchange(const OutgoingMessage& aMessage)
{
  const auto stub = wire::Peer::NewStub(mChannels.ChannelTo(aMessage.mAddress));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kAnswerTime);
  wire::PeerMessage answer;
  const Timestamp sentAt = BootNow();
  const grpc::Status status =
    stub->Exchange(&context, aMessage.mMessage, &answer);
  if (status.ok()) {
    mOnAnswer(aMessage.mTo, answer, sentAt);
  } else {
    mOnSilence(aMessage.mTo);
  }
}

} // namespace medlarkeel
