#include "versionrollout.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace medlarkeel {

namespace {

constexpr int kAgents = 10;
constexpr std::size_t kWidth = 2;
constexpr std::int64_t kTurn = 60;
/** Seconds within which all agents have the document. */
constexpr std::int64_t kSpread = 5;

/** One agent and its backend server. */
struct Server
{
  VersionRollout mRollout;
  std::int64_t mSeesAt = 0;
  std::int64_t mChangeTime = 0;
  std::int64_t mDoneAt = -1;
  std::string mVersion = "v1";
};

/** @return The most servers that changed at once; 0 if not all changed. */
std::size_t
MostAtOnce(std::uint64_t aSeed, std::int64_t aTurn)
{
  std::mt19937_64 random(aSeed);
  InstanceList list;
  std::vector<Server> servers;
  const RolloutLimits limits{ kWidth, Seconds(aTurn) };
  for (int index = 0; index < kAgents; ++index) {
    InstanceRecord record;
    record.mId = InstanceId("agent-" + std::to_string(random()));
    record.mRole = InstanceRole::Agent;
    list.mInstances.push_back(record);
    const auto seesAt = static_cast<std::int64_t>(random() % kSpread);
    const auto takes = static_cast<std::int64_t>(random() % (kTurn - kSpread));
    servers.push_back(
      { VersionRollout(record.mId, limits), seesAt, 1 + takes, -1, "v1" });
  }
  std::size_t most = 0;
  for (std::int64_t now = 0; now < kTurn * kAgents; ++now) {
    std::size_t changing = 0;
    for (Server& server : servers) {
      Pool pool;
      pool.mVersion = now >= server.mSeesAt ? "v2" : "v1";
      const std::string& desired = server.mRollout.Update(
        pool, list, server.mVersion, Timestamp(Seconds(now)));
      if (desired != server.mVersion && server.mDoneAt < 0) {
        server.mDoneAt = now + server.mChangeTime;
      }
      if (server.mDoneAt >= 0 && now >= server.mDoneAt) {
        server.mVersion = "v2";
      }
      changing += server.mDoneAt > now ? 1U : 0U;
    }
    most = std::max(most, changing);
  }
  const bool isDone =
    std::all_of(servers.begin(), servers.end(), [](const Server& aServer) {
      return aServer.mVersion == "v2";
    });
  return isDone ? most : 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(versionrollout)

BOOST_AUTO_TEST_CASE(AgentsTakeTurnsWithoutMessages)
{
  const bool holds = rc::check("turns", [](std::uint64_t aSeed) {
    const std::size_t most = MostAtOnce(aSeed, kTurn);
    RC_ASSERT(most >= 1U);
    RC_ASSERT(most <= kWidth);
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(WithoutTurnsAllChangeAtOnce)
{
  BOOST_TEST(MostAtOnce(1, 0) > kWidth);
}

BOOST_AUTO_TEST_CASE(AServerWithoutAVersionLoadsAtOnce)
{
  Pool pool;
  pool.mVersion = "v2";
  VersionRollout rollout(InstanceId("agent"));
  BOOST_TEST(rollout.Update(pool, {}, "", Timestamp{}) == "v2");
}

BOOST_AUTO_TEST_CASE(WithoutAVersionInTheDocumentNothingChanges)
{
  VersionRollout rollout(InstanceId("agent"));
  BOOST_TEST(rollout.Update(Pool{}, {}, "v1", Timestamp{}) == "v1");
  BOOST_TEST(rollout.Update(Pool{}, {}, "v3", Timestamp{}) == "v3");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
