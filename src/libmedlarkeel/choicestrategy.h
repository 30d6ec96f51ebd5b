#pragma once

#include "candidate.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace medlarkeel {

/** What decided a choice; the reason code in the log. */
enum class ChoiceReason
{
  NoCandidate,
  OnlyCandidate,
  CachedPrefix,
  PrefixHome,
  LowerWait,
  SameZone,
  RoundRobin,
  Random,
  LeastLoaded,
  KeyOwner
};

/** @return The reason in kebab case, for the log. */
const char*
ChoiceReasonText(ChoiceReason aReason);

/** Parameters of the strategies. */
struct StrategySettings
{
  /** Multiple of the mean utilisation that prefix affinity may load to. */
  double mLoadFactor = 1.1;
  /** Share of a prompt's prefill that its home is presumed to save. */
  double mHomeShare = 0.25;
  /** Waits nearer to each other than this, in microseconds, are equal. */
  double mEqualWait = 5'000.0;
};

/** An eligible candidate with its estimates. */
struct RatedCandidate
{
  const Candidate* mCandidate = nullptr;
  /** Expected wait over weight, in microseconds; lower is better. */
  double mScore = 0.0;
  double mUtilisation = 0.0;
  std::size_t mMatchedBlocks = 0;
  /** Prefill time that cached blocks save, in microseconds. */
  double mSaving = 0.0;
  /** Hash of the instance id. */
  std::uint64_t mHash = 0;
};

/** What a strategy needs to know of the request. */
struct StrategyRequest
{
  std::size_t mPromptBlocks = 0;
  /** Hash that requests with a common prompt start share; 0 when none. */
  std::uint64_t mPrefixGroup = 0;
  std::uint64_t mKeyHash = 0;
  /** Time to compute one block, in microseconds. */
  double mBlockCost = 0.0;
};

/** Index into the rated candidates and what decided. */
struct Pick
{
  std::size_t mIndex = 0;
  ChoiceReason mReason = ChoiceReason::OnlyCandidate;
};

/** One way to choose among eligible candidates. */
class ChoiceStrategy
{
public:
  virtual ~ChoiceStrategy() = default;

  /**
   * @param aRequest The request.
   * @param aRated At least one eligible candidate.
   * @param aRandom The generator for random choices.
   * @return The pick.
   */
  virtual Pick Choose(const StrategyRequest& aRequest,
                      const std::vector<RatedCandidate>& aRated,
                      std::mt19937_64& aRandom) = 0;
};

/**
 * Makes a strategy by name.
 *
 * @param aName One of StrategyNames().
 * @param aSettings Parameters of the strategies.
 * @return The strategy, or null for an unknown name.
 */
std::unique_ptr<ChoiceStrategy>
MakeStrategy(const std::string& aName, const StrategySettings& aSettings);

/** @return The names of all strategies. */
std::vector<std::string>
StrategyNames();

} // namespace medlarkeel
