#include "agentchannels.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

namespace medlarkeel {

namespace {

constexpr int kReconnectBackoffFirst = 100; // ms
constexpr int kReconnectBackoffMost = 1000; // ms

grpc::ChannelArguments
ChannelOptions()
{
  grpc::ChannelArguments options;
  options.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectBackoffFirst);
  options.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kReconnectBackoffFirst);
  options.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kReconnectBackoffMost);
  options.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  return options;
}

} // namespace

std::shared_ptr<grpc::Channel>
AgentChannels::ChannelTo(const std::string& aAddress)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  auto& channel = mChannels[aAddress];
  if (!channel) {
    channel = grpc::CreateCustomChannel(
      aAddress, grpc::InsecureChannelCredentials(), ChannelOptions());
  }
  return channel;
}

} // namespace medlarkeel
