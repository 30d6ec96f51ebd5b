#include "fleetaccess.h"

#include "httpclient.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace medlarkeel {

namespace {

using nlohmann::json;

constexpr int kIdlePolls = 100;
constexpr std::chrono::milliseconds kIdlePoll{ 100 };
constexpr int kUserTimeField = 14; // of /proc/PID/stat

void
AddRuns(const json& aStatistics, const char* aField, json& aSum)
{
  if (!aStatistics.contains(aField)) {
    return;
  }
  for (const auto& [marker, runs] : aStatistics[aField].items()) {
    aSum[marker] = aSum.value(marker, 0) + runs.get<int>();
  }
}

double
ProcessorSecondsOf(const std::string& aPid)
{
  std::ifstream file("/proc/" + aPid + "/stat");
  std::string line;
  std::getline(file, line);
  const std::size_t nameEnd = line.rfind(')');
  if (nameEnd == std::string::npos) {
    return 0;
  }
  std::istringstream fields(line.substr(nameEnd + 1));
  std::string skipped;
  for (int field = 3; field < kUserTimeField; ++field) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace

std::vector<std::string>
SplitText(const std::string& aText, char aSeparator)
{
  std::vector<std::string> result;
  std::istringstream stream(aText);
  std::string item;
  while (std::getline(stream, item, aSeparator)) {
    result.push_back(item);
  }
  return result;
}

std::vector<BackendAddress>
ParseBackends(const std::string& aText, bool aAreEngines)
{
  std::vector<BackendAddress> result;
  for (const std::string& item : SplitText(aText, ',')) {
    const std::vector<std::string> parts = SplitText(item, '@');
    result.push_back(
      { parts[0], parts.size() > 1 ? parts[1] : "", aAreEngines });
  }
  return result;
}

FleetCounts
CountFleet(const std::vector<BackendAddress>& aBackends)
{
  FleetCounts result;
  for (const BackendAddress& backend : aBackends) {
    HttpCall call;
    call.mUrl = "http://" + backend.mAddress + "/stats";
    const auto reply = SendHttp(call);
    if (!reply.has_value()) {
      ++result.mSilent;
      continue;
    }
    const json statistics = json::parse(reply.value().mBody, nullptr, false);
    result.mTokens += statistics.value("tokens", 0U);
    result.mRunning += statistics.value("running", 0U);
    result.mRunning += statistics.value("waiting", 0U);
    AddRuns(statistics, "runsById", result.mServiceRuns);
    AddRuns(statistics, "runsByMarker", result.mEngineRuns);
  }
  return result;
}

FleetCounts
CountIdleFleet(const std::vector<BackendAddress>& aBackends)
{
  FleetCounts result = CountFleet(aBackends);
  for (int poll = 0; poll < kIdlePolls && result.mRunning > 0; ++poll) {
    std::this_thread::sleep_for(kIdlePoll);
    result = CountFleet(aBackends);
  }
  return result;
}

void
SendJson(const std::string& aMethod, const std::string& aUrl, const json& aBody)
{
  HttpCall call;
  call.mMethod = aMethod;
  call.mUrl = aUrl;
  call.mHeaders["Content-Type"] = "application/json";
  call.mBody = aBody.dump();
  const auto reply = SendHttp(call);
  if (!reply.has_value() || reply.value().mStatus >= 300) {
    std::fprintf(stderr, "%s %s failed\n", aMethod.c_str(), aUrl.c_str());
  }
}

double
ProcessorSeconds(const std::vector<std::string>& aPids)
{
  double result = 0;
  for (const std::string& pid : aPids) {
    result += ProcessorSecondsOf(pid);
  }
  return result;
}

} // namespace medlarkeel
