#include "eventframer.h"

#include <algorithm>

namespace medlarkeel {

std::string
EventFramer::Push(std::string_view aBytes)
{
  // The buffer holds no complete delimiter, but may end with the first one or
  // two bytes of one. Only these bytes are searched again.
  constexpr std::size_t kMaximumPartialDelimiter = 2;
  const std::size_t searchBegin =
    mBuffer.size() - std::min(mBuffer.size(), kMaximumPartialDelimiter);
  mBuffer.append(aBytes);
  const std::string_view unsearched =
    std::string_view(mBuffer).substr(searchBegin);
  const std::size_t lineFeeds = unsearched.rfind("\n\n");
  const std::size_t carriageReturn = unsearched.rfind("\n\r\n");
  std::size_t end = 0;
  if (lineFeeds != std::string_view::npos) {
    end = searchBegin + lineFeeds + 2;
  }
  if (carriageReturn != std::string_view::npos) {
    end = std::max(end, searchBegin + carriageReturn + 3);
  }
  std::string events = mBuffer.substr(0, end);
  mBuffer.erase(0, end);
  StoreLastEventId(events);
  return events;
}

void
EventFramer::StoreLastEventId(std::string_view aEvents)
{
  constexpr std::string_view kIdField = "id:";
  std::size_t begin = 0;
  while (begin < aEvents.size()) {
    const std::size_t end = std::min(aEvents.find('\n', begin), aEvents.size());
    std::string_view line = aEvents.substr(begin, end - begin);
    if (line.substr(0, kIdField.size()) == kIdField) {
      line.remove_prefix(kIdField.size());
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
