#pragma once

#include "types.h"

#include <optional>

namespace medlarkeel {

/** Slots that come free per second while the backend server is busy. */
class ServiceRate
{
public:
  /** @param aBusy Whether any work is in flight from now on. */
  void Observe(bool aBusy, Timestamp aNow);

  /** Counts one slot that came free. */
  void RecordRelease(Timestamp aNow);

  /**
   * @return Releases per second of busy time; falls while nothing ends.
   *         Nothing before the first release.
   */
  std::optional<double> PerSecond(Timestamp aNow) const;

private:
  double BusySeconds(Timestamp aNow) const;

  bool mBusy = false;
  Timestamp mObserved{};
  /** Busy time since the last release, in seconds. */
  double mOpen = 0.0;
  double mBusySum = 0.0;
  double mReleases = 0.0;
};

} // namespace medlarkeel
