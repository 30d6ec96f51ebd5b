#pragma once

#include "httpmessage.h"
#include "requestrelay.h"

#include <memory>

namespace medlarkeel {

/**
 * Streams the answer of a relay to the caller. An answer that breaks off ends
 * with an error event and a reset connection.
 */
class RelaySource : public BodySource
{
public:
  explicit RelaySource(std::unique_ptr<RequestRelay> aRelay);

  Piece Next() override;

private:
  Piece KeepAlive();
  Piece ErrorEvent(const Refusal& aRefusal);

  std::unique_ptr<RequestRelay> mRelay;
  bool mAtEventBoundary = true;
  bool mFailed = false;
};

/**
 * Runs an admitted request up to the head of its answer, or to its end where
 * the answer isn't streamed.
 */
HttpResponse
RespondTo(RelayEnvironment aEnvironment, AdmittedRequest aRequest);

} // namespace medlarkeel
