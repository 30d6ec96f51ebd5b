#include "requestroute.h"

#include <algorithm>

namespace medlarkeel {

const ForwardRoute*
FindRequestRoute(const ForwardingDocument& aDocument, const MessageHead& aHead)
{
  const std::string* host = aHead.Find("Host");
  if (host == nullptr) {
    return nullptr;
  }
  const std::string_view name(host->data(),
                              std::min(host->find(':'), host->size()));
  const std::string_view path(
    aHead.mTarget.data(),
    std::min(aHead.mTarget.find('?'), aHead.mTarget.size()));
  return aDocument.FindRoute(name, path);
}

const ForwardTeam*
FindRequestTeam(const ForwardingDocument& aDocument,
                const MessageHead& aHead,
                const WireProtocol& aProtocol)
{
  const std::string* field = aHead.Find("Authorization");
  const std::string& scheme = aProtocol.mKeyScheme;
  if (field == nullptr || field->compare(0, scheme.size(), scheme) != 0) {
    return nullptr;
  }
  return aDocument.FindTeam(field->substr(scheme.size()));
}

} // namespace medlarkeel
