#pragma once

#include "nodestatus.h"
#include "settings.h"

#include <boost/outcome.hpp>
#include <functional>
#include <string>
#include <vector>

namespace medlarkeel {

/** @return The nodes that --nodes names, or nothing after a complaint. */
std::optional<std::vector<Endpoint>>
NodesFromFlags();

/** What one node answered, or why it gave no answer. */
struct NodeAnswer
{
  Endpoint mNode;
  /** HTTP status; 0 without an answer. */
  int mStatus = 0;
  std::string mBody;
  /** Empty if the status is 200. */
  std::string mError;
};

/** Asks all nodes at once for a path; answers stand in the nodes' order. */
std::vector<NodeAnswer>
AskNodes(const std::vector<Endpoint>& aNodes, const std::string& aPath);

/** Statuses of all nodes, and those that gave none with the reason. */
struct NodeStatuses
{
  std::vector<NodeStatus> mStatuses;
  std::vector<std::string> mSilent;
};

NodeStatuses
FetchStatuses(const std::vector<Endpoint>& aNodes);

/** Prints the nodes without an answer on standard error.
 * @return kExitBad if there is one, else kExitGood. */
int
PrintSilent(const std::vector<std::string>& aSilent);

} // namespace medlarkeel
