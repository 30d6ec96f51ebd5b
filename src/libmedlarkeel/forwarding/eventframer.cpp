#include "eventframer.h"

#include <algorithm>
#include <utility>

namespace medlarkeel {

namespace {

/**
 * @param aLine A line of an event.
 * @param aName Name of a field.
 * @return The value of the field, or nothing if the line is another field or a
 * comment.
 */
std::optional<std::string_view>
FieldValue(std::string_view aLine, std::string_view aName)
{
  if (aLine.substr(0, aName.size()) != aName) {
    return std::nullopt;
  }
  aLine.remove_prefix(aName.size());
  if (aLine.empty()) {
    return aLine;
  }
  if (aLine.front() != ':') {
    return std::nullopt;
  }
  aLine.remove_prefix(1);
  while (!aLine.empty() && aLine.front() == ' ') {
    aLine.remove_prefix(1);
  }
  return aLine;
}

/** @return The digits of a whole number without leading zeros, or nothing for
 * another text. */
std::optional<std::string>
WholeNumber(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789";
  if (aText.empty() ||
      aText.find_first_not_of(kDigits) != std::string_view::npos) {
    return std::nullopt;
  }
  aText.remove_prefix(std::min(aText.find_first_not_of('0'), aText.size() - 1));
  return std::string(aText);
}

bool
IsGreater(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() ? aLeft > aRight
                                       : aLeft.size() > aRight.size();
}

} // namespace

EventFramer::EventFramer(std::string aLastEventId, IdOrder aOrder)
  : mLastEventId(std::move(aLastEventId))
  , mOrder(aOrder)
  , mLastNumber(WholeNumber(mLastEventId))
{
}

std::string
EventFramer::Push(std::string_view aBytes)
{
  mBuffer.append(aBytes);
  const std::size_t end = FindEventEnd();
  if (end == 0) {
    return {};
  }
  // The rest gets a buffer of its own size: one that has grown to that of the
  // events would be kept to the end of the stream.
  std::string events = std::exchange(mBuffer, mBuffer.substr(end));
  events.resize(end);
  mSearched -= end;
  events.resize(ReadEvents(events));
  return events;
}

std::size_t
EventFramer::FindEventEnd()
{
  std::size_t end = 0;
  for (; mSearched < mBuffer.size(); ++mSearched) {
    const char byte = mBuffer[mSearched];
    const bool isLineFeedOfPair = byte == '\n' && mIsAfterCarriageReturn;
    if (mAwaitsLineFeed && !isLineFeedOfPair) {
      end = mSearched;
    }
    mAwaitsLineFeed = false;
    mHasPairs = mHasPairs || isLineFeedOfPair;
    mIsAfterCarriageReturn = byte == '\r';
    if (byte != '\n' && byte != '\r') {
      mIsLineEmpty = false;
      mIsInEvent = true;
      continue;
    }
    if (!isLineFeedOfPair && mIsLineEmpty) {
      mIsInEvent = false;
    }
    mIsLineEmpty = true;
    mAwaitsLineFeed = !mIsInEvent && byte == '\r' && mHasPairs;
    if (!mIsInEvent && !mAwaitsLineFeed) {
      end = mSearched + 1;
    }
  }
  return end;
}

std::size_t
EventFramer::ReadEvents(std::string_view aEvents)
{
  std::size_t inOrder = 0;
  std::size_t begin = 0;
  while (begin < aEvents.size() && !mIsOutOfOrder) {
    const std::size_t end =
      std::min(aEvents.find_first_of("\r\n", begin), aEvents.size());
    const std::string_view line = aEvents.substr(begin, end - begin);
    const bool isPair = aEvents.substr(end, 2) == "\r\n";
    begin = std::min(end + (isPair ? 2 : 1), aEvents.size());
    if (!line.empty()) {
      ReadLine(line);
      continue;
    }
    EndEvent();
    inOrder = mIsOutOfOrder ? inOrder : begin;
  }
  return inOrder;
}

void
EventFramer::ReadLine(std::string_view aLine)
{
  if (const auto id = FieldValue(aLine, "id")) {
    mEventId = std::string(*id);
  }
  mHasData = mHasData || FieldValue(aLine, "data").has_value();
}

void
EventFramer::EndEvent()
{
  if (!mHasData && !mEventId) {
    return;
  }
  const std::string id = mEventId.value_or("");
  mHasData = false;
  mEventId.reset();
  const std::optional<std::string> number = WholeNumber(id);
  const bool hasOrder = mOrder == IdOrder::Increasing && mLastNumber;
  if (number && hasOrder && !IsGreater(*number, *mLastNumber)) {
    mIsOutOfOrder = true;
    return;
  }
  mLastNumber = number ? number : mLastNumber;
  mLastEventId = id;
  mHasEvents = true;
}

} // namespace medlarkeel
