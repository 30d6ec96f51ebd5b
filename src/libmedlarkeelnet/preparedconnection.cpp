#include "preparedconnection.h"

#include <arpa/inet.h>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace medlarkeel {

PreparedConnection::PreparedConnection(const Endpoint& aServer)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aServer.mPort);
  if (inet_pton(AF_INET, aServer.mAddress.c_str(), &address.sin_addr) != 1) {
    return;
  }
  mDescriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (mDescriptor >= 0) {
    static_cast<void>(connect(
      mDescriptor, reinterpret_cast<sockaddr*>(&address), sizeof address));
  }
}

PreparedConnection::~PreparedConnection()
{
  Close();
}

int
PreparedConnection::Release()
{
  if (!IsUsable()) {
    Close();
  }
  return std::exchange(mDescriptor, -1);
}

void
PreparedConnection::Close()
{
  if (mDescriptor >= 0) {
    close(mDescriptor);
    mDescriptor = -1;
  }
}

bool
PreparedConnection::IsUsable() const
{
  pollfd entry{ mDescriptor, POLLIN | POLLOUT | POLLRDHUP, 0 };
  return mDescriptor >= 0 && poll(&entry, 1, 0) == 1 &&
         entry.revents == POLLOUT;
}

} // namespace medlarkeel
