#include "instancelistparser.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

BOOST_AUTO_TEST_SUITE(instancelistparser)

BOOST_AUTO_TEST_CASE(ReadsEveryField)
{
  const auto parsed = ParseInstanceList(
    R"({"revision":7,"instances":[{"id":"a1","role":"agent",
        "state":"leaving","zone":"xela-a","region":"gt-occidente",
        "address":"127.0.0.1:9001","pool":"bookings"}]})");
  BOOST_REQUIRE(parsed);
  const InstanceList& list = parsed.value();
  BOOST_TEST(list.mRevision == 7U);
  BOOST_REQUIRE(list.mInstances.size() == 1U);
  const InstanceRecord& record = list.mInstances.front();
  BOOST_TEST(record.mId == InstanceId("a1"));
  BOOST_CHECK(record.mRole == InstanceRole::Agent);
  BOOST_CHECK(record.mState == InstanceState::Leaving);
  BOOST_TEST(record.mZone == ZoneName("xela-a"));
  BOOST_TEST(record.mRegion == RegionName("gt-occidente"));
  BOOST_TEST(record.mAddress == "127.0.0.1:9001");
  BOOST_TEST(record.mPool == PoolName("bookings"));
}

BOOST_AUTO_TEST_CASE(RefusesWhatIsNotAList)
{
  BOOST_TEST(!ParseInstanceList("").has_value());
  BOOST_TEST(!ParseInstanceList("[]").has_value());
  BOOST_TEST(!ParseInstanceList(R"({"revision":1})").has_value());
  BOOST_TEST(
    !ParseInstanceList(R"({"revision":1,"instances":[{"id":3}]})").has_value());
}

/** Guards against a daemon that knows no instance after a restart, because one
 * of them can't be read. */
BOOST_AUTO_TEST_CASE(UnusableInstanceLeavesTheOthers)
{
  const std::string usable = R"({"id":"a1","role":"agent","zone":"z",
    "region":"r","address":"127.0.0.1:9001"})";
  for (const std::string unusable : { R"({"id":3})",
                                      R"({})",
                                      "7",
                                      "{\"id\":\"\xff\",\"role\":\"agent\","
                                      "\"zone\":\"z\",\"region\":\"r\","
                                      "\"address\":\"127.0.0.1:9002\"}" }) {
    std::string list = R"({"revision":7,"instances":[)";
    list.append(unusable).append(",").append(usable).append("]}");
    const auto parsed = ParseInstanceList(list);
    BOOST_REQUIRE(parsed);
    BOOST_REQUIRE(parsed.value().mInstances.size() == 1U);
    BOOST_TEST(parsed.value().mInstances.front().mId == InstanceId("a1"));
    BOOST_TEST(parsed.value().mUnusable == 1U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
