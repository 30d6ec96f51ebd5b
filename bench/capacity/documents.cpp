#include "documents.h"

#include "documentparser.h"
#include "documentview.h"
#include "keyring.h"
#include "sha256.h"
#include "textdelta.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

namespace medlarkeel {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kTeamSizes[] = { 10, 100, 1000, 3600 };
constexpr int kZones = 18;
constexpr int kZonesPerRegion = 3;
constexpr int kTiers = 7;
constexpr int kModels = 11;

std::string
SecretOf(std::size_t aTeam)
{
  return "secret" + std::to_string(100'000 + aTeam) + "0123456789abcdef";
}

Json
MakeTeam(std::size_t aTeam)
{
  const std::string name = std::to_string(10'000 + aTeam);
  const std::string salt = "salt" + name;
  const Json key{ { "id", "key" + name },
                  { "salt", salt },
                  { "secretHash", Sha256Hex(salt + SecretOf(aTeam)) } };
  return Json{ { "name", "team-" + name },
               { "rate", 1.5 },
               { "burst", 5 },
               { "keys", Json::array({ key }) } };
}

Json
MakePool(int aPool)
{
  return Json{ { "name", "model-" + std::to_string(aPool) },
               { "kind", "model" },
               { "version", "v3" },
               { "adapters", Json::array({ "festival" }) },
               { "concurrency", 16 },
               { "coldStartConcurrency", 2 },
               { "queueLimit", 64 },
               { "honoursFencing", true } };
}

EnvironmentDocument
Parsed(const std::string& aText)
{
  DocumentResult result = ParseEnvironmentDocument(aText);
  if (!result) {
    for (const DocumentProblem& problem : result.error()) {
      std::fprintf(
        stderr, "%s: %s\n", problem.mPath.c_str(), problem.mFound.c_str());
    }
    std::exit(1);
  }
  return std::move(result.value());
}

/** A change of a document by hand, as a patch of RFC 6902. */
struct Change
{
  const char* mName;
  Json mPatch;
};

/** @return One-entry changes, each with the new version that it needs. */
std::vector<Change>
MakeChanges(std::size_t aTeams)
{
  const std::string middle = "/teams/" + std::to_string(aTeams / 2);
  const Json version{ { "op", "replace" },
                      { "path", "/version" },
                      { "value", 8 } };
  const Json hash{ { "op", "replace" },
                   { "path", middle + "/keys/0/secretHash" },
                   { "value", Sha256Hex("new") } };
  const Json keys{ { "op", "remove" }, { "path", middle + "/keys/0" } };
  const Json added{ { "op", "add" },
                    { "path", "/teams/-" },
                    { "value", MakeTeam(aTeams) } };
  const Json removed{ { "op", "remove" }, { "path", middle } };
  return { { "key_replaced", Json::array({ version, hash }) },
           { "key_withdrawn", Json::array({ version, keys }) },
           { "team_added", Json::array({ version, added }) },
           { "team_removed", Json::array({ version, removed }) } };
}

} // namespace

nlohmann::json
MakeDocument(std::size_t aTeams)
{
  Json document{ { "version", 7 }, { "environment", "capacity" } };
  for (int zone = 0; zone < kZones; ++zone) {
    document["zones"].push_back(
      { { "name", "zone-" + std::to_string(zone) },
        { "region", "region-" + std::to_string(zone / kZonesPerRegion) },
        { "state", "in" } });
  }
  for (int tier = 0; tier < kTiers; ++tier) {
    document["classes"].push_back({ { "name", "tier-" + std::to_string(tier) },
                                    { "tier", tier },
                                    { "firstByteTargetMs", 1700 },
                                    { "tokenGapTargetMs", 53 },
                                    { "attainment", 0.95 } });
  }
  for (int pool = 0; pool < kModels; ++pool) {
    document["pools"].push_back(MakePool(pool));
  }
  document["teams"] = Json::array();
  for (std::size_t team = 0; team < aTeams; ++team) {
    document["teams"].push_back(MakeTeam(team));
  }
  document["routes"] = Json::array({ { { "method", "POST" },
                                       { "path", "/v1/chat/completions" },
                                       { "pool", "model-0" },
                                       { "class", "tier-2" },
                                       { "open", false },
                                       { "repeatable", true } } });
  document["openRate"] = 10;
  document["openBurst"] = 20;
  document["withdrawnStreams"] = "finish";
  return document;
}

std::string
CallerKey(std::size_t aTeam)
{
  return "mk_key" + std::to_string(10'000 + aTeam) + "_" + SecretOf(aTeam);
}

std::vector<MeasuredRow>
MeasureDocuments()
{
  std::vector<MeasuredRow> rows;
  for (const std::size_t teams : kTeamSizes) {
    const std::string text = MakeDocument(teams).dump();
    const EnvironmentDocument document = Parsed(text);
    const Cost parse = MeasureCost([&] { Parsed(text); });
    const Cost hash = MeasureCost([&] { Sha256Hex(text); });
    const Cost view = MeasureCost([&] { DocumentView{ document }; });
    const std::size_t heap =
      HeapOf([&] { return std::make_unique<DocumentView>(document); });
    rows.push_back(
      { "document",
        "teams",
        teams,
        { { "text_bytes", static_cast<double>(text.size()) },
          { "parse_us", parse.mMicroseconds },
          { "hash_us", hash.mMicroseconds },
          { "view_us", view.mMicroseconds },
          { "view_heap_bytes", static_cast<double>(heap) },
          { "rss_kb", static_cast<double>(StatusKilobytes("VmRSS")) },
          { "peak_kb", static_cast<double>(StatusKilobytes("VmHWM")) } } });
  }
  return rows;
}

std::vector<MeasuredRow>
MeasurePatches()
{
  std::vector<MeasuredRow> rows;
  for (const std::size_t teams : kTeamSizes) {
    const Json before = MakeDocument(teams);
    for (const Change& change : MakeChanges(teams)) {
      const Json after = before.patch(change.mPatch);
      const Json patch = Json::diff(before, after);
      const Cost diff =
        MeasureCost([&] { return Json::diff(before, after).size(); });
      const Cost apply =
        MeasureCost([&] { return before.patch(patch).size(); });
      const std::string oldText = before.dump();
      const std::string newText = after.dump();
      const std::string delta = EncodeTextDelta(oldText, newText);
      const Cost encode =
        MeasureCost([&] { return EncodeTextDelta(oldText, newText).size(); });
      const Cost restore = MeasureCost([&] {
        return ApplyTextDelta(oldText, delta, newText.size()).value().size();
      });
      rows.push_back(
        { std::string("patch_") + change.mName,
          "teams",
          teams,
          { { "diff_bytes", static_cast<double>(patch.dump().size()) },
            { "by_name_bytes",
              static_cast<double>(change.mPatch.dump().size()) },
            { "diff_us", diff.mMicroseconds },
            { "apply_us", apply.mMicroseconds },
            { "delta_bytes", static_cast<double>(delta.size()) },
            { "encode_us", encode.mMicroseconds },
            { "restore_us", restore.mMicroseconds } } });
    }
  }
  return rows;
}

std::vector<MeasuredRow>
MeasureKeys()
{
  std::vector<MeasuredRow> rows;
  for (const std::size_t teams : kTeamSizes) {
    const EnvironmentDocument document = Parsed(MakeDocument(teams).dump());
    const KeyRing ring(document);
    const std::string right = CallerKey(teams / 2);
    const std::string unknown = CallerKey(teams);
    if (!ring.Authenticate(right) || ring.Authenticate(unknown)) {
      std::fprintf(stderr, "keys aren't told apart\n");
      std::exit(1);
    }
    const Cost good = MeasureCost([&] { ring.Authenticate(right); });
    const Cost bad = MeasureCost([&] { ring.Authenticate(unknown); });
    const std::size_t heap =
      HeapOf([&] { return std::make_unique<KeyRing>(document); });
    rows.push_back({ "keys",
                     "teams",
                     teams,
                     { { "right_us", good.mMicroseconds },
                       { "unknown_us", bad.mMicroseconds },
                       { "heap_bytes", static_cast<double>(heap) } } });
  }
  return rows;
}

} // namespace medlarkeel
