#pragma once

#include "types.h"

#include <cstdint>
#include <string_view>

namespace medlarkeel {

/**
 * Hashes a text; the same on every machine and in every run.
 *
 * @param aText The bytes to hash.
 * @param aSeed Separates uses of the hash from each other.
 * @return A 64-bit hash.
 */
std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed = 0);

/**
 * Mixes two hashes into a rendezvous score: for one key, the node with the
 * highest score owns it.
 *
 * @param aKey Hash of the key.
 * @param aNode Hash of the node's identifier.
 * @return The score of the node for the key.
 */
std::uint64_t
RendezvousScore(std::uint64_t aKey, std::uint64_t aNode);

} // namespace medlarkeel
