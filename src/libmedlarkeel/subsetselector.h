#pragma once

#include "types.h"

#include <cstddef>
#include <vector>

namespace medlarkeel {

/** An agent as the subset selection sees it. */
struct SubsetAgent
{
  InstanceId mId;
  ZoneName mZone;
};

/** What one selection is made from; the same at every entry of the group. */
struct SubsetInput
{
  /** Entries that share the agents, in any order. */
  std::vector<InstanceId> mEntries;
  /** Agents of one pool that may be selected, in any order. */
  std::vector<SubsetAgent> mAgents;
  /** Agents that each entry selects. */
  std::size_t mSize = 0;
};

/**
 * Selects the agents that one entry keeps channels to: from each zone a part
 * in proportion to its agents, by rendezvous hashing with a bound on how many
 * entries select the same agent. Every entry computes the selections of all,
 * so entries that act on the same input cover the agents evenly without a
 * message.
 *
 * @param aSelf The entry whose selection is wanted; added to the entries when
 *        it is missing there.
 * @param aInput Entries, agents and size.
 * @return The selected agents in ascending order; all agents when there are no
 *         more than aInput.mSize.
 */
std::vector<InstanceId>
SelectSubset(const InstanceId& aSelf, const SubsetInput& aInput);

} // namespace medlarkeel
