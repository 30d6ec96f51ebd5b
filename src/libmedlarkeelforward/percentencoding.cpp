#include "percentencoding.h"

#include <charconv>

namespace medlarkeel {

namespace {

bool
IsUnreserved(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' ||
         aCharacter == '.' || aCharacter == '_' || aCharacter == '~';
}

} // namespace

std::string
EncodePercent(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr unsigned kDigitBits = 4;
  constexpr unsigned kDigitMask = 0xF;
  std::string encoded;
  encoded.reserve(aText.size());
  for (const char character : aText) {
    if (IsUnreserved(character)) {
      encoded += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += kDigits[byte >> kDigitBits];
    encoded += kDigits[byte & kDigitMask];
  }
  return encoded;
}

std::optional<std::string>
DecodePercent(std::string_view aText)
{
  constexpr std::size_t kEscapeSize = 3;
  constexpr int kHexadecimal = 16;
  std::string decoded;
  decoded.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded += aText[i];
      continue;
    }
    if (aText.size() - i < kEscapeSize) {
      return std::nullopt;
    }
    const char* end = aText.data() + i + kEscapeSize;
    unsigned char byte = 0;
    const auto result =
      std::from_chars(aText.data() + i + 1, end, byte, kHexadecimal);
    if (result.ec != std::errc() || result.ptr != end) {
      return std::nullopt;
    }
    decoded += static_cast<char>(byte);
    i += kEscapeSize - 1;
  }
  return decoded;
}

} // namespace medlarkeel
