#include "entryload.h"

namespace medlarkeel {

EntryLoad&
EntryLoad::operator+=(const EntryLoad& aOther)
{
  for (const auto& [server, load] : aOther.mServers) {
    mServers[server] += load;
  }
  for (const auto& [group, load] : aOther.mPriorities) {
    mPriorities[group] += load;
  }
  mDemand.mShortPromptDemand += aOther.mDemand.mShortPromptDemand;
  mDemand.mLongPromptDemand += aOther.mDemand.mLongPromptDemand;
  for (const auto& [pool, sample] : aOther.mPrefill) {
    mPrefill[pool] += sample;
  }
  return *this;
}

} // namespace medlarkeel
