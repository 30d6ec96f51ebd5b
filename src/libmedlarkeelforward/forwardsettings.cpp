#include "forwardsettings.h"

#include <charconv>

namespace medlarkeel {

namespace {

constexpr const char* kEndpointExpected = "\"IP number:port\"";

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

} // namespace

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
  if (const auto json = ParseJson(aText, JsonLimits(), problems)) {
    ObjectReader reader(*json, "$", problems);
    reader.Name("node", Presence::Required, settings.mNode);
    reader.Name("zone", Presence::Required, settings.mZone);
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
