#include "eventframer.h"

#include <algorithm>

namespace medlarkeel {

std::string
EventFramer::Push(std::string_view aBytes)
{
  const std::size_t buffered = mBuffer.size();
  mBuffer.append(aBytes);
  const std::size_t end = FindEventEnd(aBytes);
  if (end == 0) {
    return {};
  }
  std::string events = mBuffer.substr(0, buffered + end);
  mBuffer.erase(0, buffered + end);
  StoreLastEventId(events);
  return events;
}

std::size_t
EventFramer::FindEventEnd(std::string_view aBytes)
{
  std::size_t end = 0;
  for (std::size_t i = 0; i < aBytes.size(); ++i) {
    const char byte = aBytes[i];
    const bool isSecondOfPair = byte == '\n' && mIsAfterCarriageReturn;
    mIsAfterCarriageReturn = byte == '\r';
    if (byte != '\n' && byte != '\r') {
      mIsLineEmpty = false;
      mIsInEvent = true;
      continue;
    }
    if (!isSecondOfPair && mIsLineEmpty) {
      mHasEvents = mHasEvents || mIsInEvent;
      mIsInEvent = false;
    }
    mIsLineEmpty = true;
    if (!mIsInEvent) {
      end = i + 1;
    }
  }
  return end;
}

void
EventFramer::StoreLastEventId(std::string_view aEvents)
{
  constexpr std::string_view kIdField = "id:";
  std::size_t begin = 0;
  while (begin < aEvents.size()) {
    const std::size_t end =
      std::min(aEvents.find_first_of("\r\n", begin), aEvents.size());
    std::string_view line = aEvents.substr(begin, end - begin);
    if (line.substr(0, kIdField.size()) == kIdField) {
      line.remove_prefix(kIdField.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      mLastEventId = line;
    }
    begin = end + 1;
  }
}

} // namespace medlarkeel
