#include "bootclock.h"

#include <ctime>

namespace medlarkeel {

namespace {

Microseconds
ReadClock(clockid_t aClock)
{
  timespec value{};
  clock_gettime(aClock, &value);
  return std::chrono::duration_cast<Microseconds>(
    std::chrono::seconds(value.tv_sec) +
    std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace

Timestamp
BootNow()
{
  return Timestamp(ReadClock(CLOCK_BOOTTIME));
}

Milliseconds
WallNow()
{
  return std::chrono::duration_cast<Milliseconds>(ReadClock(CLOCK_REALTIME));
}

Incarnation
NewIncarnation()
{
  const Microseconds wall = ReadClock(CLOCK_REALTIME);
  return Incarnation{ static_cast<std::uint64_t>(wall.count()) };
}

} // namespace medlarkeel
