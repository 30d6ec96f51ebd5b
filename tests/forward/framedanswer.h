#pragma once

#include "forwardfixture.h"

namespace medlarkeel {

/** Framings of an answer. */
enum class Framing
{
  Close,
  Length,
  Chunks
};

constexpr Framing kFramings[] = { Framing::Close,
                                  Framing::Length,
                                  Framing::Chunks };

constexpr const char* kTwoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr const char* kOneEventAndAHalf = "id: 1\ndata: a\n\nid: 2\nda";

/** @return A whole 200 answer in the framing. */
std::string
FramedAnswer(const std::string& aRequest,
             Framing aFraming,
             const std::string& aBody,
             const std::string& aExtra = "Content-Type: text/event-stream\r\n");

/** Writes a whole answer in the framing and closes the connection in order. */
FakeBackend::Script
AnsweringInFraming(
  Framing aFraming,
  const std::string& aBody,
  const std::string& aExtra = "Content-Type: text/event-stream\r\n");

/** @return Answers that the entry counts as broken for that reason. */
std::uint64_t
BrokenAnswers(ForwardFixture& aFixture, AnswerFault aFault);

/** @return Whether a caller takes an answer for complete.
 *
 * @param aIsOldCaller The caller speaks HTTP/1.0, so that an orderly end of the
 * connection ends an answer without a length. */
bool
IsComplete(const SeenAnswer& aAnswer, bool aIsOldCaller);

/** @return A request in HTTP/1.0, whose callers know no chunks. */
std::string
OldRequestText(const std::string& aPath);

} // namespace medlarkeel
