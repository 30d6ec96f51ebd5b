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
  /** One quota per entry, in the order of the entries. */
  std::vector<std::size_t> mQuotas;
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

/**
 * Shares the size over the zones in proportion to their agents. What doesn't
 * divide evenly moves on from entry to entry, so that over all entries each
 * zone gets its exact proportion.
 */
void
AssignQuotas(std::vector<ZoneStratum>& aStrata,
             std::size_t aSize,
             std::size_t aAgentCount,
             std::size_t aEntryCount)
{
  for (std::size_t entry = 0; entry < aEntryCount; ++entry) {
    const std::size_t offset = aAgentCount * entry / aEntryCount;
    std::size_t agentsBefore = 0;
    for (ZoneStratum& stratum : aStrata) {
      const std::size_t agentsAfter = agentsBefore + stratum.mAgents.size();
      const std::size_t from = (aSize * agentsBefore + offset) / aAgentCount;
      const std::size_t to = (aSize * agentsAfter + offset) / aAgentCount;
      stratum.mQuotas.push_back(to - from);
      agentsBefore = agentsAfter;
    }
  }
}

/** Selects from one zone for all entries in turn, up to the own entry. */
class StratumSelection
{
public:
  explicit StratumSelection(const ZoneStratum& aStratum)
    : mCover(aStratum.mAgents.size(), 0)
  {
    const std::size_t selections = std::accumulate(
      aStratum.mQuotas.begin(), aStratum.mQuotas.end(), std::size_t{ 0 });
    mBound = selections / aStratum.mAgents.size();
    for (const InstanceId& agent : aStratum.mAgents) {
      mHashes.push_back(HashText(agent.Text()));
    }
  }

  /** @return Indexes of the agents that the entry selects. */
  std::vector<std::size_t> SelectFor(std::uint64_t aEntryHash,
                                     std::size_t aQuota)
  {
    std::vector<std::size_t> order(mHashes.size());
    std::iota(order.begin(), order.end(), std::size_t{ 0 });
    std::vector<std::uint64_t> scores;
    scores.reserve(mHashes.size());
    for (const std::uint64_t hash : mHashes) {
      scores.push_back(RendezvousScore(aEntryHash, hash));
    }
    std::partial_sort(order.begin(),
                      order.begin() + static_cast<std::ptrdiff_t>(aQuota),
                      order.end(),
                      [&](std::size_t aLeft, std::size_t aRight) {
                        return Precedes(scores, aLeft, aRight);
                      });
    order.resize(aQuota);
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
  StratumSelection selection(aStratum);
  for (std::size_t entry = 0; entry < aEntries.size(); ++entry) {
    const auto indexes = selection.SelectFor(HashText(aEntries[entry].Text()),
                                             aStratum.mQuotas[entry]);
    if (aEntries[entry] == aSelf) {
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
  const std::vector<InstanceId> entries = SortedEntries(aSelf, aInput.mEntries);
  AssignQuotas(strata, aInput.mSize, aInput.mAgents.size(), entries.size());
  for (const ZoneStratum& stratum : strata) {
    const auto part = SelectFromStratum(stratum, entries, aSelf);
    selected.insert(selected.end(), part.begin(), part.end());
  }
  std::sort(selected.begin(), selected.end());
  return selected;
}

} // namespace medlarkeel
