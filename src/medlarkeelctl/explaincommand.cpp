#include "commands.h"

#include "decisionrecord.h"
#include "nodes.h"
#include "reportformat.h"

#include <algorithm>
#include <iostream>

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

} // namespace

int
RunExplain(const Arguments& aArguments)
{
  if (aArguments.size() != 1 || !IsRequestId(aArguments.front())) {
    return FailUsage("explain needs one request id");
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
