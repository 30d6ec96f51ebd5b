#pragma once

#include "instancelist.h"
#include "types.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarkeel {

/** The platform's list of entries and what a late reading of it shows. */
class LaggingList
{
public:
  /** Lists an entry, or changes its state. */
  void Put(const InstanceId& aId,
           InstanceState aState,
           const RegionName& aRegion,
           Timestamp aNow)
  {
    InstanceList list = Latest();
    Erase(list, aId);
    InstanceRecord record;
    record.mId = aId;
    record.mState = aState;
    record.mRegion = aRegion;
    list.mInstances.push_back(record);
    Store(std::move(list), aNow);
  }

  void Remove(const InstanceId& aId, Timestamp aNow)
  {
    InstanceList list = Latest();
    Erase(list, aId);
    Store(std::move(list), aNow);
  }

  /** @return The list as it was at the given time. */
  std::shared_ptr<const InstanceList> At(Timestamp aTime) const
  {
    const auto after = mVersions.upper_bound(aTime);
    return after == mVersions.begin() ? std::make_shared<InstanceList>()
                                      : std::prev(after)->second;
  }

  InstanceList Latest() const
  {
    return mVersions.empty() ? InstanceList() : *mVersions.rbegin()->second;
  }

private:
  static void Erase(InstanceList& aList, const InstanceId& aId)
  {
    auto& records = aList.mInstances;
    records.erase(std::remove_if(records.begin(),
                                 records.end(),
                                 [&](const InstanceRecord& aRecord) {
                                   return aRecord.mId == aId;
                                 }),
                  records.end());
  }

  void Store(InstanceList&& aList, Timestamp aNow)
  {
    ++aList.mRevision;
    mVersions[aNow] = std::make_shared<InstanceList>(std::move(aList));
  }

  std::map<Timestamp, std::shared_ptr<const InstanceList>> mVersions;
};

} // namespace medlarkeel
