#include "report.h"

#include "statusfixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

namespace medlarkeel {

namespace {

std::vector<std::string>
FaultsOf(const NodeStatus& aStatus)
{
  return BuildReport({ EntryStatus("entry-0"), aStatus }, {}).mFaults;
}

} // namespace

BOOST_AUTO_TEST_SUITE(report)

BOOST_AUTO_TEST_CASE(GoodDayIsToldAsSuch)
{
  const Report report =
    BuildReport({ EntryStatus("entry-1"), EntryStatus("entry-2") }, {});
  BOOST_TEST(VerdictText(report) == "yes");
  BOOST_TEST(report.mRequests == 600U);
  BOOST_TEST(report.mGoodput == 576U);
  BOOST_TEST(WastedShare(report) == 0.1);
  BOOST_TEST(report.mRefused.at("shed") == 4U);
  BOOST_TEST(report.mClasses[0].mAttainment == 0.98);
  BOOST_TEST((report.mClasses[0].mVerdict == LevelVerdict::Met));
  BOOST_TEST((report.mClasses[2].mVerdict == LevelVerdict::NoTraffic));
  BOOST_TEST(report.mTeams.front().mName.Text() == "families");
  BOOST_TEST(report.mZoneChanges.size() == 2U);
}

BOOST_AUTO_TEST_CASE(EachFaultIsNamed)
{
  NodeStatus status = EntryStatus("entry-1");
  status.mClasses[0].mCounters.mMetTarget = 90;
  BOOST_TEST(FaultsOf(status).at(0) == "class confirmation missed its level");
  status = EntryStatus("entry-1");
  status.mTeams[0].mCounters.mRefusedInsideRate = 3;
  BOOST_TEST(FaultsOf(status).at(0) ==
             "3 requests refused although inside their team's rate");
  status = EntryStatus("entry-1");
  status.mDocument.mStamp.mHash = "other";
  BOOST_TEST(FaultsOf(status).at(0) == "nodes act on 2 different documents");
  status = EntryStatus("entry-1");
  status.mDocument.mRejectedRevision = 44;
  BOOST_TEST(FaultsOf(status).at(0) == "node entry-1 refused a newer document");
}

BOOST_AUTO_TEST_CASE(ChangeOfAZoneThatNodesSawAtDifferentTimesIsOne)
{
  NodeStatus late = EntryStatus("entry-2");
  late.mZoneChanges[0].mAtUnixMs = 9500;
  late.mZoneChanges[1].mAtUnixMs = 9600;
  const Report report = BuildReport({ late, EntryStatus("entry-1") }, {});
  BOOST_REQUIRE(report.mZoneChanges.size() == 2U);
  BOOST_TEST(report.mZoneChanges[0].mAtUnixMs == 5000U);
  BOOST_TEST(report.mZoneChanges[1].mAtUnixMs == 9000U);
}

BOOST_AUTO_TEST_CASE(ChangesWithoutAVersionAreToldApartByState)
{
  NodeStatus status = EntryStatus("entry-1");
  const ZoneName zone("xela-a");
  status.mZoneChanges = { { zone, ZoneState::Out, 5000 },
                          { zone, ZoneState::In, 9000 },
                          { zone, ZoneState::Out, 20000 } };
  NodeStatus late = EntryStatus("entry-2");
  late.mZoneChanges = { { zone, ZoneState::Out, 5400 },
                        { zone, ZoneState::In, 9600 },
                        { zone, ZoneState::Out, 20100 } };
  BOOST_TEST(BuildReport({ status, late }, {}).mZoneChanges.size() == 3U);
}

BOOST_AUTO_TEST_CASE(NodeThatIsSilentLeavesTheVerdictOpen)
{
  const Report report =
    BuildReport({ EntryStatus("entry-1") }, { "127.0.0.1:9 (refused)" });
  BOOST_TEST(VerdictText(report) == "not known");
  BOOST_TEST(VerdictText(BuildReport({}, {})) == "not known");
}

BOOST_AUTO_TEST_CASE(NodeAskedTwiceCountsOnce)
{
  NodeStatus restarted = EntryStatus("entry-1");
  restarted.mIncarnation = { 8 };
  restarted.mClasses.clear();
  const Report report = BuildReport({ restarted, EntryStatus("entry-1") }, {});
  BOOST_TEST(report.mNodes.size() == 1U);
  BOOST_TEST(report.mRequests == 0U);
}

RC_BOOST_PROP(ReportDoesNotDependOnTheOrderOfNodes, ())
{
  std::vector<NodeStatus> nodes;
  const auto versions = *rc::gen::container<std::vector<std::uint64_t>>(
    rc::gen::inRange<std::uint64_t>(1, 4));
  for (std::size_t index = 0; index < versions.size(); ++index) {
    nodes.push_back(EntryStatus("entry-" + std::to_string(index)));
    nodes.back().mDocument.mStamp.mVersion = versions[index];
    nodes.back().mClasses[0].mAttainmentTarget =
      0.9 + 0.01 * static_cast<double>(versions[index]);
  }
  const Report forward = BuildReport(nodes, {});
  std::reverse(nodes.begin(), nodes.end());
  const Report backward = BuildReport(nodes, {});
  RC_ASSERT(forward.mFaults == backward.mFaults);
  RC_ASSERT(forward.mGoodput == backward.mGoodput);
  for (std::size_t index = 0; index < forward.mClasses.size(); ++index) {
    RC_ASSERT(forward.mClasses[index].mAttainmentTarget ==
              backward.mClasses[index].mAttainmentTarget);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
