#include "gossippeers.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>

namespace medlarkeel {

namespace {

constexpr std::size_t kFleet = 3310; // 410 entries and 2,900 agents
constexpr std::size_t kPeers = 6;
constexpr std::size_t kRegions = 6;
/** Rounds of one second within which a document must be everywhere. */
constexpr std::size_t kRoundsInTime = 14;

InstanceList
Fleet(std::size_t aSize)
{
  InstanceList list;
  list.mRevision = 1;
  for (std::size_t index = 0; index < aSize; ++index) {
    InstanceRecord record;
    record.mId = InstanceId("node-" + std::to_string(index));
    record.mRegion = RegionName("region-" + std::to_string(index % kRegions));
    list.mInstances.push_back(record);
  }
  return list;
}

/** Whether messages pass between regions. */
enum class Regions
{
  Joined,
  Apart
};

InstanceList
RegionOf(const InstanceList& aList, const RegionName& aRegion)
{
  InstanceList list;
  for (const InstanceRecord& record : aList.mInstances) {
    if (record.mRegion == aRegion) {
      list.mInstances.push_back(record);
    }
  }
  return list;
}

/**
 * @param aReached The processes that are to be reached from the first of them.
 * @return Rounds until all of them know what the first one knew.
 */
std::size_t
RoundsToReachAll(const InstanceList& aList,
                 const InstanceList& aReached,
                 Regions aRegions)
{
  std::map<InstanceId, std::vector<InstanceId>> links;
  for (const InstanceRecord& record : aList.mInstances) {
    for (const auto& peer :
         ChooseGossipPeers(record.mId, record.mRegion, aList, kPeers)) {
      if (aRegions == Regions::Apart && peer.mRegion != record.mRegion) {
        continue;
      }
      links[record.mId].push_back(peer.mId);
      links[peer.mId].push_back(record.mId);
    }
  }
  std::set<InstanceId> informed{ aReached.mInstances.front().mId };
  std::set<InstanceId> frontier = informed;
  std::size_t rounds = 0;
  while (!frontier.empty() && informed.size() < aReached.mInstances.size()) {
    std::set<InstanceId> next;
    for (const InstanceId& node : frontier) {
      for (const InstanceId& peer : links[node]) {
        if (informed.insert(peer).second) {
          next.insert(peer);
        }
      }
    }
    frontier = next;
    ++rounds;
  }
  return informed.size() == aReached.mInstances.size() ? rounds : kFleet;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gossippeers)

BOOST_AUTO_TEST_CASE(ExcludesSelfAndLeavingInstances)
{
  InstanceList list = Fleet(5);
  list.mInstances[1].mState = InstanceState::Leaving;
  const auto peers = ChooseGossipPeers(
    InstanceId("node-0"), RegionName("region-0"), list, kPeers);
  BOOST_TEST(peers.size() == 3U);
  for (const InstanceRecord& peer : peers) {
    BOOST_TEST(peer.mId != InstanceId("node-0"));
    BOOST_TEST(peer.mId != InstanceId("node-1"));
  }
}

BOOST_AUTO_TEST_CASE(ReachesTheWholeFleetInTime)
{
  const InstanceList fleet = Fleet(kFleet);
  BOOST_TEST(RoundsToReachAll(fleet, fleet, Regions::Joined) <= kRoundsInTime);
}

BOOST_AUTO_TEST_CASE(ReachesEachRegionWhileRegionsAreApart)
{
  const InstanceList fleet = Fleet(kFleet);
  for (std::size_t index = 0; index < kRegions; ++index) {
    const RegionName region("region-" + std::to_string(index));
    const InstanceList part = RegionOf(fleet, region);
    BOOST_TEST(RoundsToReachAll(fleet, part, Regions::Apart) <= kRoundsInTime);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
