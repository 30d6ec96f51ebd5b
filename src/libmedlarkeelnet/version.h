#pragma once

namespace medlarkeel {

/** @return The version of this build, for example "0.1.0". */
const char*
Version();

} // namespace medlarkeel
