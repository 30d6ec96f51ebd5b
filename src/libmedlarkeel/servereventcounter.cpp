#include "servereventcounter.h"

namespace medlarkeel {

std::size_t
ServerEventCounter::Add(std::string_view aBytes)
{
  std::size_t events = 0;
  for (const char byte : aBytes) {
    if (byte == '\n' && mLastByte == '\n') {
      ++events;
    }
    mLastByte = byte;
  }
  return events;
}

} // namespace medlarkeel
