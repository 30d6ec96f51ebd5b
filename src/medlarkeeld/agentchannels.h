#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace grpc {
class Channel;
} // namespace grpc

namespace medlarkeel {

/** The long-lived gRPC channels of this process, one an address. */
class AgentChannels
{
public:
  /**
   * @param aAddress IP number and port.
   * @return The channel to the address, made on first use.
   */
  std::shared_ptr<grpc::Channel> ChannelTo(const std::string& aAddress);

private:
  std::mutex mMutex;
  std::map<std::string, std::shared_ptr<grpc::Channel>> mChannels;
};

} // namespace medlarkeel
