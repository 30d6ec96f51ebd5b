#pragma once

#include "caller.h"
#include "fleetaccess.h"
#include "workload.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace medlarkeel {

/** @return Whether a whole answer came within the class's targets. */
bool
MeetsTargets(const ClassLoad& aClass, const Outcome& aOutcome);

/**
 * Sums a run up.
 *
 * @param aWorkload What was sent.
 * @param aOutcomes What came back, in the order of the arrivals.
 * @param aBefore Counts of the stand-ins before the run.
 * @param aAfter Counts of the stand-ins after it.
 * @param aSeconds Length of the run.
 * @return Attainment by class, goodput, waste, teams, refusals, violations.
 */
nlohmann::json
Tally(const Workload& aWorkload,
      const std::vector<Outcome>& aOutcomes,
      const FleetCounts& aBefore,
      const FleetCounts& aAfter,
      double aSeconds);

} // namespace medlarkeel
