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

/** The Content-Type fields of an answer. */
enum class PlannedType
{
  EventStream,
  WithParameters,
  /** Another type stands before that of event streams. */
  Two,
  Missing,
  Empty,
  Other
};

constexpr int kPlannedTypes = static_cast<int>(PlannedType::Other) + 1;

/** @return Whether a type of the answer is that of event streams. */
bool
StatesStream(PlannedType aType);

enum class PlannedLineEnd
{
  LineFeed,
  Both,
  CarriageReturn
};

constexpr int kPlannedLineEnds =
  static_cast<int>(PlannedLineEnd::CarriageReturn) + 1;

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
  Comment,
  /** The first run begins while the request arrives, and resets its connection
   * behind a whole event. */
  EarlyReset,
  /** The first run is whole, but its status is none of HTTP. */
  InvalidStatus
};

/**
 * A stream that a caller asks for. Its path describes it, so that each server
 * sends the same events and the caller can check each of them.
 */
struct StreamPlan
{
  PlannedFraming mFraming = PlannedFraming::Chunks;
  StreamFlaw mFlaw = StreamFlaw::None;
  PlannedType mType = PlannedType::EventStream;
  PlannedLineEnd mLineEnd = PlannedLineEnd::LineFeed;
  /** The server speaks HTTP/1.0. */
  bool mIsOldServer = false;
  /** The body is JSON instead of events. */
  bool mIsOpaque = false;
  /** Additional bytes of each event. */
  int mPadding = 0;
  int mEvents = 5;
  std::chrono::milliseconds mPause{ 20 };
  /** Distinguishes the stream from all others. */
  std::string mKey{ "key" };

  /** @return The path behind the route's prefix. */
  std::string Path() const;

  /** @return Event number aNumber, from 1. */
  std::string Event(int aNumber) const;

  /** @return The first part of an event, cut at a place that differs from
   * stream to stream. */
  std::string HalfEvent(int aNumber) const;

  /** @return A comment that stands between events. */
  std::string Comment() const;

  /** @return An event, behind a comment where one stands before it. */
  std::string EventWithComment(int aNumber) const;

  /** @return The whole body if it is opaque. */
  std::string OpaqueBody() const;

  /** @return The whole body. */
  std::string Body() const;

  /** @return The Content-Type fields of the answer. */
  std::string TypeFields() const;

private:
  std::string LineEnd() const;
};

/**
 * @param aPath A path with the route's prefix.
 * @return The stream, or nothing if the path describes none.
 */
std::optional<StreamPlan>
ParseStreamPlan(const std::string& aPath);

} // namespace medlarkeel
