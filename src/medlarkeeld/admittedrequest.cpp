#include "admittedrequest.h"

#include "documentview.h"

namespace medlarkeel {

TeamName
AdmittedRequest::Team() const
{
  return mCaller ? mCaller->mTeam : DocumentView::OpenTeam();
}

} // namespace medlarkeel
