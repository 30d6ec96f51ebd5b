#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace medlarkeel {

struct BackendAddress
{
  std::string mAddress;
  std::string mZone;
  bool mIsEngine = false;
};

/** What all stand-ins together have counted. */
struct FleetCounts
{
  std::uint64_t mTokens = 0;
  std::uint64_t mRunning = 0;
  nlohmann::json mServiceRuns = nlohmann::json::object(); // by marker
  nlohmann::json mEngineRuns = nlohmann::json::object();  // by marker
  std::uint64_t mSilent = 0; // stand-ins that don't answer
};

/** Parses `IP:PORT@ZONE` items that are separated by commas. */
std::vector<BackendAddress>
ParseBackends(const std::string& aText, bool aAreEngines);

FleetCounts
CountFleet(const std::vector<BackendAddress>& aBackends);

/** Waits until the stand-ins run nothing, 10 s at most, then counts. */
FleetCounts
CountIdleFleet(const std::vector<BackendAddress>& aBackends);

/** Sends a JSON body; a failure is printed. */
void
SendJson(const std::string& aMethod,
         const std::string& aUrl,
         const nlohmann::json& aBody);

/** @return Processor time of all given processes, in seconds. */
double
ProcessorSeconds(const std::vector<std::string>& aPids);

std::vector<std::string>
SplitText(const std::string& aText, char aSeparator);

} // namespace medlarkeel
