#include "relaysource.h"

#include "forwarding/answerend.h"
#include "refusalresponse.h"

#include <utility>

namespace medlarkeel {

namespace {

bool
EndsWithBlankLine(const std::string& aBytes)
{
  const std::size_t size = aBytes.size();
  return size >= 2 && aBytes[size - 1] == '\n' && aBytes[size - 2] == '\n';
}

HttpResponse
HeadOf(const RequestRelay& aRelay)
{
  HttpResponse response;
  response.mStatus = aRelay.Status();
  response.mHeaders["Content-Type"] = aRelay.ContentType();
  response.mHeaders["X-Request-Id"] = aRelay.Request().mId.Text();
  return response;
}

HttpResponse
CollectWhole(RequestRelay& aRelay)
{
  std::string body;
  for (;;) {
    RelayStep step = aRelay.Next();
    switch (step.mKind) {
      case RelayStep::Kind::Data:
        body += step.mData;
        break;
      case RelayStep::Kind::Finished: {
        HttpResponse response = HeadOf(aRelay);
        response.mBody = std::move(body);
        return response;
      }
      case RelayStep::Kind::Refused:
      case RelayStep::Kind::Aborted:
        return RefusalResponse(step.mRefusal, aRelay.Request().mId);
      default:
        break;
    }
  }
}

} // namespace

RelaySource::RelaySource(std::unique_ptr<RequestRelay> aRelay)
  : mRelay(std::move(aRelay))
{
}

Piece
RelaySource::Next()
{
  if (mFailed) {
    return Piece{ PieceKind::Failed, {} };
  }
  for (;;) {
    RelayStep step = mRelay->Next();
    switch (step.mKind) {
      case RelayStep::Kind::Data:
        mAtEventBoundary = EndsWithBlankLine(step.mData);
        return Piece{ PieceKind::Data, std::move(step.mData) };
      case RelayStep::Kind::KeepAlive:
        if (mAtEventBoundary) {
          return KeepAlive();
        }
        break;
      case RelayStep::Kind::Finished:
        return Piece{ PieceKind::End, {} };
      case RelayStep::Kind::Refused:
      case RelayStep::Kind::Aborted:
        return ErrorEvent(step.mRefusal);
      case RelayStep::Kind::Head:
        break;
    }
  }
}

Piece
RelaySource::KeepAlive()
{
  return Piece{ PieceKind::Data, ": keep-alive\n\n" };
}

Piece
RelaySource::ErrorEvent(const Refusal& aRefusal)
{
  mFailed = true;
  std::string event = mAtEventBoundary ? "" : "\n\n";
  event += "event: error\ndata: ";
  event += ProblemText(aRefusal, mRelay->Request().mId);
  event += "\n\n";
  return Piece{ PieceKind::Data, std::move(event) };
}

HttpResponse
RespondTo(RelayEnvironment aEnvironment, AdmittedRequest aRequest)
{
  auto relay =
    std::make_unique<RequestRelay>(aEnvironment, std::move(aRequest));
  for (;;) {
    const RelayStep step = relay->Next();
    if (step.mKind == RelayStep::Kind::Refused ||
        step.mKind == RelayStep::Kind::Aborted) {
      return RefusalResponse(step.mRefusal, relay->Request().mId);
    }
    if (step.mKind == RelayStep::Kind::Head) {
      break;
    }
  }
  if (ClassifyContentTypes(relay->ContentType()) != StreamType::Stated) {
    return CollectWhole(*relay);
  }
  HttpResponse response = HeadOf(*relay);
  response.mHeaders["Cache-Control"] = "no-store";
  response.mStream = std::make_unique<RelaySource>(std::move(relay));
  return response;
}

} // namespace medlarkeel
