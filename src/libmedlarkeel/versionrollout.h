#pragma once

#include "environmentdocument.h"
#include "instancelist.h"
#include "types.h"

#include <cstddef>
#include <string>

namespace medlarkeel {

/** Bounds of a rollout. */
struct RolloutLimits
{
  /** Agents of a pool that change their version at once. */
  std::size_t mWidth = 1;
  /** Longest time that one change takes, the drain included. */
  Milliseconds mTurn{ 180000 };
};

/**
 * Decides when one agent follows the document to another version. The agents
 * of a pool take turns in an order that each works out from the list, so no
 * messages are needed.
 */
class VersionRollout
{
public:
  explicit VersionRollout(InstanceId aOwn, RolloutLimits aLimits = {});

  /**
   * @param aObserved The version that the backend server has; empty if none.
   * @return The version that it is to have now; the one that it has while the
   *         document names none.
   */
  const std::string& Update(const Pool& aPool,
                            const InstanceList& aList,
                            const std::string& aObserved,
                            Timestamp aNow);

private:
  /** @return Time from the change of the document to the own turn. */
  Microseconds TurnAfter(const Pool& aPool, const InstanceList& aList) const;

  const InstanceId mOwn;
  const RolloutLimits mLimits;
  std::string mDesired;
  /** What the document asks for, and since when. */
  std::string mTarget;
  Timestamp mTargetSince{};
};

} // namespace medlarkeel
