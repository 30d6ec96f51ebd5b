#include "adapterplacement.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace medlarkeel {

namespace {

constexpr int kAgents = 10;
constexpr std::size_t kCopies = 2;

using Holders =
  std::function<std::set<InstanceId>(const AdapterName&, const InstanceList&)>;

InstanceList
MakeList(int aAgents)
{
  InstanceList list;
  for (int index = 0; index < aAgents; ++index) {
    InstanceRecord record;
    record.mId = InstanceId("agent-" + std::to_string(index));
    record.mRole = InstanceRole::Agent;
    record.mPool = PoolName("renewal");
    list.mInstances.push_back(record);
  }
  return list;
}

Pool
MakePool(int aAdapters)
{
  Pool pool;
  pool.mName = PoolName("renewal");
  for (int index = 0; index < aAdapters; ++index) {
    pool.mAdapters.emplace_back("adapter-" + std::to_string(index));
  }
  return pool;
}

std::set<InstanceId>
ByRendezvous(const AdapterName& aAdapter, const InstanceList& aList)
{
  return AdapterHolders(aAdapter, PoolName("renewal"), aList, kCopies);
}

/** Counts from a position that depends on the length of the list. */
std::set<InstanceId>
ByModulus(const AdapterName& aAdapter, const InstanceList& aList)
{
  std::set<InstanceId> holders;
  const std::size_t first = std::hash<AdapterName>()(aAdapter);
  for (std::size_t copy = 0; copy < kCopies; ++copy) {
    const std::size_t index = (first + copy) % aList.mInstances.size();
    holders.insert(aList.mInstances[index].mId);
  }
  return holders;
}

/** @return Loads that the loss of one agent causes, over 200 adapters. */
int
LoadsAfterLoss(const Holders& aHolders)
{
  const InstanceList before = MakeList(kAgents);
  const InstanceList after = MakeList(kAgents - 1);
  int loads = 0;
  for (const AdapterName& adapter : MakePool(200).mAdapters) {
    const std::set<InstanceId> old = aHolders(adapter, before);
    for (const InstanceId& holder : aHolders(adapter, after)) {
      loads += old.count(holder) == 0 ? 1 : 0;
    }
  }
  return loads;
}

} // namespace

BOOST_AUTO_TEST_SUITE(adapterplacement)

BOOST_AUTO_TEST_CASE(EveryNodePlacesAlikeWhateverTheOrderOfTheList)
{
  const bool holds = rc::check("placed alike", [](std::uint64_t aSeed) {
    std::mt19937_64 random(aSeed);
    const InstanceList list = MakeList(kAgents);
    InstanceList shuffled = list;
    std::shuffle(
      shuffled.mInstances.begin(), shuffled.mInstances.end(), random);
    const AdapterName adapter(std::to_string(random()));
    RC_ASSERT(ByRendezvous(adapter, list) == ByRendezvous(adapter, shuffled));
    RC_ASSERT(ByRendezvous(adapter, list).size() == kCopies);
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(TheLossOfAnAgentMovesOnlyWhatItHeld)
{
  const int held = 200 * static_cast<int>(kCopies) / kAgents;
  BOOST_TEST(LoadsAfterLoss(ByRendezvous) <= 2 * held);
  BOOST_TEST(LoadsAfterLoss(ByModulus) > 2 * held);
}

BOOST_AUTO_TEST_CASE(AnAgentThatComesAndGoesMovesNothing)
{
  const Pool pool = MakePool(200);
  AdapterPlacement placement(InstanceId("agent-0"));
  Timestamp now{};
  placement.Update(pool, MakeList(kAgents), now);
  now += Seconds(10);
  const auto steady = placement.Update(pool, MakeList(kAgents), now);
  BOOST_TEST(!steady.empty());
  for (int flap = 0; flap < 20; ++flap) {
    now += Seconds(5);
    const int agents = kAgents - flap % 2;
    BOOST_TEST((placement.Update(pool, MakeList(agents), now) == steady));
  }
  for (int second = 0; second < 200; ++second) {
    now += Seconds(1);
    placement.Update(pool, MakeList(kAgents - 1), now);
  }
  const auto grown = placement.Update(pool, MakeList(kAgents - 1), now);
  BOOST_TEST(grown.size() > steady.size());
}

BOOST_AUTO_TEST_CASE(ARestartedAgentUnloadsNothingAtOnce)
{
  AdapterPlacement placement(InstanceId("agent-0"));
  placement.AdoptLoaded({ AdapterName("adapter-0") });
  const auto desired = placement.Update(MakePool(0), MakeList(1), Timestamp{});
  BOOST_TEST(desired.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
