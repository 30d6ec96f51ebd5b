#pragma once

#include "loopbackplatform.h"
#include "streamplan.h"

#include <optional>
#include <string>

namespace medlarkeel {

/** How a caller asks for a stream. */
struct StreamCall
{
  StreamPlan mPlan;
  /** Prefix of the route. */
  std::string mRoute = "/stream/";
  /** The route lets a stream be resumed. */
  bool mIsResumable = false;
  /** Time for which the caller reads nothing of an answer. */
  Milliseconds mReadDelay{ 0 };
  /** The caller speaks HTTP/1.0, which has no chunks. */
  bool mIsOldVersion = false;
  /** Answers that a caller takes until it gives up. */
  int mMostAnswers = 1;
};

/** What a caller has of a stream after all its answers. */
struct StreamResult
{
  /** Id of the last request. */
  std::string mRequestId;
  int mEvents = 0;
  int mAnswers = 0;
  /** The last answer ended as a complete one does. */
  bool mIsComplete = false;
  /** Status of the last answer; 0 without one. */
  int mStatus = 0;
  /** What no caller may see; empty if there is nothing. */
  std::string mViolation;
};

/**
 * A caller that keeps its connection to an entry for as long as the entry does.
 * It checks each event of a stream and, after an answer that broke off, goes on
 * behind the last event it has.
 */
class StreamCaller
{
public:
  explicit StreamCaller(std::string aName);

  /** Asks for a stream until it is complete, broken beyond repair, or until the
   * caller gives up. */
  StreamResult Ask(const EntryProcess& aEntry, const StreamCall& aCall);

private:
  /** Takes one answer. @return Whether it was read up to an end. */
  void TakeAnswer(const SeenAnswer& aAnswer,
                  const std::string& aId,
                  const StreamCall& aCall,
                  StreamResult& aResult) const;

  std::string mName;
  int mRequests = 0;
  std::string mEntry;
  std::optional<Caller> mConnection;
};

} // namespace medlarkeel
