#pragma once

#include "emulatedfleet.h"

#include <optional>

namespace medlarkeel {

/** A time in which requests were not served while less urgent ones began. */
struct OrderViolation
{
  double mFromMs = 0.0;
  std::size_t mClass = 0;
  /** Requests of the class that arrived in this time. */
  std::size_t mAsked = 0;
  /** Of those: not served. */
  std::size_t mUnserved = 0;
  std::uint64_t mUnservedTokens = 0;
  /** Prompt tokens of the less urgent requests that began in this time. */
  std::uint64_t mLessUrgentTokens = 0;
};

/**
 * Checks the order by urgency over all entries, as the platform's users do: in
 * no five seconds may ten requests of a class, and more than a twelfth of them,
 * be left unserved while less urgent ones of more than twice their size begin.
 * A team's tier decides, then the route's. Excused requests count neither as
 * asked nor as unserved.
 *
 * @return The first violation, or nothing.
 */
std::optional<OrderViolation>
FindOrderViolation(const FleetOutcome& aOutcome);

} // namespace medlarkeel
