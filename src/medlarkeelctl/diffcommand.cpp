#include "commands.h"

#include "documentdiff.h"
#include "textfile.h"

#include <iostream>

namespace medlarkeel {

namespace {

const char*
Mark(ChangeKind aKind)
{
  switch (aKind) {
    case ChangeKind::Added:
      return "+ ";
    case ChangeKind::Removed:
      return "- ";
    case ChangeKind::Warning:
      return "warning: ";
    case ChangeKind::Changed:
      break;
  }
  return "  ";
}

} // namespace

int
RunDiff(const Arguments& aArguments)
{
  if (aArguments.size() != 2) {
    return FailUsage("diff needs two files");
  }
  const auto before = ReadDocumentFile(aArguments[0]);
  const auto after = ReadDocumentFile(aArguments[1]);
  if (!before || !after) {
    return kExitUsage;
  }
  bool hasWarning = false;
  std::cout << "version " << before->mVersion << " to " << after->mVersion
            << '\n';
  for (const DocumentChange& change : DiffDocuments(*before, *after)) {
    std::cout << Mark(change.mKind) << change.mText << '\n';
    hasWarning = hasWarning || change.mKind == ChangeKind::Warning;
  }
  return hasWarning ? kExitBad : kExitGood;
}

} // namespace medlarkeel
