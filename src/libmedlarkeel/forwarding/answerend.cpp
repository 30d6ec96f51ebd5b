#include "answerend.h"

#include <algorithm>

namespace medlarkeel {

namespace {

std::optional<AnswerFault>
FindTransferFault(TransferEnd aEnd)
{
  switch (aEnd) {
    case TransferEnd::Length:
    case TransferEnd::LastChunk:
    case TransferEnd::Close:
      return std::nullopt;
    case TransferEnd::CloseBeforeHead:
      return AnswerFault::NoAnswer;
    case TransferEnd::CloseInHead:
      return AnswerFault::EndInHead;
    case TransferEnd::CloseInBody:
      return AnswerFault::EndInBody;
    case TransferEnd::Reset:
      return AnswerFault::Reset;
  }
  return AnswerFault::Reset;
}

char
LowerCase(char aCharacter)
{
  const bool isUpper = aCharacter >= 'A' && aCharacter <= 'Z';
  return isUpper ? static_cast<char>(aCharacter - 'A' + 'a') : aCharacter;
}

/** @return The type without blanks and parameters. */
std::string_view
TypeOf(std::string_view aContentType)
{
  constexpr std::string_view kBlanks = " \t";
  aContentType.remove_prefix(
    std::min(aContentType.find_first_not_of(kBlanks), aContentType.size()));
  return aContentType.substr(0, aContentType.find_first_of("; \t"));
}

bool
IsEventStreamType(std::string_view aType)
{
  constexpr std::string_view kType = "text/event-stream";
  return std::equal(
    aType.begin(),
    aType.end(),
    kType.begin(),
    kType.end(),
    [](char aLeft, char aRight) { return LowerCase(aLeft) == aRight; });
}

} // namespace

const char*
TransferEndName(TransferEnd aEnd)
{
  switch (aEnd) {
    case TransferEnd::Length:
      return "length";
    case TransferEnd::LastChunk:
      return "last-chunk";
    case TransferEnd::Close:
      return "close";
    case TransferEnd::CloseBeforeHead:
      return "close-before-head";
    case TransferEnd::CloseInHead:
      return "close-in-head";
    case TransferEnd::CloseInBody:
      return "close-in-body";
    case TransferEnd::Reset:
      return "reset";
  }
  return "unknown";
}

const char*
AnswerFaultName(AnswerFault aFault)
{
  switch (aFault) {
    case AnswerFault::NoAnswer:
      return "no-answer";
    case AnswerFault::EndInHead:
      return "end-in-head";
    case AnswerFault::EndInBody:
      return "end-in-body";
    case AnswerFault::Reset:
      return "reset";
    case AnswerFault::EndInsideEvent:
      return "end-inside-event";
    case AnswerFault::EndBeforeFirstEvent:
      return "end-before-first-event";
    case AnswerFault::ServerEnded:
      return "server-ended";
    case AnswerFault::EventOutOfOrder:
      return "event-out-of-order";
    case AnswerFault::InvalidHead:
      return "invalid-head";
    case AnswerFault::InvalidBody:
      return "invalid-body";
    case AnswerFault::HeadTooLarge:
      return "head-too-large";
    case AnswerFault::BodyTooLarge:
      return "body-too-large";
    case AnswerFault::EventTooLarge:
      return "event-too-large";
    case AnswerFault::NoRequestId:
      return "no-request-id";
    case AnswerFault::OtherAnswers:
      return "other-answers";
    case AnswerFault::NotAStream:
      return "not-a-stream";
    case AnswerFault::UnstatedRefusal:
      return "unstated-refusal";
  }
  return "unknown";
}

std::optional<AnswerFault>
FindEndFault(TransferEnd aEnd, const EventFramer* aEvents)
{
  if (const auto fault = FindTransferFault(aEnd)) {
    return fault;
  }
  if (aEvents == nullptr) {
    return std::nullopt;
  }
  if (aEvents->HasPartialEvent()) {
    return AnswerFault::EndInsideEvent;
  }
  if (aEnd == TransferEnd::Close && !aEvents->HasEvents()) {
    return AnswerFault::EndBeforeFirstEvent;
  }
  return std::nullopt;
}

bool
NeedsProcess(TransferEnd aEnd)
{
  return aEnd == TransferEnd::Close;
}

StreamType
ClassifyContentTypes(std::string_view aContentTypes)
{
  std::size_t types = 0;
  std::size_t streams = 0;
  while (!aContentTypes.empty()) {
    const std::size_t end =
      std::min(aContentTypes.find(','), aContentTypes.size());
    const std::string_view type = TypeOf(aContentTypes.substr(0, end));
    types += type.empty() ? 0 : 1;
    streams += IsEventStreamType(type) ? 1 : 0;
    aContentTypes.remove_prefix(std::min(end + 1, aContentTypes.size()));
  }
  if (types == 0) {
    return StreamType::Missing;
  }
  if (streams == 0) {
    return StreamType::Other;
  }
  return streams == types ? StreamType::Stated : StreamType::Ambiguous;
}

} // namespace medlarkeel
