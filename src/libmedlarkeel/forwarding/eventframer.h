#pragma once

#include <string>
#include <string_view>

namespace medlarkeel {

/**
 * Splits a body of server-sent events, so that only whole events are passed
 * on and a broken stream can go on behind the last one.
 */
class EventFramer
{
public:
  /**
   * @param aBytes The next bytes of the body.
   * @return All whole events so far that weren't returned before.
   */
  std::string Push(std::string_view aBytes);

  /** @return Id of the last whole event, or an empty text. */
  const std::string& LastEventId() const { return mLastEventId; }

  /** @return Whether bytes of an unfinished event are held. */
  bool HasPartialEvent() const { return !mHeld.empty(); }

  /** @return Size of the unfinished event. */
  std::size_t HeldBytes() const { return mHeld.size(); }

  /** @return The bytes held back, at the regular end of a body. */
  std::string TakeRest() { return std::move(mHeld); }

private:
  void RecordIds(std::string_view aEvents);

  std::string mHeld;
  std::string mLastEventId;
};

} // namespace medlarkeel
