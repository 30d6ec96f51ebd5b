#pragma once

#include "measure.h"

#include <vector>

namespace medlarkeel {

/** Exchanges of configuration and the way of one change, against the
 *  processes. */
std::vector<MeasuredRow>
MeasureGossip();

/** Bytes of one control message, by what it carries. */
std::vector<MeasuredRow>
MeasureMessages();

/** Cost of one reading of the platform's list, against the instances. */
std::vector<MeasuredRow>
MeasureLists();

} // namespace medlarkeel
