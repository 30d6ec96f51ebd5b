#pragma once

#include "report.h"

#include <string>

namespace medlarkeel {

/** @return The report as plain text. */
std::string
ReportText(const Report& aReport);

/** @return The report as JSON text. */
std::string
ReportJson(const Report& aReport);

/** @return The report as one HTML page without scripts or outside parts. */
std::string
ReportHtml(const Report& aReport);

/** @return A share as a percentage with two decimals, for example "99.90%". */
std::string
PercentText(double aShare);

/** @return UTC date and time of a wall clock reading in milliseconds. */
std::string
UtcText(std::uint64_t aUnixMs);

/** @return Age of a confirmation in seconds, or "never". */
std::string
ConfirmationText(const DocumentStatus& aDocument);

} // namespace medlarkeel
