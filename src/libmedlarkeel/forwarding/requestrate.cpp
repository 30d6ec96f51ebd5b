#include "requestrate.h"

#include "decimalnumber.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Requests per second. */
constexpr double kMaximumRate = 1e6;

} // namespace

std::optional<RequestRate>
ParseRequestRate(std::string_view aText)
{
  const std::optional<double> number = ParseDecimalNumber(aText);
  if (!number) {
    return std::nullopt;
  }
  return RequestRate{ std::clamp(
    *number, kMinimumRequestRate.mPerSecond, kMaximumRate) };
}

} // namespace medlarkeel
