#include "subsetselector.h"

#include "fleetfixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>

namespace medlarkeel {

namespace {

SubsetInput
MakeInput(std::size_t aEntries, std::size_t aAgents, std::size_t aSize)
{
  SubsetInput input;
  for (std::size_t index = 0; index < aEntries; ++index) {
    input.mEntries.emplace_back("entry-" + std::to_string(index));
  }
  for (std::size_t index = 0; index < aAgents; ++index) {
    input.mAgents.push_back({ InstanceId("agent-" + std::to_string(index)),
                              ZoneName("zone-" + std::to_string(index % 3)) });
  }
  input.mSize = aSize;
  return input;
}

/** @return How many entries selected each agent. */
std::map<InstanceId, int>
CoverOf(const SubsetInput& aInput)
{
  std::map<InstanceId, int> cover;
  for (const SubsetAgent& agent : aInput.mAgents) {
    cover[agent.mId] = 0;
  }
  for (const InstanceId& entry : aInput.mEntries) {
    for (const InstanceId& agent : SelectSubset(entry, aInput)) {
      ++cover[agent];
    }
  }
  return cover;
}

/** @return Largest cover over mean cover. */
double
Imbalance(const std::map<InstanceId, int>& aCover)
{
  double total = 0.0;
  double most = 0.0;
  for (const auto& [agent, cover] : aCover) {
    total += cover;
    most = std::max(most, static_cast<double>(cover));
  }
  return most / (total / static_cast<double>(aCover.size()));
}

/** Each entry draws its agents for itself. */
std::map<InstanceId, int>
NaiveCoverOf(const SubsetInput& aInput, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::map<InstanceId, int> cover;
  for (const SubsetAgent& agent : aInput.mAgents) {
    cover[agent.mId] = 0;
  }
  for (std::size_t entry = 0; entry < aInput.mEntries.size(); ++entry) {
    std::vector<SubsetAgent> drawn;
    std::sample(aInput.mAgents.begin(),
                aInput.mAgents.end(),
                std::back_inserter(drawn),
                aInput.mSize,
                random);
    for (const SubsetAgent& agent : drawn) {
      ++cover[agent.mId];
    }
  }
  return cover;
}

} // namespace

BOOST_AUTO_TEST_SUITE(subsetselector)

RC_BOOST_PROP(OrderOfTheInputDoesNotMatter, ())
{
  SubsetInput input = MakeInput(*rc::gen::inRange<std::size_t>(1, 20),
                                *rc::gen::inRange<std::size_t>(1, 40),
                                *rc::gen::inRange<std::size_t>(1, 12));
  const InstanceId self = input.mEntries.front();
  const auto selected = SelectSubset(self, input);
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  std::shuffle(input.mEntries.begin(), input.mEntries.end(), random);
  std::shuffle(input.mAgents.begin(), input.mAgents.end(), random);
  RC_ASSERT(SelectSubset(self, input) == selected);
  const std::set<InstanceId> unique(selected.begin(), selected.end());
  RC_ASSERT(unique.size() == std::min(input.mSize, input.mAgents.size()));
}

BOOST_AUTO_TEST_CASE(EveryAgentIsCoveredEvenly)
{
  const SubsetInput input = MakeInput(68, 45, 8);
  const auto cover = CoverOf(input);
  BOOST_TEST(Imbalance(cover) <= 1.25);
  const auto least = std::min_element(
    cover.begin(), cover.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  BOOST_TEST(least->second > 0);
  BOOST_TEST(Imbalance(NaiveCoverOf(input, 20261204)) > 1.25);
}

BOOST_AUTO_TEST_CASE(ASubsetSpansTheZones)
{
  const SubsetInput input = MakeInput(68, 45, 8);
  std::map<ZoneName, int> zones;
  for (const InstanceId& id : SelectSubset(input.mEntries[5], input)) {
    const auto agent =
      std::find_if(input.mAgents.begin(),
                   input.mAgents.end(),
                   [&](const SubsetAgent& aAgent) { return aAgent.mId == id; });
    ++zones[agent->mZone];
  }
  BOOST_TEST(zones.size() == 3u);
}

BOOST_AUTO_TEST_CASE(OneAgentThatLeavesMovesFewChannels)
{
  const SubsetInput before = MakeInput(68, 45, 8);
  SubsetInput after = before;
  after.mAgents.erase(after.mAgents.begin() + 7);
  std::size_t opened = 0;
  for (const InstanceId& entry : before.mEntries) {
    const auto old = SelectSubset(entry, before);
    const auto fresh = SelectSubset(entry, after);
    std::vector<InstanceId> added;
    std::set_difference(fresh.begin(),
                        fresh.end(),
                        old.begin(),
                        old.end(),
                        std::back_inserter(added));
    opened += added.size();
  }
  BOOST_TEST(opened <= 68 * 8 / 4);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
