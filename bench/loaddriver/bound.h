#pragma once

#include "workload.h"

#include <cstddef>
#include <nlohmann/json.hpp>

namespace medlarkeel {

/** Capacity of all model engines together. */
struct EngineCapacity
{
  std::size_t mSlots = 0;
  double mFirstToken = 0; // milliseconds
  double mRun = 0;        // milliseconds
};

/**
 * Plays the entitled arrivals of the model classes against one queue before
 * all slots, without any delay between processes. Whatever can't meet its
 * target any more is dropped.
 *
 * @param aWorkload Arrivals in order of time.
 * @param aCapacity What the engines bear; all answers take equally long.
 * @return For each class its attainment when it has all slots to itself, which
 *         no schedule exceeds as first come first served is the best for equal
 *         lengths and targets ("alone"), and when the classes above it go
 *         first ("tiers").
 */
nlohmann::json
BestAttainment(const Workload& aWorkload, const EngineCapacity& aCapacity);

} // namespace medlarkeel
