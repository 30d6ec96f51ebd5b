#include "decisionrecord.h"

#include <limits>

namespace medlarkeel {

namespace {

constexpr IntegerRange kTimeRange{ 0,
                                   std::numeric_limits<std::int64_t>::max(),
                                   "milliseconds" };
constexpr IntegerRange kEventRange{ 0, 1'000'000, "" };

} // namespace

std::string
DecisionsText(const std::vector<DecisionRecord>& aRecords)
{
  nlohmann::json decisions = nlohmann::json::array();
  for (const DecisionRecord& record : aRecords) {
    decisions.push_back({ { "atUnixMs", record.mAtUnixMs },
                          { "event", record.mEvent },
                          { "text", record.mText } });
  }
  return nlohmann::json{ { "decisions", decisions } }.dump(2);
}

DecisionsResult
ParseDecisions(std::string_view aText)
{
  ProblemList problems;
  const auto value = ParseJson(aText, JsonLimits(), problems);
  if (!value) {
    return problems.Take();
  }
  std::vector<DecisionRecord> records;
  ObjectReader reader(*value, "$", problems);
  reader.Items("decisions", Presence::Required, [&](auto& aItem, auto& aPath) {
    DecisionRecord record;
    ObjectReader item(aItem, aPath, problems);
    item.Number("atUnixMs", Presence::Required, kTimeRange, record.mAtUnixMs);
    item.Number("event", Presence::Required, kEventRange, record.mEvent);
    item.Text("text", Presence::Required, TextRule(), record.mText);
    records.push_back(record);
  });
  if (!problems.IsEmpty()) {
    return problems.Take();
  }
  return records;
}

} // namespace medlarkeel
