#pragma once

#include "../libmedlarkeel/jsonreader.h"
#include "enginemodel.h"

#include <boost/outcome.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarkeel {

/** A size whose values spread round a mean, a few of them far above it. */
struct SizeSpread
{
  double mMean = 1.0;
  /** Deviation of the logarithm; 0 for a fixed size. */
  double mSpread = 0.0;
  double mMost = 1e9;
};

/** One kind of request. */
struct LoadClass
{
  std::string mName;
  double mPerSecond = 1.0;
  /** Tier of its route; 0 is the most urgent. */
  int mRank = 0;
  /** Tokens of the part that requests share. */
  SizeSpread mSharedTokens;
  /** How many shared parts there are, each asked for as often. */
  std::uint64_t mSharedParts = 1;
  SizeSpread mOwnTokens;
  SizeSpread mOutputTokens;
  /** Time to the first token within which an answer is on time. */
  double mTargetMs = 300.0;
  /** Longest pause between two events of an answer that is on time. */
  double mPauseMs = 150.0;
  /** Time after which the caller leaves. */
  double mLimitMs = 10'000.0;
};

/** A time in which a class is asked for more often, or for one part of it. */
struct LoadBurst
{
  /** Name of the class; empty for all. */
  std::string mClass;
  double mFromSeconds = 0.0;
  double mToSeconds = 0.0;
  double mFactor = 1.0;
  /** Share of the requests that ask for the same shared part. */
  double mHotShare = 0.0;
};

/** A time at which an entry is replaced by one that knows nothing. */
struct EntryRestart
{
  std::size_t mEntry = 0;
  double mAtSeconds = 0.0;
};

/** A fleet and what it is asked for. */
struct LoadPlan
{
  std::size_t mEntries = 3;
  std::size_t mServers = 12;
  std::size_t mZones = 3;
  double mSeconds = 30.0;
  /** Tokens that one event of an answer holds. */
  std::uint32_t mTokensPerEvent = 4;
  EngineSpeed mSpeed;
  std::vector<LoadClass> mClasses;
  std::vector<LoadBurst> mBursts;
  /** Tiers of teams with equal shares of the requests; empty if no team has a
   * tier. */
  std::vector<int> mTeamRanks;
  std::vector<EntryRestart> mRestarts;
};

using LoadPlanResult = BOOST_OUTCOME_V2_NAMESPACE::result<
  LoadPlan,
  std::vector<DocumentProblem>,
  BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/**
 * @param aText The plan as JSON text.
 * @return The plan, or every mistake found in it.
 */
LoadPlanResult
ParseLoadPlan(std::string_view aText);

/** One request of a plan. */
struct PlannedRequest
{
  double mAtMs = 0.0;
  std::size_t mClass = 0;
  std::size_t mEntry = 0;
  /** Index of the team in the plan; nothing if no team has a tier. */
  std::optional<std::size_t> mTeam;
  EngineRequest mRequest;
};

/** @return The arrivals of a plan in order of time, the same for each seed. */
std::vector<PlannedRequest>
Arrivals(const LoadPlan& aPlan, std::uint64_t aSeed);

} // namespace medlarkeel
