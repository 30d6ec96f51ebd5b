#include "cases.h"
#include "slopes.h"
#include "staticsharelimiter.h"

#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

namespace medlarkeel {
namespace {

void
Append(std::vector<CaseResult>& aAll, std::vector<CaseResult>&& aMore)
{
  aAll.insert(aAll.end(), aMore.begin(), aMore.end());
}

TeamLimiterSettings
Variant(std::uint32_t aSlices, Microseconds aEvidenceLife)
{
  TeamLimiterSettings settings;
  settings.mSlices = aSlices;
  settings.mOwnership.mEvidenceLife = aEvidenceLife;
  return settings;
}

std::vector<CaseResult>
AllWays()
{
  const Microseconds usual = TeamLimiterSettings().mOwnership.mEvidenceLife;
  std::vector<CaseResult> results;
  Append(results, RunCases<StaticShareLimiter>("static share", {}));
  Append(results, RunCases<TeamLimiter>("home entry", Variant(1, usual)));
  for (const std::uint32_t slices : { 4U, 6U, 16U }) {
    Append(results,
           RunCases<TeamLimiter>("slices " + std::to_string(slices),
                                 Variant(slices, usual)));
  }
  TeamLimiterSettings alone;
  alone.mLongestOutage = Microseconds(0);
  Append(results, RunCases<TeamLimiter>("4, no promises", alone));
  for (const Seconds life : { Seconds(10), Seconds(60) }) {
    Append(results,
           RunCases<TeamLimiter>("slices 4, T " + std::to_string(life.count()) +
                                   " s",
                                 Variant(4, life)));
  }
  return results;
}

void
PrintCases(const std::vector<CaseResult>& aResults)
{
  std::printf("%-16s %-20s %7s %8s %7s %8s %7s %6s %6s %6s\n",
              "way",
              "case",
              "arrived",
              "admitted",
              "ideal",
              "wrongful",
              "worst %",
              "over",
              "msg/s",
              "B/s");
  for (const CaseResult& result : aResults) {
    std::printf("%-16s %-20s %7zu %8zu %7zu %8zu %7.1f %6.2f %6.1f %6.0f\n",
                result.mWay.c_str(),
                result.mCase.c_str(),
                result.mArrived,
                result.mAdmitted,
                result.mReference,
                result.mWrongful,
                result.mWorstTeam * 100.0,
                result.mOverAdmission,
                result.mMessagesPerSecond,
                result.mBytesPerSecond);
  }
}

void
PrintCasesJson(const std::vector<CaseResult>& aResults)
{
  for (const CaseResult& result : aResults) {
    std::printf("{\"way\":\"%s\",\"case\":\"%s\",\"arrived\":%zu,"
                "\"admitted\":%zu,\"ideal\":%zu,\"wrongful\":%zu,"
                "\"quiet_wrongful\":%zu,\"worst_share\":%.4f,"
                "\"over_admission\":%.3f,\"messages_per_s\":%.2f,"
                "\"bytes_per_s\":%.1f}\n",
                result.mWay.c_str(),
                result.mCase.c_str(),
                result.mArrived,
                result.mAdmitted,
                result.mReference,
                result.mWrongful,
                result.mQuietWrongful,
                result.mWorstTeam,
                result.mOverAdmission,
                result.mMessagesPerSecond,
                result.mBytesPerSecond);
  }
}

void
RunSizes(bool aJson)
{
  const char* table =
    "%7zu %6zu %8.0f %10.0f %8.0f %10.0f %7.3f %6.1f %6.0f %7.0f %7.0f "
    "%8zu %8zu\n";
  const char* json =
    "{\"entries\":%zu,\"teams\":%zu,\"admit_ns\":%.0f,"
    "\"receive_ns\":%.0f,\"tick_ns\":%.0f,\"observe_ns\":%.0f,"
    "\"core_percent\":%.3f,\"messages_per_s\":%.1f,\"bytes_per_s\":%.0f,"
    "\"active_teams\":%.0f,\"ledgers\":%.0f,\"ideal\":%zu,"
    "\"wrongful\":%zu}\n";
  if (!aJson) {
    std::printf(
      "entries  teams admit ns receive ns  tick ns observe ns  core %%"
      "  msg/s    B/s  active ledgers    ideal wrongful\n");
  }
  struct Size
  {
    std::size_t mEntries;
    std::size_t mTeams;
    ListState mList = ListState::Readable;
  };
  for (const Size size : { Size{ 4, 10 },
                           Size{ 4, 100 },
                           Size{ 16, 100 },
                           Size{ 16, 1000 },
                           Size{ 64, 1000 },
                           Size{ 128, 1000 },
                           Size{ 128, 3600 },
                           Size{ 410, 3600 },
                           Size{ 128, 3600, ListState::Lost },
                           Size{ 410, 3600, ListState::Lost } }) {
    const SizeResult result =
      MeasureSize(size.mEntries, size.mTeams, size.mList);
    std::printf(aJson ? json : table, // NOLINT: both formats stand above
                result.mEntries,
                result.mTeams,
                result.mAdmitNanoseconds,
                result.mReceiveNanoseconds,
                result.mTickNanoseconds,
                result.mObserveNanoseconds,
                result.mCorePercent,
                result.mMessagesPerSecond,
                result.mBytesPerSecond,
                result.mActiveTeams,
                result.mLedgers,
                result.mReference,
                result.mWrongful);
    std::fflush(stdout);
  }
}

void
RunStates(bool aJson)
{
  if (!aJson) {
    std::printf("entries  teams active idle bytes list bytes active bytes\n");
  }
  for (const std::size_t entries : { 4U, 16U, 64U, 128U, 410U }) {
    for (const std::size_t teams : { 10U, 100U, 1000U, 3600U }) {
      const StateResult state = MeasureState(entries, teams);
      std::printf(aJson ? "{\"entries\":%zu,\"teams\":%zu,\"active\":%zu,"
                          "\"idle_bytes\":%zu,\"list_bytes\":%zu,"
                          "\"active_bytes\":%zu}\n"
                        : "%7zu %6zu %6zu %10zu %10zu %12zu\n",
                  state.mEntries,
                  state.mTeams,
                  state.mActive,
                  state.mIdleBytes,
                  state.mListBytes,
                  state.mActiveBytes);
    }
  }
}

} // namespace
} // namespace medlarkeel

/** Prints text tables, or with --json one object a line. */
int
main(int aCount, char** aArguments)
{
  const bool json = aCount > 1 && std::strcmp(aArguments[1], "--json") == 0;
  const auto results = medlarkeel::AllWays();
  json ? medlarkeel::PrintCasesJson(results) : medlarkeel::PrintCases(results);
  medlarkeel::RunStates(json);
  medlarkeel::RunSizes(json);
  return 0;
}
