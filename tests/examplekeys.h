#pragma once

#include <string>

namespace medlarkeel {

/**
 * The caller keys of the example documents; their secrets stand here only.
 *
 * @param aKeyId Id of a key in a document under examples/.
 * @return The key as a caller presents it.
 */
inline std::string
ExampleKey(const std::string& aKeyId)
{
  return "mk_" + aKeyId + "_only-for-tests-" + aKeyId;
}

} // namespace medlarkeel
