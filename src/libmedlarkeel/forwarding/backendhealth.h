#pragma once

#include "../types.h"

namespace medlarkeel {

/** Thresholds and times for avoiding backend servers that fail. */
struct BackendHealthSettings
{
  /** Half-life of the weight of an outcome. A server receives a few requests in
   * this time. */
  Microseconds mHalfLife = std::chrono::seconds(2);
  /** Minimum number of failures, weighted by age, at which a server is
   * avoided. */
  double mMinimumFailures = 2.5;
  /** Minimum share of failures among the outcomes at which a server is avoided.
   * Plain services may fail one request in seven in normal operation. */
  double mMinimumFailureShare = 0.3;
  /** Time for which a server is avoided at first. It doubles each time the
   * server is avoided again without a success in between. */
  Microseconds mAvoidTime = std::chrono::milliseconds(1000);
  /** Upper bound of the doubled time. */
  Microseconds mMaximumAvoidTime = std::chrono::milliseconds(8000);
  /** Time for which a server at capacity is avoided. One or two requests of a
   * plain service finish in this time. */
  Microseconds mBusyAvoidTime = std::chrono::milliseconds(100);
};

/** Health of one backend server, as seen by one entry. */
class BackendHealth
{
public:
  /** Records a successful request. */
  void RecordSuccess(Timestamp aNow, const BackendHealthSettings& aSettings);

  /** Records a failed request. The server is avoided if the number and the
   * share of failures reach the thresholds. */
  void RecordFailure(Timestamp aNow, const BackendHealthSettings& aSettings);

  /** Records that no connection could be made. The server is avoided at
   * once. */
  void RecordUnreachable(Timestamp aNow,
                         const BackendHealthSettings& aSettings);

  /** Records that the server was at capacity. This does not count as a
   * failure. */
  void RecordBusy(Timestamp aNow, const BackendHealthSettings& aSettings);

  /** @return Whether the server should receive no requests while others are
   * available. */
  bool IsAvoided(Timestamp aNow) const { return aNow < mAvoidUntil; }

private:
  /** Reduces the weight of earlier outcomes according to their age. */
  void Decay(Timestamp aNow, const BackendHealthSettings& aSettings);
  /** Starts to avoid the server, unless it is avoided already. */
  void Avoid(Timestamp aNow, const BackendHealthSettings& aSettings);

  /** Outcomes, weighted by age. */
  double mSuccesses = 0.0;
  double mFailures = 0.0;
  Timestamp mDecayedAt;
  Timestamp mAvoidUntil;
  /** How often the server was avoided since the last success that was recorded
   * while it was not avoided. */
  int mAvoidanceCount = 0;
};

} // namespace medlarkeel
