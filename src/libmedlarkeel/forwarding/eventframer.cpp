#include "eventframer.h"

#include <algorithm>

namespace medlarkeel {

std::string
EventFramer::Push(std::string_view aBytes)
{
  // The buffer holds no complete delimiter, but may end with the first one or
  // two bytes of one. Only these bytes are searched again.
  constexpr std::size_t kMostOfEnd = 2;
  const std::size_t searched =
    mHeld.size() - std::min(mHeld.size(), kMostOfEnd);
  mHeld.append(aBytes);
  const std::string_view recent = std::string_view(mHeld).substr(searched);
  const std::size_t plain = recent.rfind("\n\n");
  const std::size_t withReturns = recent.rfind("\n\r\n");
  std::size_t end = 0;
  if (plain != std::string_view::npos) {
    end = searched + plain + 2;
  }
  if (withReturns != std::string_view::npos) {
    end = std::max(end, searched + withReturns + 3);
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
