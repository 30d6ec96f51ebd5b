#pragma once

#include "types.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace medlarkeel {

/** Load of one backend server as its agent measures it. */
struct LoadSnapshot
{
  std::size_t mRunning = 0;
  std::size_t mQueued = 0;
  /** Requests that may run at once at present. */
  std::size_t mLimit = 0;
  Microseconds mQueueDelay{ 0 };
  bool mAccepting = true;
  /** Adapters that requests may name; absent in reports that don't tell. */
  std::optional<std::vector<AdapterName>> mAdapters;
};

} // namespace medlarkeel
