#pragma once

#include "../libmedlarkeel/forwarding/forwardingdocument.h"
#include "messageparser.h"
#include "wireprotocol.h"

namespace medlarkeel {

/** @return The route for a request's host and path, or null. */
const ForwardRoute*
FindRequestRoute(const ForwardingDocument& aDocument, const MessageHead& aHead);

/** @return The team whose key a request has, or null. */
const ForwardTeam*
FindRequestTeam(const ForwardingDocument& aDocument,
                const MessageHead& aHead,
                const WireProtocol& aProtocol);

} // namespace medlarkeel
