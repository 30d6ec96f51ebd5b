#include "documentparser.h"

#include "documentcheck.h"

#include <algorithm>
#include <cctype>
#include <string>

namespace medlarkeel {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kSecretHashLength = 64;  // hexadecimal digits
constexpr std::size_t kMinimumSaltLength = 8;  // characters
constexpr std::size_t kMaximumTextLength = 64; // characters
constexpr std::size_t kMaximumPathLength = 256;
constexpr IntegerRange kVersionRange{ 1, (std::int64_t{ 1 } << 53U) - 1, "" };
constexpr IntegerRange kTierRange{ 0, kLowestTierRank, "" };
constexpr IntegerRange kTargetRange{ 1, 86'400'000, "milliseconds" };
constexpr IntegerRange kConcurrencyRange{ 1, 4096, "requests" };
constexpr IntegerRange kQueueRange{ 0, 65536, "requests" };
constexpr NumberRange kShareRange{ 0.0, 1.0, "(share)" };
constexpr NumberRange kFloorRange{ 0.0, 1.0, "(share)", false, true };
constexpr NumberRange kRateRange{ 0.0, 1e6, "requests per second", true };
constexpr NumberRange kBurstRange{ 1.0, 1e6, "requests" };
constexpr NumberRange kOpenRateRange{ 0.0, 1e6, "requests per second" };
constexpr NumberRange kOpenBurstRange{ 0.0, 1e6, "requests" };

bool
IsLowerHexadecimal(char aCharacter)
{
  return (aCharacter >= '0' && aCharacter <= '9') ||
         (aCharacter >= 'a' && aCharacter <= 'f');
}

bool
IsPrintable(char aCharacter)
{
  return aCharacter > ' ' && aCharacter <= '~';
}

bool
IsAsciiAlphanumeric(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte < 0x80 && std::isalnum(byte) != 0;
}

bool
IsSecretHash(std::string_view aText)
{
  return aText.size() == kSecretHashLength &&
         std::all_of(aText.begin(), aText.end(), IsLowerHexadecimal);
}

bool
IsSalt(std::string_view aText)
{
  return aText.size() >= kMinimumSaltLength &&
         aText.size() <= kMaximumTextLength &&
         std::all_of(aText.begin(), aText.end(), IsPrintable);
}

bool
IsKeyId(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaximumTextLength &&
         std::all_of(aText.begin(), aText.end(), IsAsciiAlphanumeric);
}

bool
IsVersion(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaximumTextLength &&
         std::all_of(aText.begin(), aText.end(), IsPrintable);
}

bool
IsMethod(std::string_view aText)
{
  constexpr std::string_view kMethods[] = {
    "GET", "POST", "PUT", "PATCH", "DELETE"
  };
  return std::find(std::begin(kMethods), std::end(kMethods), aText) !=
         std::end(kMethods);
}

/** A path, or a path and `/` followed by a star for everything below it. */
bool
IsPath(std::string_view aText)
{
  if (aText.empty() || aText.front() != '/' ||
      aText.size() > kMaximumPathLength ||
      (aText.size() > 1 && aText.back() == '/')) {
    return false;
  }
  const std::size_t star = aText.find('*');
  const bool starAtEnd = star == std::string_view::npos ||
                         (star == aText.size() - 1 && aText[star - 1] == '/');
  const bool clean = std::all_of(aText.begin(), aText.end(), IsPrintable) &&
                     aText.find_first_of("?#%\\\"") == std::string_view::npos &&
                     aText.find("//") == std::string_view::npos &&
                     aText.find("/.") == std::string_view::npos;
  return starAtEnd && clean;
}

const TextRule kSecretHashRule{ "SHA-256 as 64 lower-case hexadecimal digits",
                                IsSecretHash,
                                true };
const TextRule kSaltRule{ "8 to 64 printable characters without spaces",
                          IsSalt,
                          true };
const TextRule kKeyIdRule{ "1 to 64 letters or digits", IsKeyId };
const TextRule kVersionRule{ "1 to 64 printable characters without spaces",
                             IsVersion };
const TextRule kMethodRule{ "GET, POST, PUT, PATCH or DELETE", IsMethod };
const TextRule kPathRule{
  "a path that begins with a slash, without query, escapes, dot segments or a "
  "slash at the end, "
  "and with a star only as its last segment",
  IsPath
};

ZoneEntry
ParseZone(const Json& aValue, const std::string& aPath, ProblemList& aProblems)
{
  ZoneEntry zone;
  ObjectReader reader(aValue, aPath, aProblems);
  reader.Name("name", Presence::Required, zone.mName);
  reader.Name("region", Presence::Required, zone.mRegion);
  reader.Choose<ZoneState>(
    "state",
    Presence::Required,
    { { "in", ZoneState::In }, { "out", ZoneState::Out } },
    zone.mState);
  reader.RefuseUnknownKeys();
  return zone;
}

ServiceClass
ParseClass(const Json& aValue, const std::string& aPath, ProblemList& aProblems)
{
  ServiceClass parsed;
  ObjectReader reader(aValue, aPath, aProblems);
  reader.Name("name", Presence::Required, parsed.mName);
  reader.Number("tier", Presence::Required, kTierRange, parsed.mTier.mValue);
  reader.Duration("firstByteTargetMs", kTargetRange, parsed.mFirstByteTarget);
  reader.Duration("completionTargetMs", kTargetRange, parsed.mCompletionTarget);
  reader.Duration("tokenGapTargetMs", kTargetRange, parsed.mTokenGapTarget);
  reader.Number(
    "attainment", Presence::Required, kShareRange, parsed.mAttainment);
  reader.Duration("deadlineMs", kTargetRange, parsed.mDeadline);
  reader.Number(
    "floorShare", Presence::Optional, kFloorRange, parsed.mFloorShare);
  reader.RefuseUnknownKeys();
  return parsed;
}

Pool
ParsePool(const Json& aValue, const std::string& aPath, ProblemList& aProblems)
{
  Pool pool;
  ObjectReader reader(aValue, aPath, aProblems);
  reader.Name("name", Presence::Required, pool.mName);
  reader.Choose<PoolKind>(
    "kind",
    Presence::Required,
    { { "model", PoolKind::Model }, { "service", PoolKind::Service } },
    pool.mKind);
  reader.Text("version", Presence::Optional, kVersionRule, pool.mVersion);
  reader.Names("adapters", Presence::Optional, pool.mAdapters);
  reader.Number(
    "concurrency", Presence::Required, kConcurrencyRange, pool.mConcurrency);
  reader.Number("coldStartConcurrency",
                Presence::Required,
                kConcurrencyRange,
                pool.mColdStartConcurrency);
  reader.Duration(
    "coldStartMs", Presence::Optional, kTargetRange, pool.mColdStartTime);
  reader.Duration(
    "repeatWindowMs", Presence::Optional, kTargetRange, pool.mRepeatWindow);
  reader.Number(
    "queueLimit", Presence::Required, kQueueRange, pool.mQueueLimit);
  reader.Flag("honoursFencing", Presence::Required, pool.mHonoursFencing);
  reader.RefuseUnknownKeys();
  return pool;
}

KeyEntry
ParseKey(const Json& aValue, const std::string& aPath, ProblemList& aProblems)
{
  KeyEntry key;
  std::string id;
  ObjectReader reader(aValue, aPath, aProblems);
  reader.Text("id", Presence::Required, kKeyIdRule, id);
  reader.Text("salt", Presence::Required, kSaltRule, key.mSalt);
  reader.Text(
    "secretHash", Presence::Required, kSecretHashRule, key.mSecretHash);
  reader.RefuseUnknownKeys();
  key.mId = KeyId(std::move(id));
  return key;
}

Team
ParseTeam(const Json& aValue, const std::string& aPath, ProblemList& aProblems)
{
  Team team;
  ObjectReader reader(aValue, aPath, aProblems);
  reader.Name("name", Presence::Required, team.mName);
  reader.Number("rate", Presence::Required, kRateRange, team.mRate);
  reader.Number("burst", Presence::Required, kBurstRange, team.mBurst);
  reader.Items(
    "keys", Presence::Required, [&](const Json& aItem, auto& aItemPath) {
      team.mKeys.push_back(ParseKey(aItem, aItemPath, aProblems));
    });
  reader.Names("classes", Presence::Optional, team.mClasses);
  reader.RefuseUnknownKeys();
  return team;
}

Route
ParseRoute(const Json& aValue, const std::string& aPath, ProblemList& aProblems)
{
  Route route;
  ObjectReader reader(aValue, aPath, aProblems);
  reader.Text("method", Presence::Required, kMethodRule, route.mMethod);
  reader.Text("path", Presence::Required, kPathRule, route.mPath);
  reader.Name("pool", Presence::Required, route.mPool);
  reader.Name("class", Presence::Required, route.mClass);
  reader.Flag("open", Presence::Required, route.mOpen);
  reader.Flag("repeatable", Presence::Required, route.mRepeatable);
  reader.RefuseUnknownKeys();
  return route;
}

/** Reads an array of objects, one parse function a kind of object. */
template<typename Item>
void
ParseItems(ObjectReader& aReader,
           const char* aKey,
           Item (*aParse)(const Json&, const std::string&, ProblemList&),
           ProblemList& aProblems,
           std::vector<Item>& aOut)
{
  aReader.Items(aKey, Presence::Required, [&](const Json& aItem, auto& aPath) {
    aOut.push_back(aParse(aItem, aPath, aProblems));
  });
}

EnvironmentDocument
ParseDocument(const Json& aValue, ProblemList& aProblems)
{
  EnvironmentDocument document;
  ObjectReader reader(aValue, "$", aProblems);
  reader.Number(
    "version", Presence::Required, kVersionRange, document.mVersion);
  reader.Text(
    "environment", Presence::Required, kNameRule, document.mEnvironment);
  ParseItems(reader, "zones", ParseZone, aProblems, document.mZones);
  ParseItems(reader, "classes", ParseClass, aProblems, document.mClasses);
  ParseItems(reader, "pools", ParsePool, aProblems, document.mPools);
  ParseItems(reader, "teams", ParseTeam, aProblems, document.mTeams);
  ParseItems(reader, "routes", ParseRoute, aProblems, document.mRoutes);
  reader.Number(
    "openRate", Presence::Required, kOpenRateRange, document.mOpenRate);
  reader.Number(
    "openBurst", Presence::Required, kOpenBurstRange, document.mOpenBurst);
  reader.Number("weightStoreRate",
                Presence::Optional,
                kOpenRateRange,
                document.mWeightStoreRate);
  reader.Number("weightStoreBurst",
                Presence::Optional,
                kBurstRange,
                document.mWeightStoreBurst);
  reader.Choose<WithdrawnStreams>("withdrawnStreams",
                                  Presence::Required,
                                  { { "finish", WithdrawnStreams::Finish },
                                    { "cut", WithdrawnStreams::Cut } },
                                  document.mWithdrawnStreams);
  reader.RefuseUnknownKeys();
  return document;
}

} // namespace

DocumentResult
ParseEnvironmentDocument(std::string_view aText)
{
  ProblemList problems;
  JsonLimits limits;
  limits.mBytes = kMaximumDocumentBytes;
  const auto value = ParseJson(aText, limits, problems);
  if (!value) {
    return problems.Take();
  }
  EnvironmentDocument document = ParseDocument(*value, problems);
  CheckReferences(document, problems);
  if (!problems.IsEmpty()) {
    return problems.Take();
  }
  return document;
}

} // namespace medlarkeel
