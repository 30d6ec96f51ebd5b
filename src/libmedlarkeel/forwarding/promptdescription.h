#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace medlarkeel {

/** A part of a prompt, which other prompts may share. */
struct PromptPart
{
  std::uint64_t mId = 0;
  std::uint32_t mTokens = 0;
};

/** Describes the prompt of a request, as stated by the client. */
struct PromptDescription
{
  std::vector<PromptPart> mParts;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mMaximumOutputTokens = 0;

  /** @return Id of the last shared part, which is the last part but one; 0 if
   * there are fewer than two parts. */
  std::uint64_t AffinityKey() const;

  /** @return Tokens of all parts but the last one. */
  double SharedTokens() const;
};

/**
 * Parses the description of a prompt.
 *
 * @param aParts Comma-separated list of "ID:TOKENS", with hexadecimal ids.
 * @param aUsage Prompt tokens and maximum output tokens, separated by a comma.
 * @return The description, or nothing if a text is malformed.
 */
std::optional<PromptDescription>
ParsePromptDescription(std::string_view aParts, std::string_view aUsage);

} // namespace medlarkeel
