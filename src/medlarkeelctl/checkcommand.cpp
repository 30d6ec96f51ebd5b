#include "commands.h"

#include "settings.h"
#include "textfile.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_bool(settings, false, "check settings of a process, not documents");

namespace medlarkeel {

namespace {

bool
CheckDocument(const std::string& aName)
{
  const auto document = ReadDocumentFile(aName);
  if (!document) {
    return false;
  }
  std::cout << aName << ": version " << document->mVersion << " of "
            << document->mEnvironment << " is right\n";
  return true;
}

bool
CheckSettingsFile(const std::string& aName)
{
  const std::optional<std::string> text = ReadTextFile(aName);
  if (!text) {
    return false;
  }
  const SettingsResult result = ParseSettings(*text);
  if (result.has_error()) {
    PrintProblems(aName, result.error());
    return false;
  }
  std::cout << aName << ": the settings of " << result.value().mInstanceId
            << " are right\n";
  return true;
}

} // namespace

int
RunCheck(const Arguments& aArguments)
{
  if (aArguments.empty()) {
    return FailUsage("check needs a file");
  }
  bool allRight = true;
  for (const std::string& name : aArguments) {
    const bool isRight =
      FLAGS_settings ? CheckSettingsFile(name) : CheckDocument(name);
    allRight = isRight && allRight;
  }
  return allRight ? kExitGood : kExitUsage;
}

} // namespace medlarkeel
