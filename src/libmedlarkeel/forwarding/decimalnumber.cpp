#include "decimalnumber.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Prevents numbers with many digits from becoming infinite. */
constexpr double kMaximumNumber = 1e15;

constexpr int kDecimalBase = 10;

bool
IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

} // namespace

std::optional<double>
ParseDecimalNumber(std::string_view aText)
{
  double number = 0.0;
  double digitWeight = 1.0;
  bool hasDigit = false;
  bool hasPoint = false;
  for (const char character : aText) {
    if (character == '.' && !hasPoint && hasDigit) {
      hasPoint = true;
      continue;
    }
    if (!IsDigit(character)) {
      return std::nullopt;
    }
    hasDigit = true;
    const int digit = character - '0';
    if (hasPoint) {
      digitWeight /= kDecimalBase;
      number += digitWeight * digit;
    } else {
      number = std::min(number * kDecimalBase + digit, kMaximumNumber);
    }
  }
  return hasDigit ? std::optional<double>(number) : std::nullopt;
}

} // namespace medlarkeel
