#pragma once

#include "settings.h"

namespace medlarkeel {

/**
 * A TCP connection opened ahead of the one call that it is for. Never used for
 * a second call, so work that may not be repeated may take it.
 */
class PreparedConnection
{
public:
  /**
   * Begins to connect and returns at once.
   *
   * @param aServer Must be an IPv4 number; others are not prepared.
   */
  explicit PreparedConnection(const Endpoint& aServer);
  ~PreparedConnection();
  PreparedConnection(const PreparedConnection&) = delete;
  PreparedConnection& operator=(const PreparedConnection&) = delete;

  /**
   * Hands the connection over, or closes it if it can't be used.
   *
   * @return Its descriptor, which the caller closes, or -1 unless it stands
   *         and the server has neither sent anything nor closed it.
   */
  int Release();

private:
  bool IsUsable() const;
  void Close();

  int mDescriptor = -1;
};

} // namespace medlarkeel
