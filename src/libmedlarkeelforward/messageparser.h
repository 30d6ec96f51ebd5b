#pragma once

#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarkeel {

using HeaderField = std::pair<std::string, std::string>;

/** First line and header fields of a request or an answer. */
struct MessageHead
{
  std::string mMethod;
  std::string mTarget;
  int mStatus = 0;
  std::string mReason;
  /** 10 or 11. */
  int mVersion = 11;
  std::vector<HeaderField> mFields;

  /** @return The first field of that name in any case, or nothing. */
  const std::string* Find(std::string_view aName) const;

  /** @return The values of all fields of that name in any case, separated by
   * commas. */
  std::string FindAll(std::string_view aName) const;
};

/** @return Whether two field names are the same but for their case. */
bool
SameFieldName(std::string_view aLeft, std::string_view aRight);

/**
 * Checks what the parser accepts but two parties may read differently: folded
 * fields, bare line ends, spaces in names, control characters, repeated fields
 * that must stand alone, transfer codings other than one "chunked".
 *
 * @param aHead The head as received, up to and with its empty line.
 * @return What is wrong, or an empty text.
 */
std::string_view
FindHeadFault(std::string_view aHead);

/** @return The size of a complete head in the bytes, or nothing. */
std::optional<std::size_t>
FindHeadEnd(std::string_view aBytes);

/** Collects the head and hands out the body of one message as it arrives. */
template<bool IsRequest>
class MessageParser : public boost::beast::http::basic_parser<IsRequest>
{
public:
  MessageParser()
  {
    this->eager(true);
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->header_limit(kHeaderLimitBytes);
  }

  MessageHead& Head() { return mHead; }
  const MessageHead& Head() const { return mHead; }

  /** @return Body bytes that arrived since the last call. */
  std::string TakeBody() { return std::exchange(mBody, std::string()); }

  const std::string& Body() const { return mBody; }

  /** @return Bytes that are held, those of the head included. */
  std::size_t HeldBytes() const { return mHeadBytes + mBody.size(); }

  /** @return Bytes of the body up to the end of the chunk that has begun, or
   * those that have arrived if there are no chunks. */
  std::uint64_t AnnouncedBytes() const
  {
    return this->chunked() ? mChunkBytes : mBody.size();
  }

  /**
   * @param aSize Bytes that are there.
   * @return Whether they are too few for any first chunk with its end; Beast
   * asserts that a last chunk which is also the first has come whole.
   */
  bool LacksFirstChunk(std::size_t aSize) const
  {
    return this->is_header_done() && this->chunked() && !mHasChunk &&
           aSize < kShortestChunkBytes;
  }

private:
  /** Above every limit of a document; callers' limits are checked before. */
  static constexpr std::uint32_t kHeaderLimitBytes = 1U << 20U;

  /** Size of "0", two line ends included. */
  static constexpr std::size_t kShortestChunkBytes = 5;

  using Text = boost::beast::string_view;
  using Error = boost::beast::error_code;

  static std::string Copy(Text aText) { return { aText.data(), aText.size() }; }

  void on_request_impl(boost::beast::http::verb,
                       Text aMethod,
                       Text aTarget,
                       int aVersion,
                       Error&) override
  {
    mHead.mMethod = Copy(aMethod);
    mHead.mTarget = Copy(aTarget);
    mHead.mVersion = aVersion;
  }

  void on_response_impl(int aStatus,
                        Text aReason,
                        int aVersion,
                        Error&) override
  {
    mHead.mStatus = aStatus;
    mHead.mReason = Copy(aReason);
    mHead.mVersion = aVersion;
  }

  void on_field_impl(boost::beast::http::field,
                     Text aName,
                     Text aValue,
                     Error&) override
  {
    mHead.mFields.emplace_back(Copy(aName), Copy(aValue));
    mHeadBytes += sizeof(HeaderField) + aName.size() + aValue.size();
  }

  void on_header_impl(Error&) override {}

  void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override
  {
  }

  std::size_t on_body_impl(Text aBytes, Error&) override
  {
    mBody.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_chunk_header_impl(std::uint64_t aSize, Text, Error&) override
  {
    constexpr std::uint64_t kMost = std::numeric_limits<std::uint64_t>::max();
    mHasChunk = true;
    mChunkBytes = aSize > kMost - mChunkBytes ? kMost : mChunkBytes + aSize;
  }

  std::size_t on_chunk_body_impl(std::uint64_t, Text aBytes, Error&) override
  {
    mBody.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_finish_impl(Error&) override {}

  MessageHead mHead;
  std::string mBody;
  std::size_t mHeadBytes = 0;
  std::uint64_t mChunkBytes = 0;
  bool mHasChunk = false;
};

using RequestParser = MessageParser<true>;
using AnswerParser = MessageParser<false>;

/** Whether a parser needs more bytes, is done, or can't go on. */
enum class ParseState
{
  NeedMore,
  Done,
  Invalid
};

/**
 * Feeds bytes to a parser.
 *
 * @param aBytes What arrived; consumed bytes are erased.
 * @return Whether the message is complete, lacks bytes or is invalid.
 */
template<bool IsRequest>
ParseState
Feed(MessageParser<IsRequest>& aParser, std::string& aBytes)
{
  while (!aParser.is_done() && !aBytes.empty() &&
         !aParser.LacksFirstChunk(aBytes.size())) {
    boost::beast::error_code error;
    const std::size_t used = aParser.put(
      boost::asio::const_buffer(aBytes.data(), aBytes.size()), error);
    aBytes.erase(0, used);
    if (error == boost::beast::http::error::need_more ||
        (!error && used == 0)) {
      break;
    }
    if (error) {
      return ParseState::Invalid;
    }
  }
  return aParser.is_done() ? ParseState::Done : ParseState::NeedMore;
}

} // namespace medlarkeel
