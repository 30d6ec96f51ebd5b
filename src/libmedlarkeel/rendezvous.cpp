#include "rendezvous.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>

namespace medlarkeel {

std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::uint64_t
RendezvousScore(std::uint64_t aKey, std::uint64_t aNode)
{
  const std::array<std::uint64_t, 2> pair{ aKey, aNode };
  return XXH3_64bits(pair.data(), sizeof(pair));
}

} // namespace medlarkeel
