#include "settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <iterator>

namespace medlarkeel {

namespace {

constexpr std::size_t kMaximumSettingsBytes = 64U << 10U;
constexpr IntegerRange kPortRange{ 1, 65535, "" };
constexpr IntegerRange kBodyRange{ 1024, 64 << 20, "bytes" };
constexpr IntegerRange kConnectionRange{ 1, 1'000'000, "connections" };
constexpr IntegerRange kMemoryRange{ 64, 1 << 24, "MB" };
constexpr NumberRange kShareRange{ 0.0, 1.0, "", true };
constexpr IntegerRange kIntervalRange{ 10, 600'000, "milliseconds" };
constexpr IntegerRange kOrderRange{ 0, 3'600'000, "milliseconds" };
constexpr IntegerRange kWidthRange{ 1, 1000, "agents" };
constexpr IntegerRange kShutdownRange{ 0, 3'600'000, "milliseconds" };

bool
IsLogLevel(std::string_view aText)
{
  constexpr std::string_view kLevels[] = { "trace", "debug", "info",
                                           "warn",  "error", "off" };
  return std::find(std::begin(kLevels), std::end(kLevels), aText) !=
         std::end(kLevels);
}

const TextRule kAddressRule{ "an IPv4 or IPv6 number", IsIpNumber };
const TextRule kLogLevelRule{ "trace, debug, info, warn, error or off",
                              IsLogLevel };

void
ReadEndpoint(ObjectReader& aReader, Endpoint& aOut)
{
  aReader.Text("address", Presence::Required, kAddressRule, aOut.mAddress);
  aReader.Number("port", Presence::Required, kPortRange, aOut.mPort);
}

void
ParseEndpoint(ObjectReader& aParent,
              const char* aKey,
              Presence aPresence,
              Endpoint& aOut)
{
  auto reader = aParent.Nested(aKey, aPresence);
  if (reader) {
    ReadEndpoint(*reader, aOut);
    reader->RefuseUnknownKeys();
  }
}

void
ParseBackendServer(ObjectReader& aParent, Settings& aOut)
{
  const bool isAgent = aOut.mRole == InstanceRole::Agent;
  auto reader = aParent.Nested(
    "backendServer", isAgent ? Presence::Required : Presence::Optional);
  if (!reader) {
    return;
  }
  BackendServerSettings backend;
  ReadEndpoint(*reader, backend.mEndpoint);
  reader->Name("pool", Presence::Required, backend.mPool);
  reader->Choose<PoolKind>(
    "kind",
    Presence::Required,
    { { "model", PoolKind::Model }, { "service", PoolKind::Service } },
    backend.mKind);
  reader->RefuseUnknownKeys();
  aOut.mBackendServer = backend;
}

void
ParseLimits(ObjectReader& aParent, LimitSettings& aOut)
{
  auto reader = aParent.Nested("limits", Presence::Optional);
  if (!reader) {
    return;
  }
  reader->Number(
    "bodyLimitBytes", Presence::Optional, kBodyRange, aOut.mBodyLimitBytes);
  reader->Number("connectionLimit",
                 Presence::Optional,
                 kConnectionRange,
                 aOut.mConnectionLimit);
  reader->Number("memoryMb", Presence::Optional, kMemoryRange, aOut.mMemoryMb);
  reader->Number("callerMemoryShare",
                 Presence::Optional,
                 kShareRange,
                 aOut.mCallerMemoryShare);
  reader->RefuseUnknownKeys();
}

struct IntervalRow
{
  const char* mKey;
  Milliseconds ControlSettings::*mMember;
};

constexpr IntervalRow kIntervals[] = {
  { "configurationPollMs", &ControlSettings::mConfigurationPoll },
  { "listPollMs", &ControlSettings::mListPoll },
  { "gossipMs", &ControlSettings::mGossip },
  { "listLagBoundMs", &ControlSettings::mListLagBound },
  { "evidenceValidMs", &ControlSettings::mEvidenceValid },
  { "confirmationBoundMs", &ControlSettings::mConfirmationBound },
};

/** Requires a bound to leave room for an interval. */
void
RequireLonger(const ControlSettings& aControl,
              const IntervalRow& aLonger,
              const IntervalRow& aShorter,
              ProblemList& aProblems)
{
  const Milliseconds longer = aControl.*aLonger.mMember;
  const Milliseconds shorter = aControl.*aShorter.mMember;
  if (longer <= shorter) {
    aProblems.Add(std::string("$.control.") + aLonger.mKey,
                  std::string("more than ") + aShorter.mKey + ", " +
                    std::to_string(shorter.count()) + " milliseconds",
                  std::to_string(longer.count()));
  }
}

void
ParseControl(ObjectReader& aParent,
             ControlSettings& aOut,
             ProblemList& aProblems)
{
  auto reader = aParent.Nested("control", Presence::Optional);
  if (!reader) {
    return;
  }
  for (const IntervalRow& row : kIntervals) {
    reader->Duration(
      row.mKey, Presence::Optional, kIntervalRange, aOut.*row.mMember);
  }
  reader->RefuseUnknownKeys();
  RequireLonger(aOut, kIntervals[4], kIntervals[1], aProblems);
  RequireLonger(aOut, kIntervals[5], kIntervals[0], aProblems);
  RequireLonger(aOut, kIntervals[5], kIntervals[2], aProblems);
}

struct OrderRow
{
  const char* mKey;
  Milliseconds OrderSettings::*mMember;
};

constexpr OrderRow kOrderTimes[] = {
  { "noticeMs", &OrderSettings::mNotice },
  { "pauseBoundMs", &OrderSettings::mPauseBound },
  { "timeoutMs", &OrderSettings::mTimeout },
  { "adapterSettleMs", &OrderSettings::mAdapterSettle },
  { "adapterHoldMs", &OrderSettings::mAdapterHold },
  { "rolloutTurnMs", &OrderSettings::mRolloutTurn },
};

void
ParseOrders(ObjectReader& aParent, OrderSettings& aOut, ProblemList& aProblems)
{
  auto reader = aParent.Nested("orders", Presence::Optional);
  if (!reader) {
    return;
  }
  for (const OrderRow& row : kOrderTimes) {
    reader->Duration(
      row.mKey, Presence::Optional, kOrderRange, aOut.*row.mMember);
  }
  reader->Number(
    "rolloutWidth", Presence::Optional, kWidthRange, aOut.mRolloutWidth);
  reader->RefuseUnknownKeys();
  if (aOut.mNotice >= aOut.mPauseBound) {
    aProblems.Add("$.orders.noticeMs",
                  "less than pauseBoundMs",
                  std::to_string(aOut.mNotice.count()));
  }
}

void
CheckSettings(const Settings& aSettings,
              const std::optional<InstanceRole>& aRole,
              ProblemList& aProblems)
{
  if (aRole == InstanceRole::Entry && aSettings.mBackendServer) {
    aProblems.Add(
      "$.backendServer", "nothing in a process of role \"entry\"", "an object");
  }
  const bool sameListener =
    aSettings.mHttpListen.mPort == aSettings.mGrpcListen.mPort &&
    aSettings.mHttpListen.mAddress == aSettings.mGrpcListen.mAddress;
  if (sameListener) {
    aProblems.Add("$.grpcListen",
                  "another address or port than httpListen",
                  EndpointText(aSettings.mGrpcListen));
  }
}

} // namespace

bool
IsIpNumber(std::string_view aText)
{
  const std::string text(aText);
  in6_addr parsed{};
  return text.find('\0') == std::string::npos &&
         (inet_pton(AF_INET, text.c_str(), &parsed) == 1 ||
          inet_pton(AF_INET6, text.c_str(), &parsed) == 1);
}

std::string
EndpointText(const Endpoint& aEndpoint)
{
  const bool isIpv6 = aEndpoint.mAddress.find(':') != std::string::npos;
  const std::string host =
    isIpv6 ? "[" + aEndpoint.mAddress + "]" : aEndpoint.mAddress;
  return host + ":" + std::to_string(aEndpoint.mPort);
}

SettingsResult
ParseSettings(std::string_view aText)
{
  ProblemList problems;
  JsonLimits limits;
  limits.mBytes = kMaximumSettingsBytes;
  const auto value = ParseJson(aText, limits, problems);
  if (!value) {
    return problems.Take();
  }
  Settings settings;
  ObjectReader reader(*value, "$", problems);
  std::optional<InstanceRole> role;
  reader.Choose<std::optional<InstanceRole>>(
    "role",
    Presence::Required,
    { { "entry", InstanceRole::Entry }, { "agent", InstanceRole::Agent } },
    role);
  settings.mRole = role.value_or(InstanceRole::Entry);
  reader.Name("instanceId", Presence::Required, settings.mInstanceId);
  reader.Name("zone", Presence::Required, settings.mZone);
  reader.Name("region", Presence::Required, settings.mRegion);
  ParseEndpoint(reader, "httpListen", Presence::Optional, settings.mHttpListen);
  ParseEndpoint(reader, "grpcListen", Presence::Optional, settings.mGrpcListen);
  ParseEndpoint(reader, "platform", Presence::Required, settings.mPlatform);
  ParseBackendServer(reader, settings);
  ParseLimits(reader, settings.mLimits);
  ParseControl(reader, settings.mControl, problems);
  ParseOrders(reader, settings.mOrders, problems);
  reader.Duration("shutdownBoundMs",
                  Presence::Optional,
                  kShutdownRange,
                  settings.mShutdownBound);
  reader.Text(
    "logLevel", Presence::Optional, kLogLevelRule, settings.mLogLevel);
  reader.RefuseUnknownKeys();
  CheckSettings(settings, role, problems);
  if (!problems.IsEmpty()) {
    return problems.Take();
  }
  return settings;
}

} // namespace medlarkeel
