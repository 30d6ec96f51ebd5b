#pragma once

#include "eventframer.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace medlarkeel {

/** How the transfer of an answer ended. */
enum class TransferEnd
{
  /** The stated length was reached. */
  Length,
  /** The last chunk and its trailers arrived. */
  LastChunk,
  /** The server closed the connection of an answer that has neither a length
   * nor chunks. */
  Close,
  /** The connection was closed before any byte of the answer arrived. */
  CloseBeforeHead,
  /** The connection was closed inside the head. */
  CloseInHead,
  /** The connection was closed before the stated length or the last chunk. */
  CloseInBody,
  /** The connection was reset or failed. */
  Reset
};

/** @return The name of the end in logs. */
const char*
TransferEndName(TransferEnd aEnd);

/** Why an answer counts as broken. */
enum class AnswerFault
{
  NoAnswer,
  EndInHead,
  EndInBody,
  Reset,
  EndInsideEvent,
  /** A stream without a length or chunks ended before its first event. */
  EndBeforeFirstEvent,
  /** The process ended, or another one took its address, when an answer without
   * a length or chunks ended. */
  ServerEnded,
  /** The id of an event isn't greater than that of an event before it. */
  EventOutOfOrder,
  InvalidHead,
  InvalidBody,
  HeadTooLarge,
  BodyTooLarge,
  EventTooLarge,
  /** The answer doesn't repeat the id of the request. */
  NoRequestId,
  /** Too many or too large answers to other requests, or interim ones. */
  OtherAnswers,
  /** The run that should continue a stream answered with something else. */
  NotAStream,
  /** A refusal that doesn't state that the request hasn't run. */
  UnstatedRefusal
};

constexpr std::size_t kAnswerFaultCount =
  static_cast<std::size_t>(AnswerFault::UnstatedRefusal) + 1;

/** @return The name of the fault in logs and metrics. */
const char*
AnswerFaultName(AnswerFault aFault);

/**
 * Decides whether an answer is complete when its transfer has ended, for every
 * framing. Bodies are judged by AnswerBody, which uses this function.
 *
 * An event stream is complete if the transfer ended as its framing states and
 * no event is incomplete. Without a length or chunks, an end before the first
 * event is a fault, also of a run that continues a stream. An end between two
 * events can't be told from a complete stream by the bytes; NeedsProcess tells
 * whether the server's process has to run for the answer to be complete.
 *
 * @param aEnd How the transfer ended.
 * @param aEvents What arrived of an event stream; nullptr for other bodies.
 * @return The reason why the answer is broken, or nothing if it is complete.
 */
std::optional<AnswerFault>
FindEndFault(TransferEnd aEnd, const EventFramer* aEvents);

/** @return Whether an answer with that end is complete only if the process that
 * sent it still runs: the end of a process closes its connections too. */
bool
NeedsProcess(TransferEnd aEnd);

/** What the types of a body say of server-sent events. */
enum class StreamType
{
  Missing,
  /** All types are that of an event stream. */
  Stated,
  /** Only some types are. */
  Ambiguous,
  Other
};

/**
 * @param aContentTypes Values of the Content-Type fields, with or without
 * parameters, separated by commas.
 * @return Whether they are the type of an event stream.
 */
StreamType
ClassifyContentTypes(std::string_view aContentTypes);

} // namespace medlarkeel
