#include "commands.h"

#include "decisionrecord.h"
#include "nodes.h"
#include "reportformat.h"

#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>

DEFINE_string(log, "", "log file to search instead of asking nodes");

namespace medlarkeel {

namespace {

struct NodeDecision
{
  Endpoint mNode;
  DecisionRecord mRecord;
};

bool
IsRequestId(const std::string& aText)
{
  return kNameRule.mAccepts(aText);
}

/** Takes the decisions of one answer. @return Whether it could be read. */
bool
TakeDecisions(const NodeAnswer& aAnswer, std::vector<NodeDecision>& aInto)
{
  if (!aAnswer.mError.empty()) {
    std::cerr << EndpointText(aAnswer.mNode) << ": " << aAnswer.mError << '\n';
    return false;
  }
  const DecisionsResult records = ParseDecisions(aAnswer.mBody);
  if (records.has_error()) {
    std::cerr << EndpointText(aAnswer.mNode) << ": "
              << ProblemText(records.error().front()) << '\n';
    return false;
  }
  for (const DecisionRecord& record : records.value()) {
    aInto.push_back({ aAnswer.mNode, record });
  }
  return true;
}

/** Fields of a log line that every line has. */
bool
IsCommonField(const std::string& aName)
{
  return aName == "time" || aName == "event" || aName == "name" ||
         aName == "level" || aName == "node" || aName == "request";
}

/** Prints one line of a log in the order of its fields. */
void
PrintLogLine(const nlohmann::ordered_json& aLine)
{
  std::cout << aLine.value("time", "") << "  " << aLine.value("node", "")
            << "  " << aLine.value("event", 0) << ' '
            << aLine.value("name", "");
  for (const auto& [name, value] : aLine.items()) {
    if (!IsCommonField(name)) {
      std::cout << "  " << name << '=' << value.dump();
    }
  }
  std::cout << '\n';
}

/** Prints every line of a log file that is about the request. */
int
ExplainFromLog(const std::string& aPath, const std::string& aRequest)
{
  std::ifstream file(aPath);
  if (!file) {
    std::cerr << aPath << ": can't be read\n";
    return kExitUsage;
  }
  bool isFound = false;
  std::string text;
  while (std::getline(file, text)) {
    // Collectors may put words of their own before the object.
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos ||
        text.find(aRequest) == std::string::npos) {
      continue;
    }
    const auto line = nlohmann::ordered_json::parse(
      text.begin() + static_cast<std::ptrdiff_t>(begin),
      text.end(),
      nullptr,
      false);
    const bool isMatch = line.is_object() && line.contains("request") &&
                         line.at("request") == aRequest;
    if (isMatch) {
      PrintLogLine(line);
      isFound = true;
    }
  }
  if (!isFound) {
    std::cerr << "the log holds no line about " << aRequest << '\n';
  }
  return isFound ? kExitGood : kExitBad;
}

} // namespace

int
RunExplain(const Arguments& aArguments)
{
  if (aArguments.size() != 1 || !IsRequestId(aArguments.front())) {
    return FailUsage("explain needs one request id");
  }
  if (!FLAGS_log.empty()) {
    return ExplainFromLog(FLAGS_log, aArguments.front());
  }
  const auto nodes = NodesFromFlags();
  if (!nodes) {
    return kExitUsage;
  }
  bool allAnswered = true;
  std::vector<NodeDecision> decisions;
  const std::string path = "/decisions/" + aArguments.front();
  for (const NodeAnswer& answer : AskNodes(*nodes, path)) {
    allAnswered = TakeDecisions(answer, decisions) && allAnswered;
  }
  std::stable_sort(decisions.begin(),
                   decisions.end(),
                   [](const NodeDecision& aLeft, const NodeDecision& aRight) {
                     return aLeft.mRecord.mAtUnixMs < aRight.mRecord.mAtUnixMs;
                   });
  for (const NodeDecision& decision : decisions) {
    std::cout << UtcText(decision.mRecord.mAtUnixMs) << '.'
              << decision.mRecord.mAtUnixMs % 1000 << "  "
              << EndpointText(decision.mNode) << "  " << decision.mRecord.mEvent
              << "  " << decision.mRecord.mText << '\n';
  }
  if (decisions.empty()) {
    std::cerr << "no node remembers a decision on " << aArguments.front()
              << '\n';
  }
  return allAnswered && !decisions.empty() ? kExitGood : kExitBad;
}

} // namespace medlarkeel
