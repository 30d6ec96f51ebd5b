#include "answertext.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace medlarkeel {

const std::string_view kLastChunk = "0\r\n\r\n";

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

std::string
StatusLine(int aStatus, const std::string& aReason)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " " + aReason + "\r\n";
}

std::string
StandardReason(int aStatus)
{
  const auto text = boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(static_cast<unsigned>(aStatus)));
  return { text.data(), text.size() };
}

std::string
SecondsText(Milliseconds aTime)
{
  constexpr double kMillisecondsPerSecond = 1000.0;
  std::array<char, 32> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.3f",
                static_cast<double>(aTime.count()) / kMillisecondsPerSecond);
  return text.data();
}

} // namespace

std::string
TextOf(const OwnAnswer& aAnswer)
{
  const std::string body = nlohmann::json{
    { "status", aAnswer.mStatus }, { "detail", aAnswer.mReason }
  }.dump();
  std::string text =
    StatusLine(aAnswer.mStatus, StandardReason(aAnswer.mStatus));
  text += "Content-Type: application/problem+json\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (aAnswer.mRetryAfter) {
    text += "Retry-After: " + SecondsText(*aAnswer.mRetryAfter) + "\r\n";
  }
  text += aAnswer.mRequestField;
  if (!aAnswer.mKeepOpen) {
    text += "Connection: close\r\n";
  }
  text += kLineEnd;
  return aAnswer.mIsHeadOnly ? text : text + body;
}

std::optional<std::int64_t>
ParseWholeNumber(std::string_view aText)
{
  std::int64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || value < 0) {
    return std::nullopt;
  }
  return value;
}

bool
IsFieldValue(const std::string& aText)
{
  constexpr unsigned char kFirstVisible = 0x20;
  constexpr unsigned char kDelete = 0x7F;
  const bool hasControls =
    std::any_of(aText.begin(), aText.end(), [](char aCharacter) {
      const auto byte = static_cast<unsigned char>(aCharacter);
      return byte < kFirstVisible || byte == kDelete;
    });
  return !hasControls && !aText.empty() && aText.front() != ' ' &&
         aText.back() != ' ';
}

bool
IsConnectionField(std::string_view aName)
{
  static constexpr std::array<std::string_view, 9> kNames = {
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "proxy-authorization",
    "proxy-connection"
  };
  return std::any_of(
    kNames.begin(), kNames.end(), [&](std::string_view aKnown) {
      return SameFieldName(aName, aKnown);
    });
}

std::vector<std::string>
DeclaredConnectionFields(const MessageHead& aHead)
{
  std::vector<std::string> names;
  for (const HeaderField& field : aHead.mFields) {
    if (!SameFieldName(field.first, "connection")) {
      continue;
    }
    std::string name;
    for (const char c : field.second + ",") {
      if (c == ',') {
        names.push_back(std::exchange(name, std::string()));
      } else if (c != ' ' && c != '\t') {
        name += c;
      }
    }
  }
  return names;
}

std::string
ForwardedHead(const MessageHead& aHead,
              BodyFraming aFraming,
              std::size_t aLength,
              bool aKeepOpen)
{
  const std::vector<std::string> declared = DeclaredConnectionFields(aHead);
  std::string text = StatusLine(
    aHead.mStatus,
    aHead.mReason.empty() ? StandardReason(aHead.mStatus) : aHead.mReason);
  for (const HeaderField& field : aHead.mFields) {
    const bool isDeclared = std::any_of(
      declared.begin(), declared.end(), [&](const std::string& aName) {
        return SameFieldName(field.first, aName);
      });
    if (!isDeclared && !IsConnectionField(field.first) &&
        !SameFieldName(field.first, "content-length")) {
      text += field.first + ": " + field.second + "\r\n";
    }
  }
  if (aFraming == BodyFraming::Length) {
    text += "Content-Length: " + std::to_string(aLength) + "\r\n";
  } else if (aFraming == BodyFraming::Chunked) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  if (!aKeepOpen) {
    text += "Connection: close\r\n";
  }
  text += kLineEnd;
  return text;
}

std::string
WholeAnswer(const MessageHead& aHead,
            const std::string& aBody,
            bool aIsHeadOnly,
            bool aKeepOpen)
{
  if (aHead.mStatus == kNoContent) {
    return ForwardedHead(aHead, BodyFraming::None, 0, aKeepOpen);
  }
  if (!aIsHeadOnly && aHead.mStatus != kNotModified) {
    return ForwardedHead(aHead, BodyFraming::Length, aBody.size(), aKeepOpen) +
           aBody;
  }
  // The length is that of the body which the server has left out.
  const std::string* field = aHead.Find("Content-Length");
  const std::optional<std::int64_t> length =
    field == nullptr ? std::nullopt : ParseWholeNumber(*field);
  return ForwardedHead(aHead,
                       length ? BodyFraming::Length : BodyFraming::None,
                       static_cast<std::size_t>(length.value_or(0)),
                       aKeepOpen);
}

std::string
Chunk(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return {};
  }
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  std::string text = size.data();
  text += aBytes;
  text += kLineEnd;
  return text;
}

} // namespace medlarkeel
