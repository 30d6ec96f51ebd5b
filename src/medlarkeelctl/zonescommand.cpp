#include "commands.h"

#include "nodes.h"

#include <iostream>
#include <map>

namespace medlarkeel {

namespace {

/** Nodes that act on each state of a zone. */
using NodesByState = std::map<std::string, std::vector<InstanceId>>;

std::map<ZoneName, NodesByState>
NodesByZone(const std::vector<NodeStatus>& aStatuses)
{
  std::map<ZoneName, NodesByState> zones;
  for (const NodeStatus& status : aStatuses) {
    for (const ZoneEntry& zone : status.mZones) {
      zones[zone.mName][ZoneStateText(zone.mState)].push_back(status.mId);
    }
  }
  return zones;
}

} // namespace

int
RunZones(const Arguments& aArguments)
{
  if (!aArguments.empty()) {
    return FailUsage("zones takes --nodes only");
  }
  const auto nodes = NodesFromFlags();
  if (!nodes) {
    return kExitUsage;
  }
  const NodeStatuses statuses = FetchStatuses(*nodes);
  bool nodesDiffer = false;
  for (const auto& [zone, states] : NodesByZone(statuses.mStatuses)) {
    nodesDiffer = nodesDiffer || states.size() > 1;
    for (const auto& [state, holders] : states) {
      std::cout << zone << "  " << state << "  on " << holders.size()
                << (holders.size() == 1 ? " node" : " nodes");
      for (const InstanceId& holder : holders) {
        std::cout << ' ' << holder;
      }
      std::cout << '\n';
    }
  }
  const int silent = PrintSilent(statuses.mSilent);
  return nodesDiffer ? kExitBad : silent;
}

} // namespace medlarkeel
