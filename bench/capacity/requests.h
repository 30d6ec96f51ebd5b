#pragma once

#include "measure.h"

#include <vector>

namespace medlarkeel {

/** Cost of a claim and of its record, against the records kept. */
std::vector<MeasuredRow>
MeasureClaims();

/** Cost of the log lines of decisions, against the candidates considered. */
std::vector<MeasuredRow>
MeasureLog();

/** Cost of placing adapters and of one order, against the agents of a pool. */
std::vector<MeasuredRow>
MeasureOrders();

} // namespace medlarkeel
