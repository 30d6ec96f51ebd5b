#pragma once

#include "types.h"

#include <cstdint>

namespace medlarkeel {

/** @return Time since boot, suspension included. */
Timestamp
BootNow();

/** @return Wall clock time since the epoch. */
Milliseconds
WallNow();

/** @return An incarnation for a process that starts now. */
Incarnation
NewIncarnation();

} // namespace medlarkeel
