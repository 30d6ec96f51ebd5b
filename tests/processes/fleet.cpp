#include "fleet.h"

#include "sha256.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <sstream>

namespace medlarkeel {

namespace {

constexpr const char* kRegion = "gt-occidente";
constexpr const char* kService = "bookings";
constexpr std::chrono::seconds kLongestWait{ 30 };
constexpr std::size_t kLogTail = 3000; // bytes

nlohmann::json
FleetDocument(const CallerKey& aKey)
{
  auto document = nlohmann::json::parse(R"({
    "version": 0, "environment": "test",
    "zones": [{"name": "xela-a", "region": "gt-occidente", "state": "in"},
              {"name": "xela-b", "region": "gt-occidente", "state": "in"}],
    "classes": [
      {"name": "confirmation", "tier": 0, "attainment": 0.99},
      {"name": "draft", "tier": 2, "attainment": 0.95},
      {"name": "bulk", "tier": 6, "attainment": 0.5, "floorShare": 0.05}],
    "pools": [
      {"name": "proclamation", "kind": "model", "concurrency": 8,
       "coldStartConcurrency": 8, "queueLimit": 600,
       "honoursFencing": true},
      {"name": "bookings", "kind": "service", "concurrency": 32,
       "coldStartConcurrency": 32, "queueLimit": 64,
       "honoursFencing": false}],
    "teams": [
      {"name": "market", "rate": 5000, "burst": 10000, "keys": []}],
    "routes": [
      {"method": "POST", "path": "/v1/chat/completions",
       "pool": "proclamation", "class": "draft", "open": false,
       "repeatable": true},
      {"method": "POST", "path": "/s/bookings/confirmations",
       "pool": "bookings", "class": "confirmation", "open": false,
       "repeatable": false},
      {"method": "GET", "path": "/s/bookings/*", "pool": "bookings",
       "class": "draft", "open": true, "repeatable": true}],
    "openRate": 100, "openBurst": 100, "withdrawnStreams": "cut"})");
  document["teams"][0]["keys"].push_back(aKey.Entry());
  return document;
}

nlohmann::json
LocalEndpoint(std::uint16_t aPort)
{
  return { { "address", "127.0.0.1" }, { "port", aPort } };
}

} // namespace

std::string
CallerKey::Authorization() const
{
  return "Bearer mk_" + mId + "_" + mSecret;
}

nlohmann::json
CallerKey::Entry() const
{
  const std::string salt = "salt-of-" + mId;
  return { { "id", mId },
           { "salt", salt },
           { "secretHash", Sha256Hex(salt + mSecret) } };
}

Fleet::Fleet(Links* aLinks)
  : mLinks(aLinks)
  , mDocument(FleetDocument(mKey))
{
  mProcesses["platform"] = &mHarness.Start(
    "platform",
    "fakeplatform",
    { "--port=" + std::to_string(mPlatformPort), "--list_lag_ms=200" });
  BOOST_REQUIRE(WaitReady(mPlatformPort, "/stats"));
  Publish();
}

void
Fleet::SetConcurrency(const std::string& aPool, int aWarm, int aCold)
{
  for (nlohmann::json& pool : mDocument["pools"]) {
    if (pool["name"] == aPool) {
      pool["concurrency"] = aWarm;
      pool["coldStartConcurrency"] = aCold;
    }
  }
}

void
Fleet::Publish()
{
  mDocument["version"] = mDocument["version"].get<int>() + 1;
  BOOST_REQUIRE(SendJson(mPlatformPort, "PUT", "/configuration", mDocument) ==
                200);
}

nlohmann::json
Fleet::SettingsOf(const std::string& aId,
                  const std::string& aRole,
                  const std::string& aZone,
                  std::uint16_t aHttpPort)
{
  return { { "role", aRole },
           { "instanceId", aId },
           { "zone", aZone },
           { "region", kRegion },
           { "httpListen", LocalEndpoint(aHttpPort) },
           { "grpcListen", LocalEndpoint(FreePort()) },
           { "platform", LocalEndpoint(PlatformPortFor(aId)) },
           { "control",
             { { "configurationPollMs", 300 },
               { "listPollMs", 300 },
               { "gossipMs", 300 },
               { "listLagBoundMs", 500 },
               { "evidenceValidMs", mEvidenceValid.count() },
               { "confirmationBoundMs", 5000 } } },
           { "shutdownBoundMs", mShutdownBound.count() } };
}

std::uint16_t
Fleet::PlatformPortFor(const std::string& aId)
{
  return mLinks != nullptr ? mLinks->Add(aId, "platform", mPlatformPort)
                           : mPlatformPort;
}

/** Makes each daemon and a new one see each other at the links' ports. */
void
Fleet::ShowThroughLinks(const std::string& aId, std::uint16_t aGrpcPort)
{
  for (const auto& [other, ports] : mLinkedPorts) {
    if (other == aId) {
      continue;
    }
    WriteView(other, aId, aGrpcPort);
    WriteView(aId, other, ports.second);
  }
}

void
Fleet::WriteView(const std::string& aViewer,
                 const std::string& aId,
                 std::uint16_t aGrpcPort)
{
  const std::uint16_t port = mLinks->Add(aViewer, aId, aGrpcPort);
  const std::string host =
    "127.0.0.1:" + std::to_string(mLinkedPorts.at(aViewer).first);
  const std::string address = "127.0.0.1:" + std::to_string(port);
  BOOST_REQUIRE(
    SendJson(mPlatformPort, "PUT", "/views/" + host, { { aId, address } }) ==
    200);
}

ChildProcess&
Fleet::StartDaemon(const std::string& aId,
                   const nlohmann::json& aSettings,
                   const std::string& aPool)
{
  const std::string path = mHarness.WriteFile(aId + ".json", aSettings.dump(2));
  const auto grpcPort = aSettings["grpcListen"]["port"].get<std::uint16_t>();
  if (mLinks != nullptr) {
    const auto platform = aSettings["platform"]["port"].get<std::uint16_t>();
    mLinkedPorts[aId] = { platform, grpcPort };
    ShowThroughLinks(aId, grpcPort);
  }
  ChildProcess& process =
    mHarness.Start(aId, "medlarkeeld", { "--settings=" + path });
  mProcesses[aId] = &process;
  ListDaemon(aId, aSettings, aPool);
  return process;
}

void
Fleet::ListDaemon(const std::string& aId,
                  const nlohmann::json& aSettings,
                  const std::string& aPool) const
{
  const auto& listen = aSettings["grpcListen"];
  const std::string address =
    "127.0.0.1:" + std::to_string(listen["port"].get<int>());
  BOOST_REQUIRE(SendJson(mPlatformPort,
                         "PUT",
                         "/instances/" + aId,
                         { { "role", aSettings["role"] },
                           { "zone", aSettings["zone"] },
                           { "region", kRegion },
                           { "address", address },
                           { "pool", aPool } }) == 200);
}

EntryProcess&
Fleet::AddEntry(const std::string& aZone)
{
  auto entry = std::make_unique<EntryProcess>();
  entry->mId = "entry-" + std::to_string(mEntries.size() + 1);
  entry->mPort = FreePort();
  entry->mProcess = &StartDaemon(
    entry->mId, SettingsOf(entry->mId, "entry", aZone, entry->mPort), "");
  mEntries.push_back(std::move(entry));
  return *mEntries.back();
}

void
Fleet::RestartBackend(BackendPair& aPair)
{
  const std::string name = aPair.mId + "-backend";
  aPair.mBackend = &mHarness.Start(name, aPair.mProgram, aPair.mArguments);
  mProcesses[name] = aPair.mBackend;
  BOOST_REQUIRE(WaitReady(aPair.mBackendPort, "/stats"));
}

BackendPair&
Fleet::AddPair(const std::string& aProgram,
               const std::string& aPool,
               const std::string& aKind,
               std::vector<std::string> aArguments,
               const std::string& aZone)
{
  auto pair = std::make_unique<BackendPair>();
  pair->mPool = aPool;
  pair->mId = aPool + "-" + std::to_string(mPairs.size() + 1);
  pair->mBackendPort = FreePort();
  pair->mAgentHttpPort = FreePort();
  aArguments.push_back("--port=" + std::to_string(pair->mBackendPort));
  pair->mProgram = aProgram;
  pair->mArguments = std::move(aArguments);
  RestartBackend(*pair);
  nlohmann::json settings =
    SettingsOf(pair->mId, "agent", aZone, pair->mAgentHttpPort);
  settings["backendServer"] = LocalEndpoint(pair->mBackendPort);
  settings["backendServer"]["pool"] = aPool;
  settings["backendServer"]["kind"] = aKind;
  settings.merge_patch(mAgentSettings);
  pair->mAgentSettings = settings;
  pair->mAgent = &StartDaemon(pair->mId, settings, aPool);
  mPairs.push_back(std::move(pair));
  return *mPairs.back();
}

ChildProcess&
Fleet::ReplaceAgent(BackendPair& aPair)
{
  nlohmann::json settings = aPair.mAgentSettings;
  settings["httpListen"] = LocalEndpoint(FreePort());
  settings["grpcListen"] = LocalEndpoint(FreePort());
  const std::string path =
    mHarness.WriteFile(aPair.mId + "-next.json", settings.dump(2));
  ChildProcess& process = mHarness.Start(
    aPair.mId + "-next", "medlarkeeld", { "--settings=" + path });
  mProcesses[aPair.mId + "-next"] = &process;
  ListDaemon(aPair.mId, settings, settings["backendServer"]["pool"]);
  return process;
}

std::uint16_t
Fleet::AddWeightStore(std::vector<std::string> aArguments)
{
  const std::uint16_t port = FreePort();
  aArguments.push_back("--port=" + std::to_string(port));
  mProcesses["weightstore"] =
    &mHarness.Start("weightstore", "fakeweightstore", aArguments);
  BOOST_REQUIRE(WaitReady(port, "/stats"));
  return port;
}

BackendPair&
Fleet::AddEngine(std::vector<std::string> aArguments, const std::string& aZone)
{
  // Long enough for every call to get as many tokens as it asks for.
  aArguments.emplace_back("--tokens=1000");
  return AddPair(
    "fakeengine", "proclamation", "model", std::move(aArguments), aZone);
}

BackendPair&
Fleet::AddService(std::vector<std::string> aArguments, const std::string& aZone)
{
  return AddPair(
    "fakeservice", kService, "service", std::move(aArguments), aZone);
}

BackendPair&
Fleet::AddStreamServer(bool aIsModel)
{
  return AddPair("streamserver",
                 aIsModel ? "proclamation" : kService,
                 aIsModel ? "model" : "service",
                 {},
                 "xela-a");
}

void
Fleet::RequireReady()
{
  bool ready = true;
  for (const auto& pair : mPairs) {
    ready = ready && WaitReady(pair->mAgentHttpPort, "/readyz");
  }
  for (const auto& entry : mEntries) {
    ready = ready && WaitReady(entry->mPort, "/readyz");
  }
  if (!ready) {
    PrintLogs();
  }
  BOOST_REQUIRE(ready);
}

void
Fleet::RequireConfirmations() const
{
  const bool accepted = WaitUntil(kLongestWait, [this] {
    static_cast<void>(SendHttp(Confirm("warm-up", NewIdempotencyKey())));
    return std::all_of(mPairs.begin(), mPairs.end(), [](const auto& aPair) {
      return aPair->mPool != kService || Statistic(*aPair, "runs") > 0;
    });
  });
  if (!accepted) {
    PrintLogs();
  }
  BOOST_REQUIRE(accepted);
}

void
Fleet::Unlist(const std::string& aId) const
{
  SendJson(mPlatformPort, "DELETE", "/instances/" + aId, {});
}

void
Fleet::SetState(const std::string& aId, const std::string& aState) const
{
  SendJson(mPlatformPort, "PUT", "/instances/" + aId, { { "state", aState } });
}

HttpCall
Fleet::Chat(const std::string& aMarker, std::size_t aTokens) const
{
  HttpCall call = ChatCall(mEntries.front()->mPort, aMarker, aTokens);
  call.mHeaders["Authorization"] = mKey.Authorization();
  return call;
}

HttpCall
Fleet::At(const EntryProcess& aEntry, HttpCall aCall)
{
  const std::size_t path = aCall.mUrl.find('/', std::string("http://").size());
  aCall.mUrl = LocalUrl(aEntry.mPort, aCall.mUrl.substr(path));
  return aCall;
}

HttpCall
Fleet::Confirm(const std::string& aId, const std::string& aIdempotencyKey) const
{
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = LocalUrl(mEntries.front()->mPort, "/s/bookings/confirmations");
  call.mTimeout = std::chrono::seconds(30);
  call.mHeaders["Authorization"] = mKey.Authorization();
  call.mHeaders["Content-Type"] = "application/json";
  if (!aIdempotencyKey.empty()) {
    call.mHeaders["Idempotency-Key"] = aIdempotencyKey;
  }
  call.mBody = nlohmann::json({ { "id", aId } }).dump();
  return call;
}

void
Fleet::PrintLogs() const
{
  for (const auto& [name, process] : mProcesses) {
    const std::string log = process->Log();
    const std::size_t begin = log.size() > kLogTail ? log.size() - kLogTail : 0;
    std::printf("--- %s\n%s\n", name.c_str(), log.c_str() + begin);
  }
}

std::string
NewIdempotencyKey()
{
  static std::atomic<unsigned> sCounter{ 0 };
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const auto time = static_cast<unsigned long long>(milliseconds);
  std::array<char, 48> text{};
  std::snprintf(text.data(),
                text.size(),
                "%08llx-%04llx-7000-8000-%012x",
                time >> 16U,
                time & 0xffffU,
                ++sCounter);
  return text.data();
}

std::future<StreamedAnswer>
BeginStream(const HttpCall& aCall)
{
  return std::async(std::launch::async, [aCall] { return ReadStream(aCall); });
}

bool
IsWhole(const StreamedAnswer& aAnswer,
        const std::string& aMarker,
        std::size_t aTokens)
{
  return aAnswer.mStatus == 200 && aAnswer.mCleanEnd && aAnswer.mDone &&
         aAnswer.mContent == ExpectedContent(aMarker, aTokens);
}

int
Statistic(const BackendPair& aPair, const char* aName)
{
  return GetJson(aPair.mBackendPort, "/stats").value(aName, 0);
}

bool
WaitForStatistic(const BackendPair& aPair, const char* aName, int aLeast)
{
  return WaitUntil(std::chrono::seconds(10),
                   [&] { return Statistic(aPair, aName) >= aLeast; });
}

int
CountLogged(const ChildProcess& aProcess, const std::string& aText)
{
  std::istringstream lines(aProcess.Log());
  int count = 0;
  for (std::string line; std::getline(lines, line);) {
    count += line.find(aText) != std::string::npos ? 1 : 0;
  }
  return count;
}

} // namespace medlarkeel
