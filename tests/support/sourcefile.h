#pragma once

#include <string>

namespace medlarkeel {

/** @return The text of one of the project's files, named from its root. */
std::string
SourceFile(const std::string& aName);

} // namespace medlarkeel
