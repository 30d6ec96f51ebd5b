#include "../../tests/core/fleetfixture.h"
#include "../../tests/core/queuemodel.h"

#include "fleetview.h"
#include "replicachooser.h"

#include <malloc.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace medlarkeel {

namespace {

using Json = nlohmann::json;

const FleetSize kFleet{ 6, 3, 410, 2900, 11 };
const Timestamp kStart{ Seconds(1000) };
constexpr int kSeeds = 5;

/** @return Processor time of the process, in microseconds. */
double
ProcessorTime()
{
  return 1e6 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

/** Round robin without breakers and without the ejection of outliers. */
constexpr const char* kNaive = "round-robin without ejection";

/** A request that has to wait reserves at a second server as well. */
constexpr const char* kLateBinding = "affinity with a second reservation";

std::vector<std::string>
ComparedStrategies()
{
  std::vector<std::string> names = StrategyNames();
  names.erase(std::remove(names.begin(), names.end(), "key-owner"),
              names.end());
  names.emplace_back(kNaive);
  names.emplace_back(kLateBinding);
  return names;
}

Json
CompareStrategies()
{
  struct Row
  {
    const char* mName;
    QueueScenario mScenario;
  };
  std::vector<Row> rows(4);
  rows[0].mName = "steady";
  rows[1].mName = "one slow server";
  rows[1].mScenario.mSlowServers = 1;
  rows[2].mName = "caches lost";
  rows[2].mScenario.mLosesCaches = true;
  rows[3].mName = "zone returns cold";
  rows[3].mScenario.mZoneReturns = true;
  rows[3].mScenario.mRate = 45.0;
  Json results = Json::array();
  for (Row& row : rows) {
    if (!row.mScenario.mZoneReturns) {
      row.mScenario.mRate = 80.0;
    }
    for (const std::size_t entries : { 3, 24 }) {
      for (const int lag : { 0, 1000 }) {
        for (const std::string& strategy : ComparedStrategies()) {
          row.mScenario.mEjects = strategy != kNaive;
          row.mScenario.mReservations = strategy == kLateBinding ? 2 : 1;
          const std::string name = strategy == kNaive         ? "round-robin"
                                   : strategy == kLateBinding ? "affinity"
                                                              : strategy;
          row.mScenario.mEntries = entries;
          row.mScenario.mReportLag = Milliseconds(lag);
          QueueResult mean;
          for (int seed = 1; seed <= kSeeds; ++seed) {
            const auto result = QueueModel(row.mScenario, name, seed).Run();
            mean.mAttainment += result.mAttainment / kSeeds;
            mean.mMeanFirstToken += result.mMeanFirstToken / kSeeds;
            mean.mHitShare += result.mHitShare / kSeeds;
            mean.mReservations += result.mReservations / kSeeds;
          }
          results.push_back({ { "scenario", row.mName },
                              { "entries", entries },
                              { "report_lag_ms", lag },
                              { "rate", row.mScenario.mRate },
                              { "strategy", strategy },
                              { "attainment", mean.mAttainment },
                              { "first_token_s", mean.mMeanFirstToken },
                              { "hit_share", mean.mHitShare },
                              { "reservations", mean.mReservations } });
        }
      }
    }
  }
  return results;
}

Json
MeasureChoiceCost()
{
  constexpr int kChoices = 20'000;
  Json results = Json::array();
  for (const std::size_t size : { 8, 16, 32, 64, 128 }) {
    std::vector<Candidate> candidates;
    for (std::size_t index = 0; index < size; ++index) {
      Candidate candidate;
      candidate.mId = InstanceId("agent-" + std::to_string(index));
      candidate.mPool = PoolAt(0);
      candidate.mSameRegion = true;
      candidate.mLoad.mLimit = 8;
      candidate.mLoadAge = Milliseconds(500);
      candidates.push_back(candidate);
    }
    ReplicaChooser chooser(ChooserSettings{}, 1);
    ChoiceRequest request;
    request.mPool = PoolAt(0);
    request.mPromptBlocks = HashPrefixBlocks(std::string(8192, 'p'), "m");
    for (const Candidate& candidate : candidates) {
      chooser.RecordFirstToken(
        request, candidate.mId, Seconds(1), Seconds(1), kStart);
    }
    const double before = ProcessorTime();
    for (int round = 0; round < kChoices; ++round) {
      request.mPromptBlocks.back() = static_cast<std::uint64_t>(round);
      chooser.Choose(request, candidates, kStart);
    }
    results.push_back(
      { { "candidates", size },
        { "choice_us", (ProcessorTime() - before) / kChoices } });
  }
  return results;
}

/** Cover of the agents by the subsets of all entries. */
class CoverCount
{
public:
  explicit CoverCount(const InstanceList& aList)
  {
    for (const InstanceRecord& record : aList.mInstances) {
      if (record.mRole == InstanceRole::Agent) {
        mCover[record.mId] = 0.0;
      }
    }
  }

  void Add(const InstanceId& aId) { mCover[aId] += 1.0; }

  Json Summary() const
  {
    double total = 0.0;
    double most = 0.0;
    double least = 1e9;
    for (const auto& [id, cover] : mCover) {
      total += cover;
      most = std::max(most, cover);
      least = std::min(least, cover);
    }
    const double mean = total / static_cast<double>(mCover.size());
    return { { "mean", mean },
             { "max", most },
             { "min", least },
             { "max_over_mean", most / mean } };
  }

private:
  std::map<InstanceId, double> mCover;
};

/** What each entry draws for itself, inside its region, for comparison. */
Json
NaiveCover(const InstanceList& aList, std::size_t aSize)
{
  std::map<std::pair<RegionName, PoolName>, std::vector<InstanceId>> groups;
  for (const InstanceRecord& record : aList.mInstances) {
    if (record.mRole == InstanceRole::Agent) {
      groups[{ record.mRegion, record.mPool }].push_back(record.mId);
    }
  }
  CoverCount cover(aList);
  std::mt19937_64 random(1);
  for (std::size_t entry = 0; entry < kFleet.mEntries; ++entry) {
    for (auto& [key, agents] : groups) {
      if (key.first != RegionAt(kFleet, entry)) {
        continue;
      }
      std::vector<InstanceId> drawn;
      std::sample(
        agents.begin(), agents.end(), std::back_inserter(drawn), aSize, random);
      for (const InstanceId& id : drawn) {
        cover.Add(id);
      }
    }
  }
  return cover.Summary();
}

std::vector<InstanceId>
SubsetOf(const FleetView& aView)
{
  std::vector<InstanceId> ids;
  for (std::size_t pool = 0; pool < kFleet.mPools; ++pool) {
    for (const InstanceRecord& record : aView.Subset(PoolAt(pool))) {
      ids.push_back(record.mId);
    }
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::size_t
OpenedChannels(const std::vector<InstanceId>& aOld,
               const std::vector<InstanceId>& aNew)
{
  std::vector<InstanceId> added;
  std::set_difference(aNew.begin(),
                      aNew.end(),
                      aOld.begin(),
                      aOld.end(),
                      std::back_inserter(added));
  return added.size();
}

Json
MeasureCover(std::size_t aSize)
{
  const InstanceList list = MakeFleet(kFleet, 1);
  InstanceList agentLeft = list;
  agentLeft.mRevision = 2;
  agentLeft.mInstances.erase(agentLeft.mInstances.begin() + 1000);
  InstanceList entryLeft = agentLeft;
  entryLeft.mRevision = 3;
  entryLeft.mInstances.erase(entryLeft.mInstances.begin() + 200);
  CoverCount cover(list);
  std::size_t channels = 0;
  std::size_t openedByAgent = 0;
  std::size_t openedByEntry = 0;
  double listTime = 0.0;
  for (std::size_t entry = 0; entry < kFleet.mEntries; ++entry) {
    FleetViewSettings settings = SettingsOfEntry(kFleet, entry);
    settings.mSubsetSize = aSize;
    FleetView view(settings);
    view.SetZones(MakeZones(kFleet), kStart);
    view.ObserveList(list, kStart, kStart);
    const auto first = SubsetOf(view);
    for (const InstanceId& id : first) {
      cover.Add(id);
    }
    channels += first.size();
    const double before = ProcessorTime();
    view.ObserveList(agentLeft, kStart, kStart);
    listTime += ProcessorTime() - before;
    const auto second = SubsetOf(view);
    openedByAgent += OpenedChannels(first, second);
    if (entry == 200) {
      continue;
    }
    view.ObserveList(entryLeft, kStart, kStart);
    openedByEntry += OpenedChannels(second, SubsetOf(view));
  }
  const auto entries = static_cast<double>(kFleet.mEntries);
  return { { "subset_size", aSize },
           { "channels_per_entry", static_cast<double>(channels) / entries },
           { "cover", cover.Summary() },
           { "cover_when_each_draws", NaiveCover(list, aSize) },
           { "channels_opened_in_fleet_when_an_agent_leaves", openedByAgent },
           { "channels_opened_in_fleet_when_an_entry_leaves", openedByEntry },
           { "list_change_ms", listTime / entries / 1000.0 } };
}

Json
MeasureMemory()
{
  const InstanceList list = MakeFleet(kFleet, 1);
  const std::size_t before = HeapBytes();
  FleetView view(SettingsOfEntry(kFleet, 0));
  view.SetZones(MakeZones(kFleet), kStart);
  view.ObserveList(list, kStart, kStart);
  const std::size_t viewBytes = HeapBytes() - before;
  Json slopes = Json::array();
  for (const std::size_t known : { 100, 300 }) {
    const std::size_t start = HeapBytes();
    ReplicaChooser chooser(ChooserSettings{}, 1);
    ChoiceRequest request;
    request.mPool = PoolAt(0);
    request.mPromptBlocks = HashPrefixBlocks(std::string(8192, 'p'), "m");
    for (std::size_t index = 0; index < known; ++index) {
      const InstanceId id("agent-" + std::to_string(index));
      chooser.RecordSent(id, kStart);
      chooser.RecordFirstToken(request, id, Seconds(1), Seconds(1), kStart);
    }
    slopes.push_back({ { "agents", known }, { "bytes", HeapBytes() - start } });
  }
  return { { "list_instances", list.mInstances.size() },
           { "fleet_view_bytes", viewBytes },
           { "chooser", slopes } };
}

/** Probes that are left over when traffic carries the load reports. */
Json
MeasureProbes(std::size_t aSize, double aRequestsPerSecond)
{
  constexpr int kSeconds = 600;
  FleetViewSettings settings = SettingsOfEntry(kFleet, 0);
  settings.mSubsetSize = aSize;
  FleetView view(settings);
  view.SetZones(MakeZones(kFleet), kStart);
  view.ObserveList(MakeFleet(kFleet, 1), kStart, kStart);
  const std::vector<InstanceId> subset = SubsetOf(view);
  std::mt19937_64 random(1);
  std::poisson_distribution<int> arrivals(aRequestsPerSecond);
  std::size_t probes = 0;
  for (int second = 0; second < kSeconds; ++second) {
    const Timestamp now = kStart + Seconds(second);
    const int count = arrivals(random);
    for (int request = 0; request < count; ++request) {
      const InstanceId& id = subset[random() % subset.size()];
      view.RecordContact(id, LoadSnapshot{}, now);
    }
    for (const auto& record : view.TakeDueProbes(now, subset.size())) {
      view.RecordContact(record.mId, LoadSnapshot{}, now);
      ++probes;
    }
  }
  return { { "subset_size", aSize },
           { "requests_per_second", aRequestsPerSecond },
           { "probes_per_second", static_cast<double>(probes) / kSeconds } };
}

} // namespace

} // namespace medlarkeel

int
main()
{
  using namespace medlarkeel;
  Json report;
  report["memory"] = MeasureMemory();
  report["strategies"] = CompareStrategies();
  report["choice_cost"] = MeasureChoiceCost();
  for (const std::size_t size : { 8, 12, 16 }) {
    report["cover"].push_back(MeasureCover(size));
    for (const double rate : { 0.0, 1.0, 13.7 }) {
      report["probes"].push_back(MeasureProbes(size, rate));
    }
  }
  std::cout << report.dump(2) << '\n';
  return 0;
}
