#include "promptdescription.h"

#include <charconv>

namespace medlarkeel {

namespace {

/** Removes the first field, its separator and following blanks from aRest.
 * @return The field, without the separator. */
std::string_view
TakeField(std::string_view& aRest, char aSeparator)
{
  const std::size_t end = aRest.find(aSeparator);
  const std::string_view field = aRest.substr(0, end);
  aRest.remove_prefix(end == std::string_view::npos ? aRest.size() : end + 1);
  while (!aRest.empty() && aRest.front() == ' ') {
    aRest.remove_prefix(1);
  }
  return field;
}

template<typename Integer>
bool
ParseInteger(std::string_view aText, int aBase, Integer& aOut)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aOut, aBase);
  return result.ec == std::errc() && result.ptr == end;
}

} // namespace

std::uint64_t
PromptDescription::AffinityKey() const
{
  return mParts.size() < 2 ? 0 : mParts[mParts.size() - 2].mId;
}

double
PromptDescription::SharedTokens() const
{
  double tokens = 0.0;
  for (std::size_t i = 0; i + 1 < mParts.size(); ++i) {
    tokens += mParts[i].mTokens;
  }
  return tokens;
}

std::optional<PromptDescription>
ParsePromptDescription(std::string_view aParts, std::string_view aUsage)
{
  constexpr int kDecimal = 10;
  constexpr int kHexadecimal = 16;
  PromptDescription prompt;
  if (!ParseInteger(TakeField(aUsage, ','), kDecimal, prompt.mPromptTokens) ||
      !ParseInteger(aUsage, kDecimal, prompt.mMaximumOutputTokens)) {
    return std::nullopt;
  }
  while (!aParts.empty()) {
    std::string_view entry = TakeField(aParts, ',');
    PromptPart part;
    if (!ParseInteger(TakeField(entry, ':'), kHexadecimal, part.mId) ||
        !ParseInteger(entry, kDecimal, part.mTokens)) {
      return std::nullopt;
    }
    prompt.mParts.push_back(part);
  }
  return prompt;
}

} // namespace medlarkeel
