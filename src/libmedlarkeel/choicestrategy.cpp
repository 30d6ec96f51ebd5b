#include "choicestrategy.h"

#include "rendezvous.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

namespace medlarkeel {

namespace {

constexpr std::array<const char*, 10> kReasonTexts{
  "no-candidate", "only-candidate", "cached-prefix", "prefix-home",
  "lower-wait",   "same-zone",      "round-robin",   "random",
  "least-loaded", "key-owner"
};

using Rated = std::vector<RatedCandidate>;

std::size_t
RendezvousOwner(const Rated& aRated, std::uint64_t aKey)
{
  std::size_t best = 0;
  std::uint64_t bestScore = 0;
  for (std::size_t index = 0; index < aRated.size(); ++index) {
    const std::uint64_t score = RendezvousScore(aKey, aRated[index].mHash);
    if (score > bestScore) {
      best = index;
      bestScore = score;
    }
  }
  return best;
}

/** Takes the candidates in turn. */
class RoundRobinStrategy : public ChoiceStrategy
{
public:
  explicit RoundRobinStrategy(const StrategySettings&) {}

  Pick Choose(const StrategyRequest&,
              const Rated& aRated,
              std::mt19937_64&) override
  {
    return { mNext++ % aRated.size(), ChoiceReason::RoundRobin };
  }

private:
  std::size_t mNext = 0;
};

/** Takes any candidate. */
class RandomStrategy : public ChoiceStrategy
{
public:
  explicit RandomStrategy(const StrategySettings&) {}

  Pick Choose(const StrategyRequest&,
              const Rated& aRated,
              std::mt19937_64& aRandom) override
  {
    return { aRandom() % aRated.size(), ChoiceReason::Random };
  }
};

/** Takes the candidate with the shortest expected wait. */
class LeastLoadedStrategy : public ChoiceStrategy
{
public:
  explicit LeastLoadedStrategy(const StrategySettings&) {}

  Pick Choose(const StrategyRequest&,
              const Rated& aRated,
              std::mt19937_64&) override
  {
    const auto least = std::min_element(
      aRated.begin(),
      aRated.end(),
      [](const RatedCandidate& aLeft, const RatedCandidate& aRight) {
        return aLeft.mScore < aRight.mScore;
      });
    return { static_cast<std::size_t>(least - aRated.begin()),
             ChoiceReason::LeastLoaded };
  }
};

/** Takes the owner of the request's key, whatever its load. */
class KeyOwnerStrategy : public ChoiceStrategy
{
public:
  explicit KeyOwnerStrategy(const StrategySettings&) {}

  Pick Choose(const StrategyRequest& aRequest,
              const Rated& aRated,
              std::mt19937_64&) override
  {
    return { RendezvousOwner(aRated, aRequest.mKeyHash),
             ChoiceReason::KeyOwner };
  }
};

/** Draws two by weight and takes the one with the shorter expected wait. */
class TwoChoicesStrategy : public ChoiceStrategy
{
public:
  explicit TwoChoicesStrategy(const StrategySettings& aSettings)
    : mSettings(aSettings)
  {
  }

  Pick Choose(const StrategyRequest&,
              const Rated& aRated,
              std::mt19937_64& aRandom) override
  {
    const std::size_t first = Draw(aRated, std::nullopt, aRandom);
    if (aRated.size() == 1) {
      return { first, ChoiceReason::OnlyCandidate };
    }
    const std::size_t second = Draw(aRated, first, aRandom);
    return Better(aRated, first, second);
  }

private:
  static std::size_t Draw(const Rated& aRated,
                          std::optional<std::size_t> aWithout,
                          std::mt19937_64& aRandom)
  {
    double total = 0.0;
    for (std::size_t index = 0; index < aRated.size(); ++index) {
      total += index == aWithout ? 0.0 : aRated[index].mCandidate->mWeight;
    }
    std::uniform_real_distribution<double> place(0.0, total);
    double left = place(aRandom);
    std::size_t last = 0;
    for (std::size_t index = 0; index < aRated.size(); ++index) {
      if (index == aWithout) {
        continue;
      }
      last = index;
      left -= aRated[index].mCandidate->mWeight;
      if (left < 0.0) {
        break;
      }
    }
    return last;
  }

  Pick Better(const Rated& aRated,
              std::size_t aFirst,
              std::size_t aSecond) const
  {
    const RatedCandidate& first = aRated[aFirst];
    const RatedCandidate& second = aRated[aSecond];
    const bool isEqual =
      std::abs(first.mScore - second.mScore) <= mSettings.mEqualWait;
    if (isEqual &&
        first.mCandidate->mSameZone != second.mCandidate->mSameZone) {
      return { first.mCandidate->mSameZone ? aFirst : aSecond,
               ChoiceReason::SameZone };
    }
    return { first.mScore <= second.mScore ? aFirst : aSecond,
             ChoiceReason::LowerWait };
  }

  StrategySettings mSettings;
};

/**
 * Weighs the server with the longest cached prefix, the home of the prefix and
 * the better of two drawn ones: the shortest wait less saved prefill wins. The
 * first two take part only below a bound on their load.
 */
class AffinityStrategy : public ChoiceStrategy
{
public:
  explicit AffinityStrategy(const StrategySettings& aSettings)
    : mSettings(aSettings)
    , mTwoChoices(aSettings)
  {
  }

  Pick Choose(const StrategyRequest& aRequest,
              const Rated& aRated,
              std::mt19937_64& aRandom) override
  {
    const Pick drawn = mTwoChoices.Choose(aRequest, aRated, aRandom);
    if (aRequest.mPrefixGroup == 0 || aRated.size() == 1) {
      return drawn;
    }
    Pick best = drawn;
    double bestCost =
      aRated[drawn.mIndex].mScore - aRated[drawn.mIndex].mSaving;
    const double bound = UtilisationBound(aRated);
    const std::size_t home = RendezvousOwner(aRated, aRequest.mPrefixGroup);
    const double homeSaving = std::max(
      aRated[home].mSaving,
      mSettings.mHomeShare * static_cast<double>(aRequest.mPromptBlocks) *
        aRequest.mBlockCost);
    const double homeCost = aRated[home].mScore - homeSaving;
    if (aRated[home].mUtilisation <= bound && homeCost <= bestCost) {
      best = { home, ChoiceReason::PrefixHome };
      bestCost = homeCost;
    }
    const std::size_t cached = LongestPrefix(aRated);
    const double cachedCost = aRated[cached].mScore - aRated[cached].mSaving;
    const bool isCached = aRated[cached].mMatchedBlocks > 0;
    if (isCached && aRated[cached].mUtilisation <= bound &&
        cachedCost <= bestCost) {
      best = { cached, ChoiceReason::CachedPrefix };
    }
    return best;
  }

private:
  /** @return The utilisation that affinity may not go beyond. */
  double UtilisationBound(const Rated& aRated) const
  {
    double total = 0.0;
    for (const RatedCandidate& rated : aRated) {
      total += rated.mUtilisation;
    }
    const double mean = total / static_cast<double>(aRated.size());
    return std::max(mSettings.mLoadFactor * mean, kAlwaysAllowed);
  }

  static std::size_t LongestPrefix(const Rated& aRated)
  {
    std::size_t best = 0;
    for (std::size_t index = 1; index < aRated.size(); ++index) {
      const RatedCandidate& rated = aRated[index];
      const bool isLonger = rated.mMatchedBlocks > aRated[best].mMatchedBlocks;
      const bool isCheaper =
        rated.mMatchedBlocks == aRated[best].mMatchedBlocks &&
        rated.mScore < aRated[best].mScore;
      if (isLonger || isCheaper) {
        best = index;
      }
    }
    return best;
  }

  /** Utilisation up to which affinity is allowed whatever the mean. */
  static constexpr double kAlwaysAllowed = 0.25;

  StrategySettings mSettings;
  TwoChoicesStrategy mTwoChoices;
};

using StrategyFactory =
  std::unique_ptr<ChoiceStrategy> (*)(const StrategySettings&);

template<typename Strategy>
std::unique_ptr<ChoiceStrategy>
Make(const StrategySettings& aSettings)
{
  return std::make_unique<Strategy>(aSettings);
}

struct StrategyRow
{
  const char* mName;
  StrategyFactory mMake;
};

constexpr std::array<StrategyRow, 6> kStrategies{ {
  { "affinity", Make<AffinityStrategy> },
  { "two-choices", Make<TwoChoicesStrategy> },
  { "least-loaded", Make<LeastLoadedStrategy> },
  { "random", Make<RandomStrategy> },
  { "round-robin", Make<RoundRobinStrategy> },
  { "key-owner", Make<KeyOwnerStrategy> },
} };

} // namespace

const char*
ChoiceReasonText(ChoiceReason aReason)
{
  return kReasonTexts[static_cast<std::size_t>(aReason)];
}

std::unique_ptr<ChoiceStrategy>
MakeStrategy(const std::string& aName, const StrategySettings& aSettings)
{
  for (const StrategyRow& row : kStrategies) {
    if (aName == row.mName) {
      return row.mMake(aSettings);
    }
  }
  return nullptr;
}

std::vector<std::string>
StrategyNames()
{
  std::vector<std::string> names;
  names.reserve(kStrategies.size());
  for (const StrategyRow& row : kStrategies) {
    names.emplace_back(row.mName);
  }
  return names;
}

} // namespace medlarkeel
