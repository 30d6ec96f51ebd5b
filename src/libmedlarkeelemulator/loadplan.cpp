#include "loadplan.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace medlarkeel {

namespace {

constexpr double kMillisecondsPerSecond = 1000.0;
constexpr double kMostTokens = 1e7;
constexpr double kMostMilliseconds = 3.6e6;
const NumberRange kTokens{ 0.0, kMostTokens, "tokens" };
const NumberRange kTime{ 0.0, kMostMilliseconds, "ms" };
const NumberRange kSeconds{ 0.0, 3600.0, "s" };
const NumberRange kFactor{ 0.0, 1000.0, "times" };
const NumberRange kShare{ 0.0, 1.0, "of all" };
const IntegerRange kRank{ 0, 9, "" };
const IntegerRange kIndex{ 0, 1'000'000, "" };
const IntegerRange kCount{ 1, 1'000'000, "items" };
const TextRule kAnyText{ "a text", [](std::string_view) { return true; } };

/** Keys of a size; the reader keeps them until it has seen all keys. */
struct SizeKeys
{
  const char* mMean;
  const char* mSpread;
  const char* mMost;
};

constexpr SizeKeys kShared{ "sharedTokensMean",
                            "sharedTokensSpread",
                            "sharedTokensMost" };
constexpr SizeKeys kOwn{ "ownTokensMean", "ownTokensSpread", "ownTokensMost" };
constexpr SizeKeys kOutput{ "outputTokensMean",
                            "outputTokensSpread",
                            "outputTokensMost" };

void
ReadSpread(ObjectReader& aReader, const SizeKeys& aKeys, SizeSpread& aOut)
{
  aReader.Number(aKeys.mMean, Presence::Required, kTokens, aOut.mMean);
  aReader.Number(aKeys.mSpread, Presence::Optional, kFactor, aOut.mSpread);
  aReader.Number(aKeys.mMost, Presence::Optional, kTokens, aOut.mMost);
}

void
ReadClass(const nlohmann::json& aItem,
          const std::string& aPath,
          ProblemList& aProblems,
          LoadPlan& aPlan)
{
  LoadClass loadClass;
  ObjectReader reader(aItem, aPath, aProblems);
  reader.Text("name", Presence::Required, kAnyText, loadClass.mName);
  reader.Number("perSecond", Presence::Required, kFactor, loadClass.mPerSecond);
  reader.Number("rank", Presence::Optional, kRank, loadClass.mRank);
  ReadSpread(reader, kShared, loadClass.mSharedTokens);
  reader.Number(
    "sharedParts", Presence::Required, kCount, loadClass.mSharedParts);
  ReadSpread(reader, kOwn, loadClass.mOwnTokens);
  ReadSpread(reader, kOutput, loadClass.mOutputTokens);
  reader.Number("targetMs", Presence::Required, kTime, loadClass.mTargetMs);
  reader.Number("pauseMs", Presence::Required, kTime, loadClass.mPauseMs);
  reader.Number("limitMs", Presence::Required, kTime, loadClass.mLimitMs);
  reader.RefuseUnknownKeys();
  aPlan.mClasses.push_back(std::move(loadClass));
}

void
ReadBurst(const nlohmann::json& aItem,
          const std::string& aPath,
          ProblemList& aProblems,
          LoadPlan& aPlan)
{
  LoadBurst burst;
  ObjectReader reader(aItem, aPath, aProblems);
  reader.Text("class", Presence::Optional, kAnyText, burst.mClass);
  reader.Number("from", Presence::Required, kSeconds, burst.mFromSeconds);
  reader.Number("to", Presence::Required, kSeconds, burst.mToSeconds);
  reader.Number("factor", Presence::Optional, kFactor, burst.mFactor);
  reader.Number("hotShare", Presence::Optional, kShare, burst.mHotShare);
  reader.RefuseUnknownKeys();
  aPlan.mBursts.push_back(std::move(burst));
}

void
ReadTeam(const nlohmann::json& aItem,
         const std::string& aPath,
         ProblemList& aProblems,
         LoadPlan& aPlan)
{
  int rank = 0;
  ObjectReader reader(aItem, aPath, aProblems);
  reader.Number("rank", Presence::Required, kRank, rank);
  reader.RefuseUnknownKeys();
  aPlan.mTeamRanks.push_back(rank);
}

void
ReadRestart(const nlohmann::json& aItem,
            const std::string& aPath,
            ProblemList& aProblems,
            LoadPlan& aPlan)
{
  EntryRestart restart;
  ObjectReader reader(aItem, aPath, aProblems);
  reader.Number("entry", Presence::Required, kIndex, restart.mEntry);
  reader.Number("at", Presence::Required, kSeconds, restart.mAtSeconds);
  reader.RefuseUnknownKeys();
  if (restart.mEntry >= aPlan.mEntries) {
    aProblems.Add(aPath + ".entry",
                  "less than the number of entries",
                  std::to_string(restart.mEntry));
  }
  aPlan.mRestarts.push_back(restart);
}

void
ReadSpeed(ObjectReader& aReader, EngineSpeed& aSpeed)
{
  aReader.Number("stepMs", Presence::Optional, kTime, aSpeed.mStepMs);
  aReader.Number(
    "stepMsPerAnswer", Presence::Optional, kTime, aSpeed.mStepMsPerAnswer);
  aReader.Number("promptTokensPerMs",
                 Presence::Optional,
                 kTokens,
                 aSpeed.mPromptTokensPerMs);
  aReader.Number(
    "msPerMillionPairs", Presence::Optional, kTime, aSpeed.mMsPerMillionPairs);
  aReader.Number(
    "chunkTokens", Presence::Optional, kCount, aSpeed.mChunkTokens);
  aReader.Number(
    "memoryTokens", Presence::Optional, kCount, aSpeed.mMemoryTokens);
  aReader.Number("slots", Presence::Optional, kCount, aSpeed.mSlots);
}

double
Draw(const SizeSpread& aSize, std::mt19937_64& aRandom)
{
  if (aSize.mSpread <= 0.0) {
    return aSize.mMean;
  }
  // The logarithm's mean is shifted, so that the sizes' mean is kept.
  const double shift = aSize.mSpread * aSize.mSpread / 2.0;
  std::lognormal_distribution<double> sizes(std::log(aSize.mMean) - shift,
                                            aSize.mSpread);
  return std::min(aSize.mMost, sizes(aRandom));
}

std::uint32_t
DrawTokens(const SizeSpread& aSize, std::mt19937_64& aRandom)
{
  return static_cast<std::uint32_t>(std::max(1.0, Draw(aSize, aRandom)));
}

/** What the bursts make of a class at one time. */
struct BurstEffect
{
  double mFactor = 1.0;
  double mHotShare = 0.0;
};

BurstEffect
EffectAt(const LoadPlan& aPlan, const LoadClass& aClass, double aAtMs)
{
  const double seconds = aAtMs / kMillisecondsPerSecond;
  BurstEffect effect;
  for (const LoadBurst& burst : aPlan.mBursts) {
    const bool applies = burst.mClass.empty() || burst.mClass == aClass.mName;
    if (applies && burst.mFromSeconds <= seconds &&
        seconds < burst.mToSeconds) {
      effect.mFactor *= burst.mFactor;
      effect.mHotShare = std::max(effect.mHotShare, burst.mHotShare);
    }
  }
  return effect;
}

/** Arrivals of one class by thinning those of its highest rate. */
void
AddArrivals(const LoadPlan& aPlan,
            std::size_t aClass,
            std::mt19937_64& aRandom,
            std::vector<PlannedRequest>& aOut)
{
  const LoadClass& loadClass = aPlan.mClasses[aClass];
  double most = 1.0;
  for (const LoadBurst& burst : aPlan.mBursts) {
    most *= std::max(1.0, burst.mFactor);
  }
  std::vector<std::uint32_t> sharedTokens;
  for (std::uint64_t i = 0; i < loadClass.mSharedParts; ++i) {
    sharedTokens.push_back(DrawTokens(loadClass.mSharedTokens, aRandom));
  }
  std::exponential_distribution<double> pauses(loadClass.mPerSecond * most /
                                               kMillisecondsPerSecond);
  std::uniform_real_distribution<double> kept(0.0, most);
  std::uniform_int_distribution<std::uint64_t> parts(0,
                                                     sharedTokens.size() - 1);
  std::uniform_int_distribution<std::size_t> entries(0, aPlan.mEntries - 1);
  const std::uint64_t firstId = (aClass + 1) << 32U;
  const double end = aPlan.mSeconds * kMillisecondsPerSecond;
  for (double at = pauses(aRandom); at < end; at += pauses(aRandom)) {
    const BurstEffect effect = EffectAt(aPlan, loadClass, at);
    if (kept(aRandom) >= effect.mFactor) {
      continue;
    }
    PlannedRequest planned;
    planned.mAtMs = at;
    planned.mClass = aClass;
    planned.mEntry = entries(aRandom);
    const bool isHot =
      effect.mHotShare > 0.0 && kept(aRandom) < most * effect.mHotShare;
    const std::uint64_t part = isHot ? 0 : parts(aRandom);
    const std::uint32_t own = DrawTokens(loadClass.mOwnTokens, aRandom);
    PromptDescription& prompt = planned.mRequest.mPrompt;
    prompt.mParts = { { firstId + part, sharedTokens[part] },
                      { firstId + sharedTokens.size() + aOut.size(), own } };
    prompt.mPromptTokens = sharedTokens[part] + own;
    planned.mRequest.mOutputTokens =
      DrawTokens(loadClass.mOutputTokens, aRandom);
    aOut.push_back(std::move(planned));
  }
}

} // namespace

LoadPlanResult
ParseLoadPlan(std::string_view aText)
{
  ProblemList problems;
  LoadPlan plan;
  if (const auto json = ParseJson(aText, JsonLimits(), problems)) {
    ObjectReader reader(*json, "$", problems);
    reader.Number("entries", Presence::Required, kCount, plan.mEntries);
    reader.Number("servers", Presence::Required, kCount, plan.mServers);
    reader.Number("zones", Presence::Required, kCount, plan.mZones);
    reader.Number("seconds", Presence::Required, kSeconds, plan.mSeconds);
    reader.Number(
      "tokensPerEvent", Presence::Required, kCount, plan.mTokensPerEvent);
    ReadSpeed(reader, plan.mSpeed);
    reader.Items("classes",
                 Presence::Required,
                 [&](const nlohmann::json& aItem, const std::string& aPath) {
                   ReadClass(aItem, aPath, problems, plan);
                 });
    reader.Items("bursts",
                 Presence::Optional,
                 [&](const nlohmann::json& aItem, const std::string& aPath) {
                   ReadBurst(aItem, aPath, problems, plan);
                 });
    reader.Items("teams",
                 Presence::Optional,
                 [&](const nlohmann::json& aItem, const std::string& aPath) {
                   ReadTeam(aItem, aPath, problems, plan);
                 });
    reader.Items("restarts",
                 Presence::Optional,
                 [&](const nlohmann::json& aItem, const std::string& aPath) {
                   ReadRestart(aItem, aPath, problems, plan);
                 });
    reader.RefuseUnknownKeys();
  }
  if (!problems.IsEmpty()) {
    return problems.Take();
  }
  return plan;
}

std::vector<PlannedRequest>
Arrivals(const LoadPlan& aPlan, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<PlannedRequest> arrivals;
  for (std::size_t i = 0; i < aPlan.mClasses.size(); ++i) {
    AddArrivals(aPlan, i, random, arrivals);
  }
  std::sort(arrivals.begin(),
            arrivals.end(),
            [](const PlannedRequest& aLeft, const PlannedRequest& aRight) {
              return aLeft.mAtMs < aRight.mAtMs;
            });
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    arrivals[i].mRequest.mNumber = i;
    if (!aPlan.mTeamRanks.empty()) {
      arrivals[i].mTeam = random() % aPlan.mTeamRanks.size();
    }
  }
  return arrivals;
}

} // namespace medlarkeel
