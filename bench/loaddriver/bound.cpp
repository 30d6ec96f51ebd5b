#include "bound.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <utility>
#include <vector>

namespace medlarkeel {

namespace {

using nlohmann::json;

/** One queue with strict tiers before the slots of all engines. */
class PooledQueue
{
public:
  PooledQueue(const Workload& aWorkload, const EngineCapacity& aCapacity)
    : mWorkload(aWorkload)
    , mCapacity(aCapacity)
    , mFreeAt(std::greater<>(), std::vector<double>(aCapacity.mSlots, 0))
  {
  }

  /** @return How many requests of each class meet their target. */
  std::map<std::size_t, std::size_t> Play(const std::set<std::size_t>& aClasses)
  {
    for (const Arrival& arrival : mWorkload.mArrivals) {
      if (!arrival.mEntitled || aClasses.count(arrival.mClass) == 0) {
        continue;
      }
      StartUntil(arrival.mAt);
      const int tier = mWorkload.mClasses[arrival.mClass].mTier;
      mWaiting[tier].push_back(&arrival);
      StartAt(arrival.mAt);
    }
    while (!mWaiting.empty()) {
      StartAt(mFreeAt.top());
    }
    return mMet;
  }

private:
  void StartUntil(double aEnd)
  {
    while (!mWaiting.empty() && mFreeAt.top() < aEnd) {
      StartAt(mFreeAt.top());
    }
  }

  /** Starts what waits while a slot is free at the given time. */
  void StartAt(double aNow)
  {
    while (!mWaiting.empty() && mFreeAt.top() <= aNow) {
      const auto tier = mWaiting.begin();
      const Arrival* first = tier->second.front();
      tier->second.pop_front();
      if (tier->second.empty()) {
        mWaiting.erase(tier);
      }
      if (aNow <= LatestStart(*first)) {
        ++mMet[first->mClass];
        mFreeAt.pop();
        mFreeAt.push(aNow + mCapacity.mRun);
      }
    }
  }

  double LatestStart(const Arrival& aArrival) const
  {
    const ClassLoad& load = mWorkload.mClasses[aArrival.mClass];
    if (load.mFirstByteTarget > 0) {
      return aArrival.mAt + load.mFirstByteTarget - mCapacity.mFirstToken;
    }
    return aArrival.mAt + load.mCompletionTarget - mCapacity.mRun;
  }

  const Workload& mWorkload;
  const EngineCapacity mCapacity;
  std::priority_queue<double, std::vector<double>, std::greater<>> mFreeAt;
  std::map<int, std::deque<const Arrival*>> mWaiting;
  std::map<std::size_t, std::size_t> mMet;
};

std::map<std::size_t, std::size_t>
CountEntitled(const Workload& aWorkload)
{
  std::map<std::size_t, std::size_t> result;
  for (const Arrival& arrival : aWorkload.mArrivals) {
    const bool isModel = !aWorkload.mClasses[arrival.mClass].mModel.empty();
    result[arrival.mClass] += isModel && arrival.mEntitled ? 1 : 0;
  }
  return result;
}

} // namespace

json
BestAttainment(const Workload& aWorkload, const EngineCapacity& aCapacity)
{
  std::set<std::size_t> models;
  const auto offered = CountEntitled(aWorkload);
  for (const auto& [index, count] : offered) {
    if (count > 0) {
      models.insert(index);
    }
  }
  const auto tiers = PooledQueue(aWorkload, aCapacity).Play(models);
  json result = json::object();
  for (const std::size_t index : models) {
    const auto alone = PooledQueue(aWorkload, aCapacity).Play({ index });
    const auto all = static_cast<double>(offered.at(index));
    const auto share = [&](const std::map<std::size_t, std::size_t>& aMet) {
      const auto met = aMet.find(index);
      return met == aMet.end() ? 0.0 : static_cast<double>(met->second) / all;
    };
    result[aWorkload.mClasses[index].mName] = { { "entitled", all },
                                                { "alone", share(alone) },
                                                { "tiers", share(tiers) } };
  }
  return result;
}

} // namespace medlarkeel
