#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace medlarkeel {

/** How the body of a stream ends. */
enum class PlannedFraming
{
  Chunks,
  Length,
  /** The stream ends with its connection. */
  Close
};

/** What a server does wrong with the stream. */
enum class StreamFlaw
{
  None,
  /** The first run ends inside an event, as its framing ends an answer. */
  HalfEvent,
  /** The first run resets its connection. */
  Reset,
  /** A run that should continue the stream begins anew. */
  BeginsAnew,
  /** A run that should continue the stream breaks off before its first event.
   */
  Empty,
  /** A run that should continue the stream breaks off after a comment. */
  Comment
};

/**
 * A stream that a caller asks for. Its path describes it, so that each server
 * sends the same events and the caller can check each of them.
 */
struct StreamPlan
{
  PlannedFraming mFraming = PlannedFraming::Chunks;
  StreamFlaw mFlaw = StreamFlaw::None;
  int mEvents = 5;
  std::chrono::milliseconds mPause{ 20 };
  /** Distinguishes the stream from all others. */
  std::string mKey;

  /** @return The path behind the route's prefix. */
  std::string Path() const;

  /** @return Event number aNumber, from 1. */
  std::string Event(int aNumber) const;
};

/**
 * @param aPath A path with the route's prefix.
 * @return The stream, or nothing if the path describes none.
 */
std::optional<StreamPlan>
ParseStreamPlan(const std::string& aPath);

} // namespace medlarkeel
