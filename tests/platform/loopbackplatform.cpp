#include "loopbackplatform.h"

#include "../support/sourcefile.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <unistd.h>

namespace medlarkeel {

namespace {

using Json = nlohmann::json;

/** Ports of each entry, which has a loopback address of its own. */
constexpr std::uint16_t kCallers = 18'001;
constexpr std::uint16_t kReadiness = 18'002;
constexpr std::uint16_t kInternal = 18'003;

/**
 * @param aNumber Number of the entry, from 0.
 * @return A loopback address that no other test process uses at the time.
 */
std::string
EntryAddress(std::size_t aNumber)
{
  constexpr int kParts = 250;
  constexpr std::size_t kFirstHost = 11;
  const int process = getpid();
  return "127." + std::to_string(1 + process / kParts % kParts) + "." +
         std::to_string(process % kParts) + "." +
         std::to_string(kFirstHost + aNumber);
}

std::string
EnvironmentOr(const char* aName, const char* aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? aDefault : value;
}

std::filesystem::path
NewFolder()
{
  std::string pattern = std::filesystem::temp_directory_path() / "mkpathXXXXXX";
  BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
  return pattern;
}

Json
Route(const char* aPrefix,
      const char* aService,
      const char* aKind,
      int aAttempts,
      bool aIsResumable = false)
{
  return { { "name", aPrefix },
           { "host", "host" },
           { "path-prefix", aPrefix },
           { "service", aService },
           { "kind", aKind },
           { "stream-resume", aIsResumable },
           { "max-attempts", aAttempts },
           { "timeout-ms", 3000 },
           { "target-latency-ms", 300 },
           { "priority", 1 } };
}

Json
FirstDocument()
{
  Json document;
  document["version"] = 1;
  document["routes"] = { Route("/once/", "desk", "non_idempotent", 2),
                         Route("/again/", "desk", "idempotent", 2),
                         Route("/stream/", "model", "streaming", 1),
                         Route("/resume/", "model", "streaming", 2, true) };
  document["services"] = { { { "name", "desk" } },
                           { { "name", "model" },
                             { "engine", Json::object() },
                             { "cold-start-s", 3.0 },
                             { "cold-per-s", 6.0 } } };
  document["limits"] = { { "max-header-bytes", 16384 },
                         { "max-body-bytes", 1048576 },
                         { "header-timeout-ms", 2000 },
                         { "idle-timeout-ms", 10000 } };
  document["tenants"] =
    Json::array({ { { "name", "team-1" }, { "api-keys", { "secret" } } },
                  { { "name", "team-2" }, { "api-keys", { "second" } } } });
  return document;
}

/** @return The value at a path of names with dots. */
const Json&
ValueAt(const Json& aValues, const std::string& aPath)
{
  const Json* value = &aValues;
  std::size_t begin = 0;
  while (begin <= aPath.size()) {
    const std::size_t end = std::min(aPath.find('.', begin), aPath.size());
    const std::string name = aPath.substr(begin, end - begin);
    value = value->is_array() ? &value->at(std::stoul(name)) : &value->at(name);
    begin = end + 1;
  }
  return *value;
}

/** Renders "{{path}}" as text and "{{path|json}}" as JSON. */
std::string
Render(std::string aTemplate, const Json& aValues)
{
  const std::string asJson = "|json";
  std::size_t begin = aTemplate.find("{{");
  while (begin != std::string::npos) {
    const std::size_t end = aTemplate.find("}}", begin);
    std::string path = aTemplate.substr(begin + 2, end - begin - 2);
    const std::size_t filter = path.find(asJson);
    const bool isJson = filter != std::string::npos;
    path = path.substr(0, filter);
    const Json& value = ValueAt(aValues, path);
    const bool isText = value.is_string() && !isJson;
    const std::string text = isText ? value.get<std::string>() : value.dump();
    aTemplate.replace(begin, end + 2 - begin, text);
    begin = aTemplate.find("{{", begin + text.size());
  }
  return aTemplate;
}

} // namespace

std::string
ProgramPath(const std::string& aName)
{
  return EnvironmentOr("MEDLARKEEL_BIN", "build/plain") + "/" + aName;
}

LoopbackPlatform::LoopbackPlatform()
  : mFolder(NewFolder())
  , mDocument(FirstDocument())
{
  mStore.Put("op/config", mDocument);
}

LoopbackPlatform::~LoopbackPlatform()
{
  mEntries.clear();
  mServers.clear();
  std::error_code ignored; // Files in the temporary folder may stay.
  std::filesystem::remove_all(mFolder, ignored);
}

FakeServer&
LoopbackPlatform::AddServer(const FakeServerSettings& aSettings)
{
  mServers.push_back(std::make_unique<FakeServer>(mStore, aSettings));
  return *mServers.back();
}

FakeServer&
LoopbackPlatform::AddDesk(const std::string& aId)
{
  FakeServerSettings settings;
  settings.mId = aId;
  settings.mEvents = 0;
  return AddServer(settings);
}

FakeServer&
LoopbackPlatform::AddModel(const std::string& aId)
{
  FakeServerSettings settings;
  settings.mId = aId;
  settings.mService = "model";
  settings.mSlots = 64;
  return AddServer(settings);
}

std::string
LoopbackPlatform::SettingsText(const EntryProcess& aEntry) const
{
  const auto at = [&aEntry](std::uint16_t aPort) {
    return aEntry.mAddress + ":" + std::to_string(aPort);
  };
  const Endpoint& store = mStore.Address();
  Json seeds = Json::array();
  for (std::size_t i = 0; i < mSeeds; ++i) {
    seeds.push_back(EntryAddress(i) + ":1");
  }
  const Json values{
    { "node-name", aEntry.mName },
    { "zone", aEntry.mZone },
    { "ip", aEntry.mAddress },
    { "listen",
      { { "front", at(aEntry.mCallers) },
        { "ready", at(aEntry.mReadiness) } } },
    { "internal-port-range", { kInternal, kInternal } },
    { "seeds", seeds },
    { "platform",
      { { "address", store.mAddress + ":" + std::to_string(store.mPort) } } },
    { "heartbeat-ms", 1200 },
    { "limits",
      { { "memory-mb", mMemoryMb }, { "max-fds", mMostDescriptors } } },
    { "bounds",
      { { "drain-ms", 2000 },
        { "grace-s", 8.0 },
        { "retry-budget-ratio", 0.2 },
        { "retry-slack", 52.0 },
        { "cold-overage", 1.5 },
        { "cold-slack", 5.0 } } }
  };
  return Render(SourceFile("platform/settings.json.template"), values);
}

EntryProcess&
LoopbackPlatform::StartEntry(const std::string& aZone)
{
  auto entry = std::make_unique<EntryProcess>();
  entry->mName = "entry-" + std::to_string(mEntries.size() + 1);
  entry->mZone = aZone;
  entry->mAddress = EntryAddress(mEntries.size());
  entry->mCallers = kCallers;
  entry->mReadiness = kReadiness;
  entry->mStatus = kInternal;
  std::ofstream(mFolder / (entry->mName + ".json")) << SettingsText(*entry);
  Restart(*entry);
  mEntries.push_back(std::move(entry));
  return *mEntries.back();
}

void
LoopbackPlatform::Restart(EntryProcess& aEntry) const
{
  aEntry.mProcess.reset();
  aEntry.mProcess = std::make_unique<ChildProcess>(
    ProgramPath("medlarkeelforward"),
    std::vector<std::string>{ "--settings=" +
                              (mFolder / (aEntry.mName + ".json")).string() },
    mFolder / (aEntry.mName + ".log"));
}

int
LoopbackPlatform::ReadinessOf(const EntryProcess& aEntry)
{
  Caller caller(aEntry.mReadiness, aEntry.mAddress.c_str());
  if (!caller.IsConnected()) {
    return 0;
  }
  caller.Send("GET /ready HTTP/1.1\r\nHost: entry\r\n\r\n");
  return caller.Read().Status();
}

bool
LoopbackPlatform::WaitReady(const EntryProcess& aEntry,
                            std::chrono::milliseconds aLimit)
{
  constexpr int kOk = 200;
  return WaitUntil(aLimit, [&]() { return ReadinessOf(aEntry) == kOk; });
}

void
LoopbackPlatform::PublishDocument()
{
  mDocument["version"] = mDocument["version"].get<int>() + 2;
  mStore.Put("op/config", mDocument);
}

std::string
LoopbackPlatform::RequestText(const std::string& aId,
                              const std::string& aPath,
                              const std::string& aFields,
                              const std::string& aBody)
{
  const bool hasKey = aFields.find("Authorization") != std::string::npos;
  return "POST " + aPath + " HTTP/1.1\r\nHost: host\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: 5000\r\n" +
         (hasKey ? "" : "Authorization: Token secret\r\n") + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

SeenAnswer
LoopbackPlatform::Call(const EntryProcess& aEntry,
                       const std::string& aId,
                       const std::string& aPath,
                       const std::string& aFields,
                       const std::string& aBody)
{
  Caller caller(aEntry.mCallers, aEntry.mAddress.c_str());
  caller.Send(RequestText(aId, aPath, aFields, aBody));
  return caller.Read();
}

std::vector<ServedRequest>
LoopbackPlatform::Arrivals(const std::string& aId) const
{
  std::vector<ServedRequest> arrivals;
  for (const auto& server : mServers) {
    for (const ServedRequest& request : server->Requests()) {
      if (request.mId == aId) {
        arrivals.push_back(request);
      }
    }
  }
  return arrivals;
}

} // namespace medlarkeel
