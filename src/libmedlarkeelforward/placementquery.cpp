#include "placementquery.h"

#include "percentencoding.h"

#include <map>

namespace medlarkeel {

namespace {

using Fields = std::map<std::string, std::string, std::less<>>;

bool
IsFieldName(std::string_view aName)
{
  return aName == "path" || aName == "host" || aName == "team" ||
         aName == "prompt" || aName == "usage";
}

/** @return The decoded fields by name. */
PlacementResult<Fields>
ParseFields(std::string_view aQuery)
{
  Fields fields;
  while (!aQuery.empty()) {
    const std::string_view field = aQuery.substr(0, aQuery.find('&'));
    aQuery.remove_prefix(std::min(field.size() + 1, aQuery.size()));
    const std::size_t equals = std::min(field.find('='), field.size());
    const std::string name(field.substr(0, equals));
    if (!IsFieldName(name)) {
      return PlacementError{ "unknown field \"" + name + "\"" };
    }
    const auto value =
      DecodePercent(field.substr(std::min(equals + 1, field.size())));
    if (!value) {
      return PlacementError{ "the percent-encoding of \"" + name +
                             "\" is malformed" };
    }
    if (!fields.emplace(name, *value).second) {
      return PlacementError{ "the field \"" + name + "\" is repeated" };
    }
  }
  return fields;
}

std::optional<std::string>
FieldOrNothing(const Fields& aFields, std::string_view aName)
{
  const auto found = aFields.find(aName);
  return found == aFields.end() ? std::nullopt : std::optional(found->second);
}

PlacementResult<std::optional<PromptDescription>>
ParsePrompt(const Fields& aFields)
{
  const auto parts = FieldOrNothing(aFields, "prompt");
  const auto usage = FieldOrNothing(aFields, "usage");
  if (!usage) {
    if (parts) {
      return PlacementError{ "the field \"prompt\" needs \"usage\"" };
    }
    return std::optional<PromptDescription>();
  }
  if (!ParsePromptDescription("", *usage)) {
    return PlacementError{
      "the usage is malformed; expected PROMPT,OUTPUT in tokens"
    };
  }
  auto prompt = ParsePromptDescription(parts.value_or(""), *usage);
  if (!prompt) {
    return PlacementError{
      "the prompt is malformed; expected ID:TOKENS,... with hexadecimal ids"
    };
  }
  return prompt;
}

} // namespace

PlacementResult<PlacementQuery>
ParsePlacementQuery(std::string_view aQuery)
{
  if (aQuery.size() > kMaximumPlacementQuery) {
    return PlacementError{ "the query is longer than " +
                           std::to_string(kMaximumPlacementQuery) + " bytes" };
  }
  const PlacementResult<Fields> fields = ParseFields(aQuery);
  if (!fields) {
    return fields.error();
  }
  PlacementQuery query;
  query.mPath = FieldOrNothing(fields.value(), "path").value_or("");
  if (query.mPath.empty() || query.mPath.front() != '/') {
    return PlacementError{ "the path is missing or doesn't begin with \"/\"" };
  }
  query.mHost = FieldOrNothing(fields.value(), "host");
  if (const auto team = FieldOrNothing(fields.value(), "team")) {
    query.mTeam = TeamName(*team);
  }
  auto prompt = ParsePrompt(fields.value());
  if (!prompt) {
    return prompt.error();
  }
  query.mPrompt = std::move(prompt.value());
  return query;
}

} // namespace medlarkeel
