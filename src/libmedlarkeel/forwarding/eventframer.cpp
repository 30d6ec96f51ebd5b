#include "eventframer.h"

#include <algorithm>

namespace medlarkeel {

std::string
EventFramer::Push(std::string_view aBytes)
{
  mHeld.append(aBytes);
  const std::size_t plain = mHeld.rfind("\n\n");
  const std::size_t withReturns = mHeld.rfind("\n\r\n");
  std::size_t end = 0;
  if (plain != std::string::npos) {
    end = plain + 2;
  }
  if (withReturns != std::string::npos) {
    end = std::max(end, withReturns + 3);
  }
  std::string events = mHeld.substr(0, end);
  mHeld.erase(0, end);
  RecordIds(events);
  return events;
}

void
EventFramer::RecordIds(std::string_view aEvents)
{
  constexpr std::string_view kField = "id:";
  std::size_t begin = 0;
  while (begin < aEvents.size()) {
    const std::size_t end = std::min(aEvents.find('\n', begin), aEvents.size());
    std::string_view line = aEvents.substr(begin, end - begin);
    if (line.substr(0, kField.size()) == kField) {
      line.remove_prefix(kField.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      while (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
      }
      mLastEventId = line;
    }
    begin = end + 1;
  }
}

} // namespace medlarkeel
