#pragma once

#include "instancelist.h"
#include "types.h"

#include <string>
#include <vector>

namespace medlarkeel {

/**
 * Ranks the live agents of a pool for a subject by rendezvous hashing.
 *
 * @return The agents, first rank in front; the same on every node that sees
 *         the same instances, in whatever order.
 */
std::vector<InstanceId>
RankAgents(const std::string& aSubject,
           const PoolName& aPool,
           const InstanceList& aList);

} // namespace medlarkeel
