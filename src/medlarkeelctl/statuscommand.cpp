#include "commands.h"

#include "nodes.h"
#include "reportformat.h"

#include <iostream>

namespace medlarkeel {

namespace {

void
PrintStatus(const NodeStatus& aStatus)
{
  const DocumentStatus& document = aStatus.mDocument;
  std::cout << aStatus.mId << "  " << RoleText(aStatus.mRole) << "  "
            << aStatus.mRegion << '/' << aStatus.mZone << "  up "
            << aStatus.mUptime.count() / 1000 << " s  version "
            << document.mStamp.mVersion << " revision "
            << document.mStamp.mRevision << "  confirmed "
            << ConfirmationText(document);
  if (document.mRejectedRevision) {
    std::cout << "  refused revision " << *document.mRejectedRevision;
  }
  std::cout << '\n';
}

} // namespace

int
RunStatus(const Arguments& aArguments)
{
  if (!aArguments.empty()) {
    return FailUsage("status takes --nodes only");
  }
  const auto nodes = NodesFromFlags();
  if (!nodes) {
    return kExitUsage;
  }
  const NodeStatuses statuses = FetchStatuses(*nodes);
  for (const NodeStatus& status : statuses.mStatuses) {
    PrintStatus(status);
  }
  return PrintSilent(statuses.mSilent);
}

} // namespace medlarkeel
