#pragma once

#include <string>
#include <string_view>

namespace medlarkeel {

/**
 * Splits a body of server-sent events at the ends of events. Only complete
 * events are forwarded, so that a stream that broke off can be resumed after
 * the last complete event.
 */
class EventFramer
{
public:
  /**
   * Adds bytes to the buffer and removes all complete events from it.
   *
   * @param aBytes The next bytes of the body.
   * @return The complete events that were not returned before.
   */
  std::string Push(std::string_view aBytes);

  /** @return The last id among the complete events, or an empty string. */
  const std::string& LastEventId() const { return mLastEventId; }

  /** @return Whether the buffer holds an incomplete event. */
  bool HasPartialEvent() const { return !mBuffer.empty(); }

  /** @return Size of the incomplete event in bytes. */
  std::size_t BufferedBytes() const { return mBuffer.size(); }

  /** Removes the incomplete event. Call it at the regular end of a body.
   *
   * @return The bytes of the incomplete event. */
  std::string TakeRemainder() { return std::move(mBuffer); }

private:
  /** Stores the last id in complete events. */
  void StoreLastEventId(std::string_view aEvents);

  std::string mBuffer;
  std::string mLastEventId;
};

} // namespace medlarkeel
