#include "forwardsettings.h"

#include "../libmedlarkeel/forwarding/callerdescriptors.h"
#include "../libmedlarkeel/forwarding/callermemory.h"
#include "../libmedlarkeel/forwarding/receivebuffers.h"

#include <charconv>

namespace medlarkeel {

namespace {

constexpr const char* kEndpointExpected = "\"IP number:port\"";

/** Limits of a machine that isn't known: the smallest one that entries run on,
 * so that the bounds hold on every machine. */
constexpr std::int64_t kUnknownMemoryMb = 160;
constexpr std::int64_t kUnknownDescriptors = 4100;

constexpr const char* kMemoryKey = "memoryMb";
constexpr const char* kDescriptorsKey = "maximumDescriptors";
constexpr const char* kLinkKey = "linkMbps";

bool
IsEndpoint(std::string_view aText)
{
  return ParseEndpointText(aText).has_value();
}

void
ReadEndpoint(ObjectReader& aReader, const char* aKey, Endpoint& aOut)
{
  const TextRule rule{ kEndpointExpected, IsEndpoint };
  std::string text;
  aReader.Text(aKey, Presence::Required, rule, text);
  aOut = ParseEndpointText(text).value_or(aOut);
}

/** Removes limits of the machine that the platform states as null. */
void
RemoveUnknownLimits(nlohmann::json& aSettings)
{
  for (const char* key : { kMemoryKey, kDescriptorsKey, kLinkKey }) {
    const auto place = aSettings.find(key);
    if (place != aSettings.end() && place->is_null()) {
      aSettings.erase(place);
    }
  }
}

void
ReadMachine(ObjectReader& aReader, ForwardSettings& aOut)
{
  constexpr std::int64_t kMostMegabytes = 1 << 24;
  constexpr std::int64_t kMostDescriptors = 1 << 24;
  constexpr double kMostMegabits = 1e9;
  std::int64_t memory = 0;
  aReader.Number(kMemoryKey,
                 Presence::Optional,
                 IntegerRange{ 1, kMostMegabytes, "MB" },
                 memory);
  std::int64_t descriptors = 0;
  aReader.Number(kDescriptorsKey,
                 Presence::Optional,
                 IntegerRange{ 1, kMostDescriptors, "descriptors" },
                 descriptors);
  double link = 0.0;
  aReader.Number(kLinkKey,
                 Presence::Optional,
                 NumberRange{ 0.0, kMostMegabits, "Mbit/s" },
                 link);
  aReader.Number("callerMemoryShare",
                 Presence::Optional,
                 NumberRange{ 0.0, 1.0, "", true },
                 aOut.mCallerMemoryShare);
  if (memory > 0) {
    aOut.mMemoryMb = memory;
  }
  if (descriptors > 0) {
    aOut.mMostDescriptors = descriptors;
  }
  if (link >= 1.0) {
    aOut.mLinkMbps = static_cast<std::uint32_t>(link);
  }
}

/** Reads an endpoint of which only the IP number is used. */
void
ReadSeed(const nlohmann::json& aItem,
         const std::string& aPath,
         ProblemList& aProblems,
         std::vector<std::string>& aOut)
{
  const auto seed = aItem.is_string()
                      ? ParseEndpointText(aItem.get<std::string>())
                      : std::nullopt;
  if (seed) {
    aOut.push_back(seed->mAddress);
  } else {
    aProblems.Add(aPath, kEndpointExpected, aItem.dump());
  }
}

std::size_t
MachineBytes(const ForwardSettings& aSettings)
{
  constexpr std::int64_t kMegabyte = 1 << 20;
  const std::int64_t megabytes = aSettings.mMemoryMb.value_or(kUnknownMemoryMb);
  return static_cast<std::size_t>(megabytes * kMegabyte);
}

} // namespace

std::size_t
CallerMemoryBoundFor(const ForwardSettings& aSettings)
{
  return CallerMemoryBound(MachineBytes(aSettings),
                           aSettings.mCallerMemoryShare);
}

std::size_t
ReceiveBufferBoundFor(const ForwardSettings& aSettings)
{
  return ReceiveBufferBound(MachineBytes(aSettings));
}

std::size_t
CallerDescriptorBoundFor(const ForwardSettings& aSettings)
{
  return CallerDescriptorBound(static_cast<std::size_t>(
    aSettings.mMostDescriptors.value_or(kUnknownDescriptors)));
}

std::optional<Endpoint>
ParseEndpointText(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || !IsIpNumber(aText.substr(0, colon))) {
    return std::nullopt;
  }
  const char* end = aText.data() + aText.size();
  std::uint16_t port = 0;
  const auto result = std::from_chars(aText.data() + colon + 1, end, port);
  if (result.ec != std::errc() || result.ptr != end || port == 0) {
    return std::nullopt;
  }
  return Endpoint{ std::string(aText.substr(0, colon)), port };
}

ForwardSettingsResult
ParseForwardSettings(std::string_view aText)
{
  constexpr std::int64_t kMostMilliseconds = 3'600'000;
  constexpr double kMostRequests = 1e6;
  constexpr double kLeastShutdownSeconds = 1.0;
  constexpr double kMostSeconds = 3600.0;
  constexpr double kMillisecondsPerSecond = 1000.0;
  ProblemList problems;
  ForwardSettings settings;
  if (auto json = ParseJson(aText, JsonLimits(), problems)) {
    RemoveUnknownLimits(*json);
    ObjectReader reader(*json, "$", problems);
    reader.Name("node", Presence::Required, settings.mNode);
    reader.Name("zone", Presence::Required, settings.mZone);
    ReadMachine(reader, settings);
    ReadEndpoint(reader, "callers", settings.mCallers);
    ReadEndpoint(reader, "readiness", settings.mReadiness);
    ReadEndpoint(reader, "metrics", settings.mMetrics);
    ReadEndpoint(reader, "peers", settings.mPeers);
    reader.Items("seeds",
                 Presence::Required,
                 [&](const nlohmann::json& aItem, const std::string& aPath) {
                   ReadSeed(aItem, aPath, problems, settings.mSeeds);
                 });
    ReadEndpoint(reader, "directory", settings.mDirectory);
    const IntegerRange time{ 1, kMostMilliseconds, "ms" };
    reader.Duration(
      "heartbeatMs", Presence::Required, time, settings.mHeartbeat);
    reader.Duration(
      "changeBoundMs", Presence::Required, time, settings.mChangeBound);
    double shutdownSeconds = 0.0;
    reader.Number("shutdownBoundSeconds",
                  Presence::Required,
                  NumberRange{ kLeastShutdownSeconds, kMostSeconds, "s" },
                  shutdownSeconds);
    settings.mShutdownBound = Milliseconds(
      static_cast<std::int64_t>(shutdownSeconds * kMillisecondsPerSecond));
    const NumberRange requests{ 0.0, kMostRequests, "requests" };
    reader.Number(
      "retryShare", Presence::Required, requests, settings.mRetryShare);
    reader.Number(
      "retryReserve", Presence::Required, requests, settings.mRetryReserve);
    reader.Number(
      "coldFactor", Presence::Required, requests, settings.mColdFactor);
    reader.Number(
      "coldReserve", Presence::Required, requests, settings.mColdReserve);
    reader.RefuseUnknownKeys();
  }
  if (!problems.IsEmpty()) {
    return problems.Take();
  }
  return settings;
}

} // namespace medlarkeel
