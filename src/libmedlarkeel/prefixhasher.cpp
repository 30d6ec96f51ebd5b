#include "prefixhasher.h"

#include "rendezvous.h"

#include <algorithm>

namespace medlarkeel {

std::vector<std::uint64_t>
HashPrefixBlocks(std::string_view aPrompt, std::string_view aScope)
{
  const std::size_t count =
    std::min(aPrompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  std::vector<std::uint64_t> hashes;
  hashes.reserve(count);
  std::uint64_t chain = HashText(aScope);
  for (std::size_t index = 0; index < count; ++index) {
    chain = HashText(
      aPrompt.substr(index * kPrefixBlockBytes, kPrefixBlockBytes), chain);
    hashes.push_back(chain);
  }
  return hashes;
}

} // namespace medlarkeel
