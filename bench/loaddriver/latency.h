#pragma once

#include "workload.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace medlarkeel {

struct LatencyOptions
{
  std::string mEntry;
  std::string mEngine;
  std::string mKey;
  std::vector<std::string> mEntryPids;
};

/**
 * Measures what the path adds to the first token, calling the engine directly
 * and through the entry in turn, and what an entry's core carries.
 *
 * @param aClasses Classes of the deployment; a model's and a GET are needed.
 * @param aOptions Addresses and processes.
 * @return Medians in milliseconds, requests and frames per processor second.
 */
nlohmann::json
MeasureLatency(const std::vector<ClassLoad>& aClasses,
               const LatencyOptions& aOptions);

} // namespace medlarkeel
