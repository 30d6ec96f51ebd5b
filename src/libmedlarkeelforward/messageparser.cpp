#include "messageparser.h"

#include <algorithm>
#include <array>

namespace medlarkeel {

namespace {

char
LowerCase(char aCharacter)
{
  const bool isUpper = aCharacter >= 'A' && aCharacter <= 'Z';
  return isUpper ? static_cast<char>(aCharacter - 'A' + 'a') : aCharacter;
}

bool
IsNameCharacter(char aCharacter)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  const char lower = LowerCase(aCharacter);
  return (lower >= 'a' && lower <= 'z') ||
         (aCharacter >= '0' && aCharacter <= '9') ||
         kMarks.find(aCharacter) != std::string_view::npos;
}

bool
IsControl(char aCharacter)
{
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto value = static_cast<unsigned char>(aCharacter);
  return (value < kSpace && aCharacter != '\t') || value == kDelete;
}

std::string_view
Trimmed(std::string_view aText)
{
  const auto isBlank = [](char aCharacter) {
    return aCharacter == ' ' || aCharacter == '\t';
  };
  while (!aText.empty() && isBlank(aText.front())) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && isBlank(aText.back())) {
    aText.remove_suffix(1);
  }
  return aText;
}

/** Fields whose meaning is unclear when they stand in a head twice. */
constexpr std::array<std::string_view, 4> kSingleFields = { "host",
                                                            "content-length",
                                                            "transfer-encoding",
                                                            "authorization" };

std::string_view
FindFieldFault(std::string_view aLine, std::array<int, 4>& aCounts)
{
  if (aLine.front() == ' ' || aLine.front() == '\t') {
    return "folded header field";
  }
  const std::size_t colon = aLine.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    return "header line without a name";
  }
  const std::string_view name = aLine.substr(0, colon);
  if (!std::all_of(name.begin(), name.end(), IsNameCharacter)) {
    return "invalid character in a header name";
  }
  const std::string_view value = Trimmed(aLine.substr(colon + 1));
  for (std::size_t i = 0; i < kSingleFields.size(); ++i) {
    if (SameFieldName(name, kSingleFields[i]) && ++aCounts[i] > 1) {
      return "repeated header field";
    }
  }
  const bool isDigits =
    std::all_of(value.begin(), value.end(), [](char aDigit) {
      return aDigit >= '0' && aDigit <= '9';
    });
  if (SameFieldName(name, "content-length") && (value.empty() || !isDigits)) {
    return "invalid content length";
  }
  if (SameFieldName(name, "transfer-encoding") &&
      !SameFieldName(value, "chunked")) {
    return "unsupported transfer coding";
  }
  return {};
}

} // namespace

bool
SameFieldName(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    [](char aOne, char aOther) {
                      return LowerCase(aOne) == LowerCase(aOther);
                    });
}

const std::string*
MessageHead::Find(std::string_view aName) const
{
  for (const HeaderField& field : mFields) {
    if (SameFieldName(field.first, aName)) {
      return &field.second;
    }
  }
  return nullptr;
}

std::string
MessageHead::FindAll(std::string_view aName) const
{
  std::string values;
  bool isFirst = true;
  for (const HeaderField& field : mFields) {
    if (SameFieldName(field.first, aName)) {
      values += (isFirst ? "" : ", ") + field.second;
      isFirst = false;
    }
  }
  return values;
}

std::string_view
FindHeadFault(std::string_view aHead)
{
  constexpr std::string_view kLineEnd = "\r\n";
  std::array<int, 4> counts{};
  bool isFirst = true;
  while (!aHead.empty()) {
    const std::size_t end = aHead.find(kLineEnd);
    const std::string_view line = aHead.substr(0, end);
    if (std::any_of(line.begin(), line.end(), IsControl)) {
      return "control character in the head";
    }
    if (line.empty() || end == std::string_view::npos) {
      break;
    }
    if (!isFirst) {
      const std::string_view fault = FindFieldFault(line, counts);
      if (!fault.empty()) {
        return fault;
      }
    }
    isFirst = false;
    aHead.remove_prefix(end + kLineEnd.size());
  }
  const bool hasBothLengths = counts[1] > 0 && counts[2] > 0;
  return hasBothLengths ? "both a length and a transfer coding"
                        : std::string_view();
}

std::optional<std::size_t>
FindHeadEnd(std::string_view aBytes)
{
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  const std::size_t end = aBytes.find(kHeadEnd);
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  return end + kHeadEnd.size();
}

} // namespace medlarkeel
