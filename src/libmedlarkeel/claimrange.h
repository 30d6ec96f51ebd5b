#pragma once

#include "claimtable.h"
#include "rangeownership.h"

namespace medlarkeel {

/** @return The range by which the owner of a claim is found, the same at
 *          entries and agents. */
RangeKey
ClaimRange(const ClaimKey& aKey);

} // namespace medlarkeel
