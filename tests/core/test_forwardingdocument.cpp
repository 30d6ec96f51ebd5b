#include "forwarding/forwardingdocument.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace medlarkeel {

BOOST_AUTO_TEST_SUITE(forwardingdocument)

BOOST_AUTO_TEST_CASE(RouteWithLongestPrefixOfTheHostIsFound)
{
  ForwardingDocument document;
  document.mRoutes.resize(3);
  document.mRoutes[0].mHost = "a.example";
  document.mRoutes[0].mPathPrefix = "/x/";
  document.mRoutes[1].mHost = "a.example";
  document.mRoutes[1].mPathPrefix = "/x/y/";
  document.mRoutes[2].mHost = "b.example";
  document.mRoutes[2].mPathPrefix = "/x/y/z/";
  BOOST_TEST(document.FindRoute("a.example", "/x/y/z/1") ==
             &document.mRoutes[1]);
  BOOST_TEST(document.FindRoute("a.example", "/x/1") == &document.mRoutes[0]);
  BOOST_TEST(document.FindRoute("a.example", "/x") == nullptr);
  BOOST_TEST(document.FindRoute("c.example", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(KeyIdentifiesItsTeam)
{
  ForwardingDocument document;
  document.mTeams = { { TeamName("one"), std::nullopt },
                      { TeamName("two"), TierRank{ 1 } } };
  document.mKeys = { { "key", 1 } };
  BOOST_TEST(document.FindTeam("key")->mName.Text() == "two");
  BOOST_TEST(document.FindTeam("other") == nullptr);
}

/** Guards against ranks at backend servers that are shifted by a team whose
 * requests are all refused. */
BOOST_AUTO_TEST_CASE(UnusableTeamAddsNoPriority)
{
  ForwardingDocument document;
  document.mRoutes.resize(1);
  document.mRoutes[0].mTier = TierRank{ 2 };
  document.mRoutes[0].mPools = { { PoolName("models"), 1 } };
  document.mTeams = { { TeamName("one"), TierRank{ 1 } },
                      { TeamName(), TierRank{ 9 }, false } };
  document.mRequiresKeys = true;
  document.mPools[PoolName("models")].mName = PoolName("models");
  document.DerivePoolValues();
  const std::vector<RequestPriority> expected{ { TierRank{ 1 },
                                                 TierRank{ 2 } } };
  BOOST_CHECK(document.mPools.at(PoolName("models")).mPriorities == expected);
}

BOOST_AUTO_TEST_CASE(PoolHasThePrioritiesThatItsRequestsCanHave)
{
  ForwardingDocument document;
  document.mRoutes.resize(3);
  document.mRoutes[0].mTier = TierRank{ 2 };
  document.mRoutes[0].mPools = { { PoolName("models"), 1 } };
  document.mRoutes[1].mTier = TierRank{ 0 };
  document.mRoutes[1].mPools = { { PoolName("models"), 1 } };
  document.mRoutes[2].mTier = TierRank{ 7 };
  document.mRoutes[2].mPools = { { PoolName("plain"), 1 } };
  document.mTeams = { { TeamName("one"), TierRank{ 1 } },
                      { TeamName("two"), TierRank{ 1 } },
                      { TeamName("three"), std::nullopt } };
  document.mKeys = { { "key", 0 } };
  document.mRequiresKeys = true;
  document.mPools[PoolName("models")].mName = PoolName("models");
  document.DerivePoolValues();
  const std::vector<RequestPriority> expected{
    { TierRank{ 0 }, TierRank{ 0 } },
    { TierRank{ 1 }, TierRank{ 0 } },
    { TierRank{ 1 }, TierRank{ 2 } },
    { TierRank{ 2 }, TierRank{ 2 } },
  };
  BOOST_TEST((document.mPools[PoolName("models")].mPriorities == expected));
}

BOOST_AUTO_TEST_CASE(TierOfTheTeamPrecedesTheTierOfTheRoute)
{
  ForwardRoute urgent;
  urgent.mTier = TierRank{ 0 };
  ForwardRoute other;
  other.mTier = TierRank{ 2 };
  const ForwardTeam preferred{ TeamName("one"), TierRank{ 0 } };
  const ForwardTeam usual{ TeamName("two"), TierRank{ 1 } };
  BOOST_TEST((PriorityOf(&preferred, other) < PriorityOf(&usual, urgent)));
  BOOST_TEST((PriorityOf(&usual, urgent) < PriorityOf(&usual, other)));
  BOOST_TEST((PriorityOf(nullptr, urgent) < PriorityOf(nullptr, other)));
}

BOOST_AUTO_TEST_CASE(BackendRanksKeepTheOrderOfPriorities)
{
  constexpr int kMaximumRank = 9;
  for (int count = 1; count <= 30; ++count) {
    std::vector<RequestPriority> priorities;
    priorities.reserve(static_cast<std::size_t>(count));
    for (int tier = 0; tier < count; ++tier) {
      priorities.push_back({ TierRank{ 1 }, TierRank{ 3 * tier } });
    }
    int previous = 0;
    for (const RequestPriority& priority : priorities) {
      const int rank = BackendRank(priorities, priority, kMaximumRank);
      BOOST_TEST(rank >= previous);
      BOOST_TEST(rank - previous <= 1);
      BOOST_TEST(rank <= kMaximumRank);
      previous = rank;
    }
    BOOST_TEST(previous == std::min(count - 1, kMaximumRank));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
