#include "prefixcacheview.h"

#include "prefixhasher.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <string>

namespace medlarkeel {

namespace {

const PoolName kPool("model");
const InstanceId kServer("agent-1");
constexpr auto kBlockTime = Milliseconds(10);

std::vector<std::uint64_t>
Blocks(char aLetter, std::size_t aCount)
{
  return HashPrefixBlocks(std::string(aCount * kPrefixBlockBytes, aLetter),
                          "model");
}

} // namespace

BOOST_AUTO_TEST_SUITE(prefixcacheview)

RC_BOOST_PROP(HashesAgreeExactlyOnTheCommonBlocks,
              (const std::string& aOne, const std::string& aOther))
{
  const std::string one = std::string(3 * kPrefixBlockBytes, 'x') + aOne;
  const std::string other = std::string(3 * kPrefixBlockBytes, 'x') + aOther;
  const auto left = HashPrefixBlocks(one + one, "model");
  const auto right = HashPrefixBlocks(other + other, "model");
  for (std::size_t at = 0; at < std::min(left.size(), right.size()); ++at) {
    const std::size_t bytes = (at + 1) * kPrefixBlockBytes;
    const bool isCommon =
      (one + one).substr(0, bytes) == (other + other).substr(0, bytes);
    RC_ASSERT((left[at] == right[at]) == isCommon);
  }
}

BOOST_AUTO_TEST_CASE(ModelsDoNotShareBlocks)
{
  const std::string prompt(2 * kPrefixBlockBytes, 'x');
  BOOST_TEST(HashPrefixBlocks(prompt, "a") != HashPrefixBlocks(prompt, "b"));
}

BOOST_AUTO_TEST_CASE(AShortPrefillConfirmsAndOneLongOneIsNoLoss)
{
  PrefixCacheView view;
  const auto blocks = Blocks('p', 32);
  const auto cold = kBlockTime * 32;
  BOOST_TEST((view.RecordPrefill(kPool, kServer, blocks, cold) ==
              CacheEvidence::Learnt));
  BOOST_TEST(view.MatchedBlocks(kServer, blocks) == 32u);
  BOOST_TEST(view.MatchedBlocks(InstanceId("agent-2"), blocks) == 0u);
  BOOST_TEST((view.RecordPrefill(kPool, kServer, blocks, kBlockTime) ==
              CacheEvidence::Confirmed));
  BOOST_TEST((view.RecordPrefill(kPool, kServer, blocks, cold) ==
              CacheEvidence::Missed));
  BOOST_TEST((view.RecordPrefill(kPool, kServer, blocks, kBlockTime) ==
              CacheEvidence::Confirmed));
}

BOOST_AUTO_TEST_CASE(ACacheLostWithoutASignalIsForgottenAfterTwoMisses)
{
  PrefixCacheView view;
  const auto cold = kBlockTime * 32;
  for (const char letter : { 'p', 'q', 'r' }) {
    view.RecordPrefill(kPool, kServer, Blocks(letter, 32), cold);
  }
  view.RecordPrefill(kPool, kServer, Blocks('p', 32), cold);
  BOOST_TEST(view.MatchedBlocks(kServer, Blocks('r', 32)) == 32u);
  BOOST_TEST((view.RecordPrefill(kPool, kServer, Blocks('q', 32), cold) ==
              CacheEvidence::Forgotten));
  BOOST_TEST(view.MatchedBlocks(kServer, Blocks('r', 32)) == 0u);
  BOOST_TEST(view.MatchedBlocks(kServer, Blocks('q', 32)) == 32u);
}

BOOST_AUTO_TEST_CASE(TheTableOfAServerStaysTheSameSize)
{
  PrefixCacheView view;
  for (int round = 0; round < 200; ++round) {
    const std::string prompt =
      std::to_string(round) + std::string(64 * kPrefixBlockBytes, 'x');
    view.RecordPrefill(
      kPool, kServer, HashPrefixBlocks(prompt, "m"), kBlockTime * 64);
  }
  BOOST_TEST(view.TableBytes() == 8192u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
