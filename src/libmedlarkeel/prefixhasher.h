#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace medlarkeel {

/** Bytes of prompt text in one block of the prefix hash. */
constexpr std::size_t kPrefixBlockBytes = 256;

/** Blocks of one prompt that are hashed; longer prompts are cut here. */
constexpr std::size_t kMaxPrefixBlocks = 128;

/**
 * Hashes a prompt by blocks. Each hash covers its block and all before it, so
 * two prompts share hash i only if they share the first (i + 1) blocks. A last
 * block that isn't full is left out.
 *
 * @param aPrompt The prompt text.
 * @param aScope Separates models and adapters, which don't share caches.
 * @return One hash per full block, in order.
 */
std::vector<std::uint64_t>
HashPrefixBlocks(std::string_view aPrompt, std::string_view aScope);

} // namespace medlarkeel
