#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace medlarkeel {

/** A class of requests: how one looks and when it has met its targets. */
struct ClassLoad
{
  std::string mName;
  std::string mMethod = "POST";
  std::string mPath = "/v1/chat/completions";
  std::string mModel;   // empty for calls of a plain service
  std::string mService; // set if calls carry an idempotency key
  int mTier = 0;
  double mWeight = 0;
  double mFirstByteTarget = 0;  // milliseconds, 0 for none
  double mTokenGapTarget = 0;   // milliseconds, 0 for none
  double mCompletionTarget = 0; // milliseconds, 0 for none
};

struct TeamLoad
{
  std::string mName;
  std::string mKey;
  double mRate = 0;  // requests per second
  double mBurst = 0; // requests
  std::vector<std::size_t> mClasses;
};

struct Arrival
{
  double mAt = 0; // milliseconds from the start
  std::size_t mTeam = 0;
  std::size_t mClass = 0;
  std::size_t mEntry = 0;
  bool mWithTicket = false;
  bool mEntitled = false;
  std::string mMarker;
};

/** Everything that is sent in one run; equal for equal seeds. */
struct Workload
{
  std::vector<ClassLoad> mClasses;
  std::vector<TeamLoad> mTeams;
  std::vector<Arrival> mArrivals;
};

struct WorkloadOptions
{
  std::string mScenario;
  std::uint64_t mSeed = 1;
  double mSeconds = 15;
  std::size_t mEntries = 1;
};

/**
 * Draws open-loop arrivals.
 *
 * @param aDocument The environment's document.
 * @param aPlan The deployment's plan.
 * @param aOptions Scenario, seed, length.
 * @return Classes, teams and arrivals in order of time.
 */
Workload
MakeWorkload(const nlohmann::json& aDocument,
             const nlohmann::json& aPlan,
             const WorkloadOptions& aOptions);

} // namespace medlarkeel
