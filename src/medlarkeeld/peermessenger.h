#pragma once

#include "agentchannels.h"
#include "medlarkeel.grpc.pb.h"
#include "types.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace medlarkeel {

/** A control message and where it goes. */
struct OutgoingMessage
{
  InstanceId mTo;
  /** IP number and port. */
  std::string mAddress;
  wire::PeerMessage mMessage;
};

/** Sends control messages on threads of its own, so that nobody waits. */
class PeerMessenger
{
public:
  /** Told of each answer and of when its request was sent. */
  using AnswerHandler =
    std::function<void(const InstanceId&, const wire::PeerMessage&, Timestamp)>;
  /** Told of each peer that didn't answer in time. */
  using SilenceHandler = std::function<void(const InstanceId&)>;

  PeerMessenger(AgentChannels& aChannels,
                AnswerHandler aOnAnswer,
                SilenceHandler aOnSilence);
  ~PeerMessenger();

  PeerMessenger(const PeerMessenger&) = delete;
  PeerMessenger& operator=(const PeerMessenger&) = delete;

  /** Queues a message; drops it when too many wait. */
  void Send(OutgoingMessage aMessage);

  /** @return Bytes of all messages sent so far, without framing. */
  std::uint64_t SentBytes();

private:
  void Run();
  void Exchange(const OutgoingMessage& aMessage);

  AgentChannels& mChannels;
  const AnswerHandler mOnAnswer;
  const SilenceHandler mOnSilence;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<OutgoingMessage> mQueue;
  std::uint64_t mSentBytes = 0;
  bool mStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace medlarkeel
