#include "bound.h"
#include "caller.h"
#include "comparison.h"
#include "fleetaccess.h"
#include "latency.h"
#include "tally.h"
#include "workload.h"

#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <thread>

DEFINE_string(scenario, "steady", "latency, steady, zone, team, burst, ...");
DEFINE_string(document, "", "the environment's document");
DEFINE_string(plan, "", "the deployment's plan");
DEFINE_string(entries, "", "IP:PORT of each entry, separated by commas");
DEFINE_string(entry_pids, "", "process ids of the entries");
DEFINE_string(engines, "", "IP:PORT@ZONE of each engine");
DEFINE_string(services, "", "IP:PORT@ZONE of each plain service");
DEFINE_string(platform, "", "IP:PORT of the platform; empty for none");
DEFINE_bool(tickets, true, "half of the keys are fetched from the entry");
DEFINE_double(warm_seconds, 0, "closed-loop load before the arrivals");
DEFINE_string(compare, "", "prefix of two results to set side by side");
DEFINE_uint64(best_slots, 0, "slots to work out the best attainment for");
DEFINE_double(first_token_ms, 150, "time to the first token of an answer");
DEFINE_double(run_ms, 1710, "time of a whole answer");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_double(seconds, 15, "length of the arrivals");

namespace medlarkeel {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kWarmCallers = 110;
constexpr std::uint32_t kWarmTokens = 15;
constexpr std::chrono::seconds kRefill{ 4 }; // of the teams' buckets
constexpr std::chrono::milliseconds kWarmRetry{ 100 };
constexpr double kZoneOut = 4000;    // milliseconds from the start
constexpr double kZoneStops = 7000;  // its servers answer no more
constexpr double kZoneRuns = 10000;  // its servers answer again
constexpr double kZoneIn = 10500;    // the document takes it in
constexpr double kSlowFrom = 4000;   // milliseconds from the start
constexpr double kSlowUntil = 10000; // milliseconds from the start
constexpr double kSlowFactor = 6;

struct TimedAction
{
  double mAt = 0; // milliseconds from the start
  std::function<void()> mAction;
};

/** One scenario against one side. */
class Run
{
public:
  Run(json aDocument, json aPlan)
    : mDocument(std::move(aDocument))
    , mPlan(std::move(aPlan))
    , mEntries(SplitText(FLAGS_entries, ','))
    , mBackends(ParseBackends(FLAGS_engines, true))
  {
    const auto services = ParseBackends(FLAGS_services, false);
    mBackends.insert(mBackends.end(), services.begin(), services.end());
    mWorkload = MakeWorkload(
      mDocument,
      mPlan,
      { FLAGS_scenario, FLAGS_seed, FLAGS_seconds, mEntries.size() });
    mOutcomes.resize(mWorkload.mArrivals.size());
  }

  /** Fills the engines with short answers, so that cold starts end. */
  void WarmUp() const
  {
    if (FLAGS_warm_seconds <= 0) {
      return;
    }
    const auto length = std::chrono::duration<double>(FLAGS_warm_seconds);
    const auto end =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(length);
    std::vector<std::thread> callers;
    callers.reserve(kWarmCallers);
    for (std::size_t caller = 0; caller < kWarmCallers; ++caller) {
      callers.emplace_back([this, caller, end] { CallUntil(end, caller); });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    std::this_thread::sleep_for(kRefill);
  }

  json Measure()
  {
    WarmUp();
    const FleetCounts before = CountFleet(mBackends);
    const double processorBefore = ProcessorSeconds(Pids());
    mStart = Clock::now();
    std::thread actions([this] { Act(); });
    SendAll();
    actions.join();
    const double used = ProcessorSeconds(Pids()) - processorBefore;
    const FleetCounts after = CountIdleFleet(mBackends);
    json result = Tally(mWorkload, mOutcomes, before, after, FLAGS_seconds);
    result["arrivals"] = mWorkload.mArrivals.size();
    result["entryProcessorSeconds"] = used;
    result["lateSendMs"] = mLatest;
    return result;
  }

  json Best() const
  {
    return BestAttainment(
      mWorkload, { FLAGS_best_slots, FLAGS_first_token_ms, FLAGS_run_ms });
  }

  json MeasureIdlePath() const
  {
    LatencyOptions options;
    options.mEntry = mEntries.front();
    options.mEngine = mBackends.front().mAddress;
    options.mKey = mWorkload.mTeams.front().mKey;
    options.mEntryPids = Pids();
    return MeasureLatency(mWorkload.mClasses, options);
  }

private:
  void CallUntil(Clock::time_point aEnd, std::size_t aCaller) const
  {
    std::size_t index = 0;
    while (mWorkload.mClasses[index].mModel.empty()) {
      ++index;
    }
    const ClassLoad& load = mWorkload.mClasses[index];
    for (std::size_t call = aCaller; Clock::now() < aEnd; ++call) {
      const TeamLoad& team = mWorkload.mTeams[call % mWorkload.mTeams.size()];
      const CallTarget target{
        mEntries[call % mEntries.size()], team.mKey, "", kWarmTokens
      };
      const std::string marker =
        "warm" + std::to_string(aCaller) + "-" + std::to_string(call);
      if (!CallOnce(load, marker, target).mWhole) {
        std::this_thread::sleep_for(kWarmRetry);
      }
    }
  }

  static std::vector<std::string> Pids()
  {
    return SplitText(FLAGS_entry_pids, ',');
  }

  void SleepUntil(double aAt) const
  {
    std::this_thread::sleep_until(
      mStart + std::chrono::duration_cast<Clock::duration>(
                 std::chrono::duration<double, std::milli>(aAt)));
  }

  void SendAll()
  {
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < mOutcomes.size(); ++index) {
      const double due = mWorkload.mArrivals[index].mAt;
      SleepUntil(due);
      const std::chrono::duration<double, std::milli> now =
        Clock::now() - mStart;
      mLatest = std::max(mLatest, now.count() - due);
      callers.emplace_back([this, index] { Send(index); });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  void Send(std::size_t aIndex)
  {
    const Arrival& arrival = mWorkload.mArrivals[aIndex];
    const ClassLoad& load = mWorkload.mClasses[arrival.mClass];
    CallTarget target{
      mEntries[arrival.mEntry], mWorkload.mTeams[arrival.mTeam].mKey, "", 0
    };
    if (!load.mService.empty()) {
      const bool fetch = FLAGS_tickets && arrival.mWithTicket;
      target.mIdempotencyKey = fetch ? FetchTicket(load.mService, target) : "";
      if (target.mIdempotencyKey.empty()) {
        target.mIdempotencyKey = MakeUuid(FLAGS_seed << 32U | aIndex);
      }
    }
    mOutcomes[aIndex] = CallOnce(load, arrival.mMarker, target);
  }

  void Act()
  {
    for (const TimedAction& action : Actions()) {
      SleepUntil(action.mAt);
      action.mAction();
    }
  }

  std::vector<TimedAction> Actions()
  {
    if (FLAGS_scenario == "zone") {
      return { { kZoneOut, [this] { PublishZone("out"); } },
               { kZoneStops, [this] { HangZone(true); } },
               { kZoneRuns, [this] { HangZone(false); } },
               { kZoneIn, [this] { PublishZone("in"); } } };
    }
    if (FLAGS_scenario == "slow") {
      return { { kSlowFrom, [this] { Slow(kSlowFactor, true); } },
               { kSlowUntil, [this] { Slow(1, false); } } };
    }
    return {};
  }

  void PublishZone(const std::string& aState)
  {
    if (FLAGS_platform.empty()) {
      return;
    }
    mDocument["version"] = mDocument["version"].get<int>() + 1;
    for (json& zone : mDocument["zones"]) {
      if (zone["name"] == mPlan["zone"]) {
        zone["state"] = aState;
      }
    }
    SendJson("PUT", "http://" + FLAGS_platform + "/configuration", mDocument);
  }

  void HangZone(bool aHangs) const
  {
    for (const BackendAddress& backend : mBackends) {
      if (backend.mZone == mPlan["zone"]) {
        Fault(backend, { { "hang", aHangs } });
      }
    }
  }

  void Slow(double aFactor, bool aPauses) const
  {
    Fault(mBackends.front(),
          { { "slow", aFactor }, { "pauseReports", aPauses } });
  }

  static void Fault(const BackendAddress& aBackend, const json& aFault)
  {
    SendJson("POST", "http://" + aBackend.mAddress + "/fault", aFault);
  }

  json mDocument;
  const json mPlan;
  const std::vector<std::string> mEntries;
  std::vector<BackendAddress> mBackends;
  Workload mWorkload;
  std::vector<Outcome> mOutcomes;
  Clock::time_point mStart;
  double mLatest = 0; // milliseconds that a send was behind its time
};

json
ReadJson(const std::string& aPath)
{
  std::ifstream file(aPath);
  return json::parse(file);
}

/** Prints a table of two results and writes their plot beside them. */
void
Compare(const std::string& aPrefix)
{
  const json router = ReadJson(aPrefix + "-medlarkeel.json");
  const json naive = ReadJson(aPrefix + "-naive.json");
  std::fputs(CompareAsText(router, naive).c_str(), stdout);
  if (router.contains("classes") && naive.contains("classes")) {
    std::ofstream(aPrefix + ".svg") << CompareAsSvg(router, naive);
  }
}

} // namespace

} // namespace medlarkeel

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (!FLAGS_compare.empty()) {
    medlarkeel::Compare(FLAGS_compare);
    return 0;
  }
  medlarkeel::Run run(medlarkeel::ReadJson(FLAGS_document),
                      medlarkeel::ReadJson(FLAGS_plan));
  if (FLAGS_best_slots > 0) {
    std::printf("%s\n", run.Best().dump(2).c_str());
    return 0;
  }
  const bool idle = FLAGS_scenario == "latency";
  nlohmann::json result = idle ? run.MeasureIdlePath() : run.Measure();
  result["scenario"] = FLAGS_scenario;
  result["seed"] = FLAGS_seed;
  std::printf("%s\n", result.dump(2).c_str());
  return 0;
}
