#include "subsetselector.h"

#include "rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <numeric>
#include <utility>

namespace medlarkeel {

namespace {

/** Agents of one zone and how many of them each entry selects. */
struct ZoneStratum
{
  std::vector<InstanceId> mAgents;
  std::size_t mQuota = 0;
  /** What the quota lost by rounding down; times the number of agents. */
  std::size_t mRemainder = 0;
};

std::vector<ZoneStratum>
Stratify(const SubsetInput& aInput)
{
  std::map<ZoneName, ZoneStratum> byZone;
  for (const SubsetAgent& agent : aInput.mAgents) {
    byZone[agent.mZone].mAgents.push_back(agent.mId);
  }
  std::vector<ZoneStratum> strata;
  for (auto& [zone, stratum] : byZone) {
    std::sort(stratum.mAgents.begin(), stratum.mAgents.end());
    strata.push_back(std::move(stratum));
  }
  return strata;
}

/** Shares the size over the zones by the largest remainder. */
void
AssignQuotas(std::vector<ZoneStratum>& aStrata,
             std::size_t aSize,
             std::size_t aAgentCount)
{
  std::size_t given = 0;
  for (ZoneStratum& stratum : aStrata) {
    const std::size_t product = aSize * stratum.mAgents.size();
    stratum.mQuota = product / aAgentCount;
    stratum.mRemainder = product % aAgentCount;
    given += stratum.mQuota;
  }
  std::vector<std::size_t> order(aStrata.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::stable_sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aStrata[aLeft].mRemainder > aStrata[aRight].mRemainder;
    });
  for (std::size_t index = 0; given < aSize; ++index, ++given) {
    ++aStrata[order[index]].mQuota;
  }
}

/** Selects from one zone for all entries in turn, up to the own entry. */
class StratumSelection
{
public:
  StratumSelection(const ZoneStratum& aStratum, std::size_t aEntryCount)
    : mStratum(aStratum)
    , mCover(aStratum.mAgents.size(), 0)
  {
    const std::size_t selections = aEntryCount * aStratum.mQuota;
    const std::size_t agents = aStratum.mAgents.size();
    mBound = (selections + agents - 1) / agents;
    for (const InstanceId& agent : aStratum.mAgents) {
      mHashes.push_back(HashText(agent.Text()));
    }
  }

  /** @return Indexes of the agents that the entry selects. */
  std::vector<std::size_t> SelectFor(std::uint64_t aEntryHash)
  {
    std::vector<std::size_t> order(mHashes.size());
    std::iota(order.begin(), order.end(), std::size_t{ 0 });
    std::vector<std::uint64_t> scores;
    scores.reserve(mHashes.size());
    for (const std::uint64_t hash : mHashes) {
      scores.push_back(RendezvousScore(aEntryHash, hash));
    }
    std::partial_sort(order.begin(),
                      order.begin() +
                        static_cast<std::ptrdiff_t>(mStratum.mQuota),
                      order.end(),
                      [&](std::size_t aLeft, std::size_t aRight) {
                        return Precedes(scores, aLeft, aRight);
                      });
    order.resize(mStratum.mQuota);
    for (const std::size_t index : order) {
      ++mCover[index];
    }
    return order;
  }

private:
  /** Agents below the bound by score; after these the least covered. */
  bool Precedes(const std::vector<std::uint64_t>& aScores,
                std::size_t aLeft,
                std::size_t aRight) const
  {
    const std::size_t leftExcess = Excess(aLeft);
    const std::size_t rightExcess = Excess(aRight);
    if (leftExcess != rightExcess) {
      return leftExcess < rightExcess;
    }
    return aScores[aLeft] > aScores[aRight];
  }

  std::size_t Excess(std::size_t aIndex) const
  {
    return mCover[aIndex] < mBound ? 0 : mCover[aIndex] - mBound + 1;
  }

  const ZoneStratum& mStratum;
  std::vector<std::size_t> mCover;
  std::vector<std::uint64_t> mHashes;
  std::size_t mBound = 0;
};

std::vector<InstanceId>
SortedEntries(const InstanceId& aSelf, const std::vector<InstanceId>& aEntries)
{
  std::vector<InstanceId> entries = aEntries;
  entries.push_back(aSelf);
  std::sort(entries.begin(), entries.end());
  entries.erase(std::unique(entries.begin(), entries.end()), entries.end());
  return entries;
}

std::vector<InstanceId>
SelectFromStratum(const ZoneStratum& aStratum,
                  const std::vector<InstanceId>& aEntries,
                  const InstanceId& aSelf)
{
  StratumSelection selection(aStratum, aEntries.size());
  for (const InstanceId& entry : aEntries) {
    const auto indexes = selection.SelectFor(HashText(entry.Text()));
    if (entry == aSelf) {
      std::vector<InstanceId> selected;
      selected.reserve(indexes.size());
      for (const std::size_t index : indexes) {
        selected.push_back(aStratum.mAgents[index]);
      }
      return selected;
    }
  }
  return {};
}

} // namespace

std::vector<InstanceId>
SelectSubset(const InstanceId& aSelf, const SubsetInput& aInput)
{
  std::vector<InstanceId> selected;
  if (aInput.mAgents.size() <= aInput.mSize) {
    for (const SubsetAgent& agent : aInput.mAgents) {
      selected.push_back(agent.mId);
    }
    std::sort(selected.begin(), selected.end());
    return selected;
  }
  std::vector<ZoneStratum> strata = Stratify(aInput);
  AssignQuotas(strata, aInput.mSize, aInput.mAgents.size());
  const std::vector<InstanceId> entries = SortedEntries(aSelf, aInput.mEntries);
  for (const ZoneStratum& stratum : strata) {
    const auto part = SelectFromStratum(stratum, entries, aSelf);
    selected.insert(selected.end(), part.begin(), part.end());
  }
  std::sort(selected.begin(), selected.end());
  return selected;
}

} // namespace medlarkeel
