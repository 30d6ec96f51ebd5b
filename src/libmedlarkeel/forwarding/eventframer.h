#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace medlarkeel {

/** Whether the ids of a stream's events have to increase. */
enum class IdOrder
{
  Increasing,
  Any
};

/**
 * Splits a body of server-sent events at the ends of events. Only complete
 * events are forwarded, so that a stream that broke off can be resumed after
 * the last complete event. Lines end with a line feed, a carriage return or
 * both, an event with an empty line.
 */
class EventFramer
{
public:
  EventFramer() = default;

  /** @param aLastEventId Id of the last event that the caller has; empty if it
   * has none.
   * @param aOrder Whether the events that follow must have greater ids. */
  explicit EventFramer(std::string aLastEventId,
                       IdOrder aOrder = IdOrder::Increasing);

  /**
   * Adds bytes to the buffer and removes all complete events from it.
   *
   * @param aBytes The next bytes of the body.
   * @return The complete events that were not returned before, up to the first
   * one that is out of order.
   */
  std::string Push(std::string_view aBytes);

  /** @return Id of the last event; empty if it has none. A stream can't be
   * continued after an event without an id. */
  const std::string& LastEventId() const { return mLastEventId; }

  /** @return Whether the buffer holds an incomplete event. */
  bool HasPartialEvent() const { return !mBuffer.empty(); }

  /** @return Whether an event was complete. A comment or a block without an id
   * and data is no event. */
  bool HasEvents() const { return mHasEvents; }

  /** @return Whether the id of an event isn't greater than that of an event
   * before it. No event is returned from there on. */
  bool IsOutOfOrder() const { return mIsOutOfOrder; }

  /** @return Size of the incomplete event in bytes. */
  std::size_t BufferedBytes() const { return mBuffer.size(); }

private:
  /**
   * Continues the search for ends of events in the buffer.
   *
   * @return The number of bytes up to the last end of an event; 0 without one.
   */
  std::size_t FindEventEnd();

  /**
   * Reads the fields of complete events.
   *
   * @return Size of the events in bytes, up to the first one that is out of
   * order.
   */
  std::size_t ReadEvents(std::string_view aEvents);
  void ReadLine(std::string_view aLine);
  /** Checks the order of an event that has been read. */
  void EndEvent();

  std::string mBuffer;
  /** Bytes of the buffer that were searched for ends of events. */
  std::size_t mSearched = 0;
  std::string mLastEventId;
  IdOrder mOrder = IdOrder::Increasing;
  /** Digits of the last id that is a whole number, of any size; other ids have
   * no order. */
  std::optional<std::string> mLastNumber;
  bool mIsOutOfOrder = false;
  bool mIsLineEmpty = true;
  /** The previous byte is a carriage return; a line feed belongs to it. */
  bool mIsAfterCarriageReturn = false;
  /** Lines of the stream end with both. */
  bool mHasPairs = false;
  /** The event ended with a carriage return whose line feed may follow. */
  bool mAwaitsLineFeed = false;
  /** The event has a line that isn't empty. */
  bool mIsInEvent = false;
  /** Fields of the event that is read. */
  std::optional<std::string> mEventId;
  bool mHasData = false;
  bool mHasEvents = false;
};

} // namespace medlarkeel
