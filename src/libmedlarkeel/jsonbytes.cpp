#include "jsonbytes.h"

#include <boost/locale/utf.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <iterator>

namespace medlarkeel {

namespace {

namespace utf = boost::locale::utf;
using Utf8 = utf::utf_traits<char>;
using Utf16 = utf::utf_traits<char16_t>;

/** Stands for a single surrogate that is no byte. The code points above it
 * stand for bytes; where a string has them itself, its bytes are replaced one
 * by one. */
constexpr utf::code_point kSubstitutes = 0x10FF00;

constexpr unsigned char kAsciiEnd = 0x80;
constexpr std::size_t kEscapeSize = 6;

void
Append(utf::code_point aCharacter, std::string& aText)
{
  Utf8::encode(aCharacter, std::back_inserter(aText));
}

bool
IsInvalid(utf::code_point aCharacter)
{
  return aCharacter == utf::illegal || aCharacter == utf::incomplete;
}

/** @return The UTF-16 unit of the escape that a text starts with, if any. */
std::optional<std::uint16_t>
EscapedUnit(std::string_view aText)
{
  constexpr std::size_t kPrefixSize = 2;
  constexpr int kHexadecimal = 16;
  if (aText.size() < kEscapeSize || aText[0] != '\\' || aText[1] != 'u') {
    return std::nullopt;
  }
  std::uint16_t unit = 0;
  const char* end = aText.data() + kEscapeSize;
  const auto result =
    std::from_chars(aText.data() + kPrefixSize, end, unit, kHexadecimal);
  return result.ec == std::errc() && result.ptr == end
           ? std::optional<std::uint16_t>(unit)
           : std::nullopt;
}

/** Copies JSON and replaces what isn't allowed. */
class ByteEscaper
{
public:
  explicit ByteEscaper(std::string_view aJson)
    : mRest(aJson)
  {
    mResult.reserve(aJson.size());
  }

  std::string Run()
  {
    while (!mRest.empty()) {
      const auto byte = static_cast<unsigned char>(mRest.front());
      if (byte == '\\') {
        TakeEscape();
      } else if (byte >= kAsciiEnd) {
        TakeSequence();
      } else if (mIsInString && byte < ' ') {
        TakeControl();
      } else {
        mIsInString = mIsInString != (byte == '"');
        Copy(1);
      }
    }
    return std::move(mResult);
  }

private:
  void Copy(std::size_t aSize)
  {
    mResult += mRest.substr(0, aSize);
    Skip(aSize);
  }

  void Skip(std::size_t aSize)
  {
    mRest.remove_prefix(std::min(aSize, mRest.size()));
  }

  void TakeEscape()
  {
    constexpr std::size_t kShortEscapeSize = 2;
    constexpr std::uint16_t kFirstEscapedByte = 0xDC80;
    constexpr std::uint16_t kLastEscapedByte = 0xDCFF;
    constexpr std::uint16_t kByteMask = 0xFF;
    const auto first = EscapedUnit(mRest);
    if (!first) {
      Copy(kShortEscapeSize);
      return;
    }
    const auto second = EscapedUnit(mRest.substr(kEscapeSize));
    const bool isPair = second && Utf16::is_first_surrogate(*first) &&
                        Utf16::is_second_surrogate(*second);
    const bool isSingle = !isPair && (Utf16::is_first_surrogate(*first) ||
                                      Utf16::is_second_surrogate(*first));
    const bool isSubstitute =
      isPair && Utf16::combine_surrogate(*first, *second) >= kSubstitutes;
    const std::size_t size = isPair ? 2 * kEscapeSize : kEscapeSize;
    if (isSingle && *first >= kFirstEscapedByte && *first <= kLastEscapedByte) {
      Append(kSubstitutes + (*first & kByteMask), mResult);
      Skip(size);
    } else if (isSingle || isSubstitute) {
      Append(kSubstitutes, mResult);
      Skip(size);
    } else {
      Copy(size);
    }
  }

  void TakeSequence()
  {
    const char* next = mRest.data();
    const utf::code_point character =
      Utf8::decode(next, mRest.data() + mRest.size());
    if (!IsInvalid(character) && character < kSubstitutes) {
      Copy(static_cast<std::size_t>(next - mRest.data()));
      return;
    }
    Append(kSubstitutes + static_cast<unsigned char>(mRest.front()), mResult);
    Skip(1);
  }

  void TakeControl()
  {
    constexpr std::string_view kDigits = "0123456789abcdef";
    constexpr unsigned kDigitBits = 4;
    constexpr unsigned kDigitMask = 0xF;
    const auto byte = static_cast<unsigned char>(mRest.front());
    mResult += "\\u00";
    mResult += kDigits[byte >> kDigitBits];
    mResult += kDigits[byte & kDigitMask];
    Skip(1);
  }

  std::string_view mRest;
  bool mIsInString = false;
  std::string mResult;
};

} // namespace

std::string
EscapeInvalidBytes(std::string_view aJson)
{
  return ByteEscaper(aJson).Run();
}

std::optional<std::string>
RestoreBytes(std::string_view aText)
{
  std::string bytes;
  bytes.reserve(aText.size());
  const char* next = aText.data();
  const char* end = next + aText.size();
  while (next != end) {
    const utf::code_point character = Utf8::decode(next, end);
    if (IsInvalid(character) || character == kSubstitutes) {
      return std::nullopt;
    }
    if (character > kSubstitutes) {
      bytes += static_cast<char>(character - kSubstitutes);
    } else {
      Append(character, bytes);
    }
  }
  return bytes;
}

bool
IsUtf8(std::string_view aText)
{
  const char* next = aText.data();
  const char* end = next + aText.size();
  while (next != end) {
    if (IsInvalid(Utf8::decode(next, end))) {
      return false;
    }
  }
  return true;
}

} // namespace medlarkeel
