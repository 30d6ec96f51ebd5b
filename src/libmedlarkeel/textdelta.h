#pragma once

#include <boost/outcome.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace medlarkeel {

enum class TextDeltaError
{
  /** The delta is damaged or was made against another base. */
  Unreadable,
  /** The text would be longer than the receiver takes. */
  TooLong
};

using TextDeltaResult = BOOST_OUTCOME_V2_NAMESPACE::result<
  std::string,
  TextDeltaError,
  BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/**
 * Encodes a text as its difference from a base, as a Zstandard frame that
 * refers to the base.
 *
 * @return The delta; empty if the library can't encode it.
 */
std::string
EncodeTextDelta(std::string_view aBase, std::string_view aText);

/**
 * Restores a text from its base. The frame carries no proof of the base, so the
 * caller compares the text's hash with the expected one.
 *
 * @param aLongest Longest text that is taken, in bytes.
 */
TextDeltaResult
ApplyTextDelta(std::string_view aBase,
               std::string_view aDelta,
               std::size_t aLongest);

} // namespace medlarkeel
