#include "forwarding/forwardingdocument.h"

#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
