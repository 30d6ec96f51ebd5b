#include "nodes.h"

#include "commands.h"
#include "httpclient.h"

#include <algorithm>
#include <atomic>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(nodes, "", "nodes to ask, IP:PORT with commas between");
DEFINE_int32(timeout, 5, "longest wait for each node, in seconds");

namespace medlarkeel {

namespace {

constexpr std::size_t kParallelCalls = 16;

std::optional<Endpoint>
ParseEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  const std::string digits = aText.substr(colon + 1);
  const bool isNumber =
    !digits.empty() && digits.size() <= 5 &&
    digits.find_first_not_of("0123456789") == std::string::npos;
  const unsigned long port = isNumber ? std::stoul(digits) : 0;
  if (port == 0 || port > 65535) {
    return std::nullopt;
  }
  std::string address = aText.substr(0, colon);
  if (address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  if (!IsIpNumber(address)) {
    return std::nullopt;
  }
  return Endpoint{ address, static_cast<std::uint16_t>(port) };
}

NodeAnswer
Ask(const Endpoint& aNode, const std::string& aPath)
{
  NodeAnswer answer;
  answer.mNode = aNode;
  HttpCall call;
  call.mUrl = "http://" + EndpointText(aNode) + aPath;
  call.mTimeout = std::chrono::seconds(std::max(1, FLAGS_timeout));
  NetResult<HttpReply> reply = SendHttp(call);
  if (reply.has_error()) {
    answer.mError = "no answer: " + reply.error().mDetail;
    return answer;
  }
  answer.mStatus = reply.value().mStatus;
  answer.mBody = std::move(reply.value().mBody);
  if (answer.mStatus != 200) {
    answer.mError = "HTTP status " + std::to_string(answer.mStatus);
  }
  return answer;
}

} // namespace

std::optional<std::vector<Endpoint>>
NodesFromFlags()
{
  std::vector<Endpoint> nodes;
  std::istringstream stream(FLAGS_nodes);
  for (std::string text; std::getline(stream, text, ',');) {
    const std::optional<Endpoint> node = ParseEndpoint(text);
    if (!node) {
      FailUsage("not IP:PORT: \"" + text + "\"");
      return std::nullopt;
    }
    nodes.push_back(*node);
  }
  if (nodes.empty()) {
    FailUsage("--nodes is missing");
    return std::nullopt;
  }
  return nodes;
}

std::vector<NodeAnswer>
AskNodes(const std::vector<Endpoint>& aNodes, const std::string& aPath)
{
  std::vector<NodeAnswer> answers(aNodes.size());
  std::atomic<std::size_t> next{ 0 };
  const auto work = [&] {
    for (std::size_t index = next++; index < aNodes.size(); index = next++) {
      answers[index] = Ask(aNodes[index], aPath);
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t count = std::min(kParallelCalls, aNodes.size()); count > 0;
       --count) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return answers;
}

NodeStatuses
FetchStatuses(const std::vector<Endpoint>& aNodes)
{
  NodeStatuses statuses;
  for (const NodeAnswer& answer : AskNodes(aNodes, "/status")) {
    std::string error = answer.mError;
    if (error.empty()) {
      NodeStatusResult status = ParseNodeStatus(answer.mBody);
      if (status.has_value()) {
        statuses.mStatuses.push_back(std::move(status.value()));
        continue;
      }
      error = ProblemText(status.error().front());
    }
    statuses.mSilent.push_back(EndpointText(answer.mNode) + " (" + error + ")");
  }
  return statuses;
}

int
PrintSilent(const std::vector<std::string>& aSilent)
{
  for (const std::string& silent : aSilent) {
    std::cerr << "no status from " << silent << '\n';
  }
  return aSilent.empty() ? kExitGood : kExitBad;
}

} // namespace medlarkeel
