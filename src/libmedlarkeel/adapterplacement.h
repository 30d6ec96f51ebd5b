#pragma once

#include "environmentdocument.h"
#include "instancelist.h"
#include "types.h"

#include <cstddef>
#include <map>
#include <set>

namespace medlarkeel {

/** Bounds of the placement of adapters. */
struct PlacementLimits
{
  /** Agents of a pool that hold an adapter, if there are as many. */
  std::size_t mCopies = 2;
  /** Time that a new claim on an adapter must last before it is loaded. */
  Milliseconds mSettle{ 10000 };
  /** Time that an adapter stays loaded after the claim has gone. */
  Milliseconds mHold{ 120000 };
};

/**
 * Ranks the agents of a pool for an adapter by rendezvous hashing.
 *
 * @return The agents that are to hold it, the same on every node that sees
 *         the same list.
 */
std::set<InstanceId>
AdapterHolders(const AdapterName& aAdapter,
               const PoolName& aPool,
               const InstanceList& aList,
               std::size_t aCopies);

/**
 * Decides which adapters one agent's backend server is to have. Loads and
 * unloads lag behind the list, so that an instance that comes and goes moves
 * nothing.
 */
class AdapterPlacement
{
public:
  explicit AdapterPlacement(InstanceId aOwn, PlacementLimits aLimits = {});

  /**
   * Takes what the backend server holds already, so that a restart of the
   * agent moves nothing.
   */
  void AdoptLoaded(const std::set<AdapterName>& aLoaded);

  /**
   * Takes the document and the list as they are now.
   *
   * @return The adapters that the backend server is to have.
   */
  const std::set<AdapterName>& Update(const Pool& aPool,
                                      const InstanceList& aList,
                                      Timestamp aNow);

private:
  bool IsClaimed(const AdapterName& aAdapter,
                 const Pool& aPool,
                 const InstanceList& aList) const;
  void FollowClaim(const AdapterName& aAdapter, bool aClaimed, Timestamp aNow);

  const InstanceId mOwn;
  const PlacementLimits mLimits;
  std::set<AdapterName> mDesired;
  /** Since when the claim on an adapter differs from what is desired. */
  std::map<AdapterName, Timestamp> mDiffersSince;
};

} // namespace medlarkeel
