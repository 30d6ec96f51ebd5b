#include "documentview.h"

#include <utility>

namespace medlarkeel {

DocumentView::DocumentView(EnvironmentDocument aDocument)
  : mDocument(std::move(aDocument))
  , mKeys(mDocument)
  , mRoutes(mDocument)
{
}

const ServiceClass*
DocumentView::FindClass(const ClassName& aName) const
{
  for (const ServiceClass& serviceClass : mDocument.mClasses) {
    if (serviceClass.mName == aName) {
      return &serviceClass;
    }
  }
  return nullptr;
}

std::vector<TeamLimit>
DocumentView::Limits() const
{
  std::vector<TeamLimit> limits;
  limits.reserve(mDocument.mTeams.size() + 1);
  for (const Team& team : mDocument.mTeams) {
    limits.push_back(TeamLimit{ team.mName, team.mRate, team.mBurst });
  }
  limits.push_back(
    TeamLimit{ OpenTeam(), mDocument.mOpenRate, mDocument.mOpenBurst });
  return limits;
}

TeamName
DocumentView::OpenTeam()
{
  return TeamName("(open)");
}

} // namespace medlarkeel
