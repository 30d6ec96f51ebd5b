#pragma once

#include "../types.h"

namespace medlarkeel {

/** When a backend server is avoided because of failures. */
struct BackendHealthSettings
{
  /** Time after which an outcome counts half: a few requests per server. */
  Microseconds mHalfLife = std::chrono::seconds(2);
  /** Failures, weighted by age, below which no server is avoided. */
  double mLeastFailures = 2.5;
  /** Share of failures above which a server is avoided; plain services may
   * fail one request in seven by themselves. */
  double mFailureShare = 0.3;
  /** First time of avoidance after failures; doubles while they go on. */
  Microseconds mAvoidTime = std::chrono::milliseconds(1000);
  Microseconds mMostAvoidTime = std::chrono::milliseconds(8000);
  /** Time for which a full server is avoided: one or two requests of a plain
   * service end in it. */
  Microseconds mBusyTime = std::chrono::milliseconds(100);
};

/** What one entry has seen of a backend server's failures. */
class BackendHealth
{
public:
  void RecordSuccess(Timestamp aNow, const BackendHealthSettings& aSettings);

  /** Notes a failed request. */
  void RecordFailure(Timestamp aNow, const BackendHealthSettings& aSettings);

  /** Notes that no connection could be made; the server is avoided at once. */
  void RecordUnreachable(Timestamp aNow,
                         const BackendHealthSettings& aSettings);

  /** Notes that the server was full; this is no failure. */
  void RecordBusy(Timestamp aNow, const BackendHealthSettings& aSettings);

  /** @return Whether the server should get no work while others can. */
  bool IsAvoided(Timestamp aNow) const { return aNow < mAvoidUntil; }

private:
  void Decay(Timestamp aNow, const BackendHealthSettings& aSettings);
  void Avoid(Timestamp aNow, const BackendHealthSettings& aSettings);

  double mSuccesses = 0.0;
  double mFailures = 0.0;
  Timestamp mDecayedAt;
  Timestamp mAvoidUntil;
  /** Avoidances since the last success. */
  int mAvoidances = 0;
};

} // namespace medlarkeel
