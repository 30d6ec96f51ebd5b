#pragma once

#include "environmentdocument.h"
#include "jsonreader.h"

namespace medlarkeel {

/**
 * Checks what no single value of a document shows: references, duplicates and
 * values that contradict each other.
 *
 * @param aDocument A document whose items stand where the JSON text has them.
 * @param aProblems Receives every mistake found.
 */
void
CheckReferences(const EnvironmentDocument& aDocument, ProblemList& aProblems);

} // namespace medlarkeel
