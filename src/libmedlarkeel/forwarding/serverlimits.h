#pragma once

#include "backendlist.h"
#include "requestrate.h"

#include <optional>
#include <unordered_map>

namespace medlarkeel {

/** Effect of an answer on what is known of a server's request limit. */
enum class LimitChange
{
  None,
  /** A limit is in force that wasn't known. */
  Added,
  /** The limit has another value. */
  Changed,
  Ended
};

/** @return The name of a change, for the log. */
const char*
LimitChangeText(LimitChange aChange);

/**
 * The limits that backend servers stated on the requests of all entries
 * together. A server states its limit in each answer for as long as it applies.
 */
class ServerLimits
{
public:
  /**
   * Records an answer that states a limit.
   *
   * @param aReceivedAt When the head of the answer was received.
   */
  LimitChange RecordStated(ProcessHash aProcess,
                           RequestRate aRate,
                           Timestamp aReceivedAt);

  /**
   * Records an answer that states no limit. A known limit ends only if the
   * request was sent after the last answer that stated it, since answers may
   * overtake each other.
   *
   * @param aSentAt When the request was sent.
   */
  LimitChange RecordNotStated(ProcessHash aProcess, Timestamp aSentAt);

  /** @return The limit that the server last stated, if it hasn't ended. */
  std::optional<RequestRate> StatedRate(ProcessHash aProcess) const;

private:
  struct Limit
  {
    RequestRate mRate;
    bool mHasEnded = false;
    /** When the last answer that stated the limit was received, or when the
     * request was sent that showed its end. */
    Timestamp mObservedAt;
  };

  std::unordered_map<ProcessHash, Limit> mLimits;
};

} // namespace medlarkeel
