#include "entryload.h"

#include "../rendezvous.h"

namespace medlarkeel {

std::uint32_t
PoolHash(const PoolName& aPool)
{
  return static_cast<std::uint32_t>(HashText(aPool.Text()));
}

EntryLoad&
EntryLoad::operator+=(const EntryLoad& aOther)
{
  for (const auto& [server, load] : aOther.mServers) {
    mServers[server] += load;
  }
  mDemand.mShortPromptDemand += aOther.mDemand.mShortPromptDemand;
  mDemand.mLongPromptDemand += aOther.mDemand.mLongPromptDemand;
  for (const auto& [pool, sample] : aOther.mPrefill) {
    mPrefill[pool] += sample;
  }
  return *this;
}

} // namespace medlarkeel
