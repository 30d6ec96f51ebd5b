#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace medlarkeel {

/** A part of a prompt that other prompts may share. */
struct PromptPart
{
  std::uint64_t mId = 0;
  std::uint32_t mTokens = 0;
};

/** The prompt of a request, as its caller describes it. */
struct PromptDescription
{
  std::vector<PromptPart> mParts;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mMostOutputTokens = 0;

  /** @return Id of the last part that other requests share, or 0. */
  std::uint64_t AffinityKey() const;
};

/**
 * Parses a prompt's description.
 *
 * @param aParts "ID:TOKENS" entries separated by commas, ids in hexadecimal.
 * @param aUsage Prompt tokens and most output tokens, separated by a comma.
 * @return The description, or nothing when a text can't be read.
 */
std::optional<PromptDescription>
ParsePromptDescription(std::string_view aParts, std::string_view aUsage);

} // namespace medlarkeel
