#include "entryload.h"

namespace medlarkeel {

EntryLoad&
EntryLoad::operator+=(const EntryLoad& aOther)
{
  for (const auto& [server, load] : aOther.mServers) {
    mServers[server] += load;
  }
  mDemand.mShortPromptDemand += aOther.mDemand.mShortPromptDemand;
  mDemand.mLongPromptDemand += aOther.mDemand.mLongPromptDemand;
  return *this;
}

} // namespace medlarkeel
