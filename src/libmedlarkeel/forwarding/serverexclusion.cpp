#include "serverexclusion.h"

namespace medlarkeel {

const char*
ServerExclusionName(ServerExclusion aExclusion)
{
  switch (aExclusion) {
    case ServerExclusion::Draining:
      return "draining";
    case ServerExclusion::Leaving:
      return "leaving";
    case ServerExclusion::ZoneOut:
      return "zone-out";
    case ServerExclusion::Withheld:
      return "withheld";
    case ServerExclusion::Misdirected:
      return "misdirected";
    case ServerExclusion::Removed:
      return "removed";
    case ServerExclusion::AlreadyTried:
      return "already-tried";
    case ServerExclusion::NoRequestsAsked:
      return "no-requests-asked";
    case ServerExclusion::PermitDenied:
      return "permit-denied";
    case ServerExclusion::ColdLimitReached:
      return "cold-limit-reached";
    case ServerExclusion::Avoided:
      return "avoided";
  }
  return "unknown";
}

} // namespace medlarkeel
