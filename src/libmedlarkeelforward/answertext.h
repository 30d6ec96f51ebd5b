#pragma once

#include "../libmedlarkeel/types.h"
#include "messageparser.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarkeel {

/** An answer that this process makes itself. */
struct OwnAnswer
{
  int mStatus = 0;
  /** What happened and why. */
  std::string mReason;
  /** When the caller should come back, if that helps. */
  std::optional<Milliseconds> mRetryAfter;
  /** The field that names the request, or an empty text. */
  std::string mRequestField;
  /** Whether the request is a HEAD, whose answer ends with the head. */
  bool mIsHeadOnly = false;
  /** Whether the connection goes on. */
  bool mKeepOpen = false;
};

/** @return The whole answer. */
std::string
TextOf(const OwnAnswer& aAnswer);

/** How the length of a body is told. */
enum class BodyFraming
{
  /** There is no body, and no field for one. */
  None,
  Length,
  Chunked,
  UntilClose
};

/**
 * @param aHead Head of a backend server's answer.
 * @param aFraming How the body follows.
 * @param aLength Length of the body, for BodyFraming::Length.
 * @param aKeepOpen Whether the connection goes on.
 * @return The head as it is passed on to the caller.
 */
std::string
ForwardedHead(const MessageHead& aHead,
              BodyFraming aFraming,
              std::size_t aLength,
              bool aKeepOpen);

/**
 * @param aHead Head of a backend server's answer.
 * @param aBody Its whole body.
 * @param aIsHeadOnly Whether the request is a HEAD.
 * @param aKeepOpen Whether the connection goes on.
 * @return The answer as it is passed on to the caller.
 */
std::string
WholeAnswer(const MessageHead& aHead,
            const std::string& aBody,
            bool aIsHeadOnly,
            bool aKeepOpen);

/** @return The bytes as one chunk; an empty text for no bytes. */
std::string
Chunk(std::string_view aBytes);

/** The end of a body in chunks. */
extern const std::string_view kLastChunk;

/** @return The number, or nothing when the text is no whole number from 0. */
std::optional<std::int64_t>
ParseWholeNumber(std::string_view aText);

/** @return Whether a server reads the text unchanged as the value of a header
 * field. */
bool
IsFieldValue(const std::string& aText);

/** @return Whether a field concerns one connection only. */
bool
IsConnectionField(std::string_view aName);

/** @return Names that the head declares as concerning one connection. */
std::vector<std::string>
DeclaredConnectionFields(const MessageHead& aHead);

} // namespace medlarkeel
