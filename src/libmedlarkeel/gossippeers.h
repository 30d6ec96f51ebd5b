#pragma once

#include "instancelist.h"
#include "types.h"

#include <cstddef>
#include <vector>

namespace medlarkeel {

/**
 * Chooses the peers that one process exchanges configuration with: a fixed
 * number by rendezvous hashing, so that the peers of all processes together
 * form a random graph whose diameter grows with the logarithm of the fleet.
 * Most of them are in the own region, so that each region's part of the graph
 * holds together while regions are apart.
 *
 * @param aSelf The own instance.
 * @param aRegion The own region.
 * @param aList The platform's list.
 * @param aCount Peers wanted.
 * @return Live instances other than the own one, at most aCount.
 */
std::vector<InstanceRecord>
ChooseGossipPeers(const InstanceId& aSelf,
                  const RegionName& aRegion,
                  const InstanceList& aList,
                  std::size_t aCount);

} // namespace medlarkeel
