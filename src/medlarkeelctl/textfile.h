#pragma once

#include "documentparser.h"

#include <optional>
#include <string>

namespace medlarkeel {

/** @return The file's bytes, or nothing when it can't be read. */
std::optional<std::string>
ReadTextFile(const std::string& aName);

/** Prints the problems of a file on standard error, one a line. */
void
PrintProblems(const std::string& aName,
              const std::vector<DocumentProblem>& aProblems);

/** @return The document of a file, or nothing after its mistakes were
 * printed. */
std::optional<EnvironmentDocument>
ReadDocumentFile(const std::string& aName);

} // namespace medlarkeel
