#pragma once

#include "backendlist.h"
#include "requestrate.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace medlarkeel {

/** Effect of an answer or a report on what is known of a request limit. */
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

/** A request limit as entries report it to each other. */
struct ReportedLimit
{
  ProcessHash mProcess = 0;
  RequestRate mRate;
  /** Whether later answers stated no limit; mRate is then the last one. */
  bool mHasEnded = false;
  /** Time since the limit, or its end, was observed. */
  Milliseconds mAge{ 0 };
};

/** Times of the exchange of limits and of their end. */
struct ServerLimitSettings
{
  /** Time during which the rate rises after the end of a limit, so that the
   * requests of all entries don't return at once. */
  Milliseconds mReleaseTime{ 4000 };
  /** Time in which the rate doubles after the end of a limit. */
  Milliseconds mReleaseDoublingTime{ 500 };
  /** Rate at the end of a limit, if the limit was lower. */
  RequestRate mMinimumReleaseRate{ 1.0 };
  /** Age difference below which a report of the same limit isn't newer, since
   * ages don't include the time on the network. */
  Milliseconds mAgeTolerance{ 100 };
  /** Time after a change during which each report has the limit. */
  Milliseconds mChangeReportTime{ 3000 };
  /** Number of other limits per report. Reports cover all in turn. */
  std::size_t mUnchangedPerReport = 16;
};

/**
 * The limits that backend servers stated on the requests of all entries
 * together. A server states its limit in each answer for as long as it applies.
 * The newest observation of any entry applies to all.
 */
class ServerLimits
{
public:
  explicit ServerLimits(const ServerLimitSettings& aSettings = {});

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
  LimitChange RecordNotStated(ProcessHash aProcess,
                              Timestamp aSentAt,
                              Timestamp aNow);

  /** Records what another entry observed, unless this entry knows something
   * newer. */
  LimitChange RecordReported(const ReportedLimit& aLimit, Timestamp aNow);

  /** @return Requests per second that all entries together may send to the
   * server: its limit, or the rate after the end of the limit. Nothing if any
   * number may be sent. */
  std::optional<RequestRate> AllowedRate(ProcessHash aProcess,
                                         Timestamp aNow) const;

  /** Records that this entry got no permit for a server with a limit. A change
   * of the limit cancels it. */
  void RecordDenied(ProcessHash aProcess, Timestamp aNotBefore);

  /** @return Time before which this entry gets no permit for the server, if it
   * was denied one. */
  std::optional<Timestamp> DeniedUntil(ProcessHash aProcess) const;

  /** @return What is known of a server's limit, for another entry. */
  std::optional<ReportedLimit> Find(ProcessHash aProcess, Timestamp aNow) const;

  /** @return Limits for the next report to the other entries. */
  std::vector<ReportedLimit> TakeReport(Timestamp aNow);

  /** Removes the limits of processes that aren't listed, once their last
   * observation is older than the list may be. */
  void RemoveUnlisted(const std::function<bool(ProcessHash)>& aIsListed,
                      Timestamp aNow);

private:
  struct Limit
  {
    RequestRate mRate;
    bool mHasEnded = false;
    /** When the last answer that stated the limit was received, or when the
     * request was sent that showed its end. */
    Timestamp mObservedAt;
    /** When this entry learned the value or the end. */
    Timestamp mChangedAt;
    /** Time before which this entry gets no permit. */
    std::optional<Timestamp> mDeniedUntil;
  };

  ReportedLimit ReportOf(ProcessHash aProcess,
                         const Limit& aLimit,
                         Timestamp aNow) const;

  ServerLimitSettings mSettings;
  std::unordered_map<ProcessHash, Limit> mLimits;
  /** Number of unchanged limits that were reported so far. */
  std::size_t mReported = 0;
};

} // namespace medlarkeel
