#include "forwardingdocument.h"

namespace medlarkeel {

const ForwardRoute*
ForwardingDocument::FindRoute(std::string_view aHost,
                              std::string_view aPath) const
{
  const ForwardRoute* best = nullptr;
  for (const ForwardRoute& route : mRoutes) {
    const bool matches =
      route.mHost == aHost &&
      aPath.substr(0, route.mPathPrefix.size()) == route.mPathPrefix;
    if (matches && (best == nullptr ||
                    best->mPathPrefix.size() < route.mPathPrefix.size())) {
      best = &route;
    }
  }
  return best;
}

const ForwardTeam*
ForwardingDocument::FindTeam(const std::string& aKey) const
{
  const auto found = mKeys.find(aKey);
  return found == mKeys.end() ? nullptr : &mTeams[found->second];
}

} // namespace medlarkeel
