#pragma once

#include <cstddef>
#include <string_view>

namespace medlarkeel {

/** Counts the server-sent events of one answer, which ends each with a blank
 * line, wherever its bytes are split. */
class ServerEventCounter
{
public:
  /**
   * Takes the next bytes of the answer.
   *
   * @return The number of events that end in them.
   */
  std::size_t Add(std::string_view aBytes);

private:
  char mLastByte = '\0';
};

} // namespace medlarkeel
