#include "commands.h"

#include "nodes.h"
#include "placementtext.h"

#include <algorithm>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <iostream>
#include <memory>

DECLARE_string(format);
DEFINE_string(host, "", "host that the request names");
DEFINE_string(team, "", "name of the request's team");
DEFINE_string(prompt, "", "parts of the prompt, ID:TOKENS with commas between");
DEFINE_string(usage,
              "",
              "tokens of the prompt and of the output, with a comma");

namespace medlarkeel {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

/** Longest query that an entry accepts, in bytes. */
constexpr std::size_t kMaximumQuery = 16'384;

std::string
EncodePercent(const std::string& aText)
{
  const std::unique_ptr<char, void (*)(void*)> encoded(
    curl_easy_escape(nullptr, aText.data(), static_cast<int>(aText.size())),
    curl_free);
  return encoded ? encoded.get() : "";
}

std::string
QueryOf(const std::string& aPath)
{
  std::string query = "path=" + EncodePercent(aPath);
  const auto add = [&](const char* aName, const std::string& aValue) {
    if (!gflags::GetCommandLineFlagInfoOrDie(aName).is_default) {
      query += std::string("&") + aName + "=" + EncodePercent(aValue);
    }
  };
  add("host", FLAGS_host);
  add("team", FLAGS_team);
  add("prompt", FLAGS_prompt);
  add("usage", FLAGS_usage);
  return query;
}

/** @return The object in an answer; discarded if there is none. */
Json
ParseAnswer(const NodeAnswer& aAnswer)
{
  Json json = Json::parse(aAnswer.mBody, nullptr, false);
  return json.is_object() ? json : Json(Json::value_t::discarded);
}

/** @return Why a node gave no explanation. */
std::string
ProblemOf(const NodeAnswer& aAnswer)
{
  if (aAnswer.mStatus == kNotFound) {
    return "the node can't explain placements";
  }
  const Json json = ParseAnswer(aAnswer);
  const bool hasReason = aAnswer.mStatus != kOk && !json.is_discarded() &&
                         json.contains("error") && json["error"].is_string();
  if (hasReason) {
    return json["error"].get<std::string>();
  }
  return aAnswer.mError.empty() ? "the answer is unreadable" : aAnswer.mError;
}

/** Prints a node's answer, or adds it to aJson for that format.
 * @return Whether it could be read. */
bool
PrintAnswer(const NodeAnswer& aAnswer, bool aIsJson, Json& aJson)
{
  const Json json = ParseAnswer(aAnswer);
  if (aAnswer.mStatus != kOk || json.is_discarded()) {
    return false;
  }
  try {
    const std::string text = PlacementText(json);
    if (aIsJson) {
      aJson.push_back(
        { { "node", EndpointText(aAnswer.mNode) }, { "answer", json } });
    } else {
      std::cout << EndpointText(aAnswer.mNode) << '\n' << text;
    }
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

int
PrintAnswers(const std::vector<NodeAnswer>& aAnswers, bool aIsJson)
{
  int exitCode = kExitGood;
  Json answers = Json::array();
  for (const NodeAnswer& answer : aAnswers) {
    if (PrintAnswer(answer, aIsJson, answers)) {
      continue;
    }
    std::cerr << EndpointText(answer.mNode) << ": " << ProblemOf(answer)
              << '\n';
    const bool isInvalid = answer.mStatus == kBadRequest;
    exitCode = std::max(exitCode, isInvalid ? kExitUsage : kExitBad);
  }
  if (aIsJson) {
    std::cout << answers.dump(2) << '\n';
  }
  return exitCode;
}

} // namespace

int
RunPlacement(const Arguments& aArguments)
{
  const bool isJson = FLAGS_format == "json";
  if (aArguments.size() != 1 || (!isJson && FLAGS_format != "text")) {
    return FailUsage("placement takes one path, and --format text or json");
  }
  const auto nodes = NodesFromFlags();
  if (!nodes) {
    return kExitUsage;
  }
  const std::string query = QueryOf(aArguments.front());
  if (query.size() > kMaximumQuery) {
    return FailUsage("the request is longer than an entry accepts");
  }
  return PrintAnswers(AskNodes(*nodes, "/placement?" + query), isJson);
}

} // namespace medlarkeel
