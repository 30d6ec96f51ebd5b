#include "commands.h"

#include "version.h"

#include <iostream>

namespace medlarkeel {

int
RunVersion(const Arguments& aArguments)
{
  if (!aArguments.empty()) {
    return FailUsage("version takes no arguments");
  }
  std::cout << "medlarkeelctl " << Version() << '\n';
  return kExitGood;
}

} // namespace medlarkeel
