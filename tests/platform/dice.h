#pragma once

#include "../../src/libmedlarkeel/types.h"

#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <random>

namespace medlarkeel {

/** @return The value of an environment variable, or the default. */
inline int
EnvironmentNumber(const char* aName, int aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? aDefault : std::atoi(value);
}

/** Draws numbers and choices from a seed. */
class Dice
{
public:
  explicit Dice(std::uint64_t aSeed)
    : mGenerator(aSeed)
  {
  }

  /** @return A number from aLow to aHigh, which may be the result. */
  int Between(int aLow, int aHigh)
  {
    return std::uniform_int_distribution<int>(aLow, aHigh)(mGenerator);
  }

  bool Chance(double aShare) { return Between(0, 999) < aShare * 1000; }

  Milliseconds Pause(int aLow, int aHigh)
  {
    return Milliseconds(Between(aLow, aHigh));
  }

  template<typename Values>
  auto& Pick(Values& aValues)
  {
    const int last = static_cast<int>(std::size(aValues)) - 1;
    return aValues[static_cast<std::size_t>(Between(0, last))];
  }

private:
  std::mt19937_64 mGenerator;
};

} // namespace medlarkeel
