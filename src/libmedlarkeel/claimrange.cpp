#include "claimrange.h"

namespace medlarkeel {

RangeKey
ClaimRange(const ClaimKey& aKey)
{
  return RangeKeyOf(aKey.mTeam.Text() + "/" + aKey.mKey.Text());
}

} // namespace medlarkeel
