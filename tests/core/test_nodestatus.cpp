#include "nodestatus.h"

#include "statusfixture.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

BOOST_AUTO_TEST_SUITE(nodestatus)

BOOST_AUTO_TEST_CASE(StatusSurvivesJson)
{
  NodeStatus status = EntryStatus("entry-1");
  status.mDocument.mRejectedRevision = 43;
  const std::string text = NodeStatusText(status);
  const NodeStatus parsed = ParseNodeStatus(text).value();
  BOOST_TEST(NodeStatusText(parsed) == text);
  BOOST_TEST(parsed.mClasses[0].mCounters.mRefused.at("shed") == 2U);
  BOOST_TEST(parsed.mDocument.mConfirmationAge->count() == 1500);
}

BOOST_AUTO_TEST_CASE(KeyOfANewerVersionIsPassedOver)
{
  auto value = nlohmann::json::parse(NodeStatusText(EntryStatus("entry-1")));
  value["later"] = 1;
  BOOST_TEST(ParseNodeStatus(value.dump()).has_value());
  value["teams"][0]["admitted"] = "many";
  BOOST_TEST(ParseNodeStatus(value.dump()).error()[0].mPath ==
             "$.teams[0].admitted");
}

BOOST_AUTO_TEST_CASE(MergedCountersAreSums)
{
  ClassCounters sum = EntryStatus("entry-1").mClasses[0].mCounters;
  Merge(sum, EntryStatus("entry-2").mClasses[0].mCounters);
  BOOST_TEST(sum.mRequests == 200U);
  BOOST_TEST(sum.mRefused.at("shed") == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
