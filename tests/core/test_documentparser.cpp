#include "documentparser.h"

#include "testdocument.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <chrono>
#include <set>

namespace medlarkeel {

namespace {

using Json = nlohmann::json;
using Paths = std::vector<std::string>;

/** Each is wrong whatever the rest of the document holds. */
const std::vector<Mistake> kWrongValues{
  { "/version", "0", "$.version" },
  { "/environment", R"("a b")", "$.environment" },
  { "/extra", "1", "$.extra" },
  { "/zones/0/state", R"("maybe")", "$.zones[0].state" },
  { "/classes/0/tier", "7", "$.classes[0].tier" },
  { "/classes/1/attainment", "1.5", "$.classes[1].attainment" },
  { "/classes/1/firstByteTargetMs", "1.5", "$.classes[1].firstByteTargetMs" },
  { "/classes/2/tiers", "1", "$.classes[2].tiers" },
  { "/pools/1/honoursFencing", "", "$.pools[1].honoursFencing" },
  { "/teams/0/rate", "0", "$.teams[0].rate" },
  { "/teams/0/burst", R"("many")", "$.teams[0].burst" },
  { "/teams/0/keys/0/id", R"("a_b")", "$.teams[0].keys[0].id" },
  { "/routes/3/path", R"("/a/*/b")", "$.routes[3].path" },
  { "/routes/3/path", R"("/a/../b")", "$.routes[3].path" },
  { "/withdrawnStreams", "true", "$.withdrawnStreams" },
};

/** Each contradicts another part of the document. */
const std::vector<Mistake> kContradictions{
  { "/zones/1/name", R"("xela-a")", "$.zones[1].name" },
  { "/classes/0/deadlineMs", "100", "$.classes[0].completionTargetMs" },
  { "/classes/1/floorShare", "0.95", "$.classes" },
  { "/pools/0/coldStartConcurrency", "17", "$.pools[0].coldStartConcurrency" },
  { "/pools/1/adapters", R"(["x"])", "$.pools[1].adapters" },
  { "/teams/1/keys",
    R"([{"id":"alfa1","salt":"salt-two","secretHash":"0000000000000000000000000000000000000000000000000000000000000000"}])",
    "$.teams[1].keys[0].id" },
  { "/teams/1/classes/1", R"("none")", "$.teams[1].classes[1]" },
  { "/routes/1/class", R"("none")", "$.routes[1].class" },
  { "/routes/2/pool", R"("none")", "$.routes[2].pool" },
  { "/routes/0/repeatable", "false", "$.routes[1].repeatable" },
  { "/routes/1/class", R"("draft")", "$.routes[1]" },
  { "/routes/1/pool", R"("bookings")", "$.routes[1].pool" },
  { "/openRate", "0", "$.openRate" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(documentparser)

BOOST_AUTO_TEST_CASE(ValidDocumentIsReadWhole)
{
  const EnvironmentDocument document = ValidDocument(SmallDocument());
  BOOST_TEST(document.mVersion == 7U);
  BOOST_TEST(document.mZones[1].mName.Text() == "xela-b");
  BOOST_TEST((document.mZones[1].mState == ZoneState::Out));
  BOOST_TEST(document.mClasses[0].mTier.mValue == 0);
  BOOST_TEST(document.mClasses[0].mDeadline->count() == 5000);
  BOOST_TEST(!document.mClasses[1].mDeadline.has_value());
  BOOST_TEST(document.mClasses[2].mFloorShare == 0.05);
  BOOST_TEST(document.mPools[0].mAdapters[0].Text() == "festival");
  BOOST_TEST(document.mPools[0].mColdStartConcurrency == 2U);
  BOOST_TEST(document.mTeams[0].mKeys[0].mId.Text() == "alfa1");
  BOOST_TEST(document.mTeams[1].mRate == 5.5);
  BOOST_TEST(!document.mRoutes[2].mRepeatable);
  BOOST_TEST((document.mWithdrawnStreams == WithdrawnStreams::Cut));
}

BOOST_AUTO_TEST_CASE(EachMistakeIsReportedAtItsPath)
{
  for (const auto& mistakes : { kWrongValues, kContradictions }) {
    for (const Mistake& mistake : mistakes) {
      Json value = SmallDocument();
      Put(mistake, value);
      const Paths paths = ProblemPaths(value.dump());
      BOOST_TEST_CONTEXT(mistake.mPointer)
      {
        BOOST_TEST((paths == Paths{ mistake.mPath }));
      }
    }
  }
}

RC_BOOST_PROP(WrongValuesAreReportedTogether, ())
{
  const auto chosen = *rc::gen::container<std::set<std::size_t>>(
    rc::gen::inRange<std::size_t>(0, kWrongValues.size()));
  Json value = SmallDocument();
  std::set<std::string> expected;
  for (const std::size_t index : chosen) {
    Put(kWrongValues[index], value);
    expected.insert(kWrongValues[index].mPath);
  }
  const Paths paths = ProblemPaths(value.dump());
  RC_ASSERT((std::set<std::string>(paths.begin(), paths.end()) == expected));
  RC_ASSERT(paths.size() == expected.size());
}

BOOST_AUTO_TEST_CASE(ProblemNamesUnitAndWhatWasFound)
{
  Json value = SmallDocument();
  value["teams"][0]["rate"] = -3;
  const auto problem = ParseEnvironmentDocument(value.dump()).error().at(0);
  BOOST_TEST(ProblemText(problem) ==
             "$.teams[0].rate: expected a number above 0 to 1e+06 requests per "
             "second, found -3");
}

BOOST_AUTO_TEST_CASE(ProblemNeverShowsASecret)
{
  Json value = SmallDocument();
  value["teams"][0]["keys"][0]["secretHash"] = "plain-secret";
  value["teams"][0]["keys"][0]["salt"] = "short!";
  const auto problems = ParseEnvironmentDocument(value.dump()).error();
  BOOST_TEST(problems.size() == 2U);
  for (const DocumentProblem& problem : problems) {
    BOOST_TEST(problem.mFound.find("plain-secret") == std::string::npos);
    BOOST_TEST(problem.mFound.find("short!") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(KeyThatStandsTwiceIsReported)
{
  std::string text = SmallDocument().dump();
  text.insert(text.find("\"tier\":2"), "\"tier\":3,");
  BOOST_TEST((ProblemPaths(text) == Paths{ "$.classes[1].tier" }));
}

BOOST_AUTO_TEST_CASE(TextBeyondTheLimitsIsRefusedUnparsed)
{
  const std::string deep = std::string(100000, '[');
  BOOST_TEST(ParseEnvironmentDocument(deep).error()[0].mExpected ==
             "at most 16 nested arrays and objects");
  const std::string large(kMaximumDocumentBytes + 1, ' ');
  BOOST_TEST(ParseEnvironmentDocument(large).error()[0].mExpected ==
             "at most 1048576 bytes");
  BOOST_TEST(ParseEnvironmentDocument("{\"a\":").error()[0].mExpected ==
             "JSON text");
  BOOST_TEST((ProblemPaths("[]") ==
              Paths{ "$", "$.zones", "$.classes", "$.pools", "$.routes" }));
}

BOOST_AUTO_TEST_CASE(DocumentOfTheTargetSizeIsReadWhole)
{
  Json value = SmallDocument();
  const Json key = value["teams"][0]["keys"][0];
  const Json pool = value["pools"][0];
  value["teams"] = Json::array();
  for (int index = 0; index < 3600; ++index) {
    Json team{ { "name", "team-" + std::to_string(index) },
               { "rate", 1.5 },
               { "burst", 5 },
               { "keys", { key } } };
    team["keys"][0]["id"] = "key" + std::to_string(index);
    value["teams"].push_back(team);
  }
  for (int index = 0; index < 10; ++index) {
    value["pools"].push_back(pool);
    value["pools"].back()["name"] = "model-" + std::to_string(index);
  }
  const std::string text = value.dump();
  const auto before = std::chrono::steady_clock::now();
  const DocumentResult result = ParseEnvironmentDocument(text);
  const std::chrono::duration<double, std::milli> spent =
    std::chrono::steady_clock::now() - before;
  BOOST_TEST_MESSAGE("3,600 teams with a key each: "
                     << text.size() << " bytes, " << spent.count() << " ms");
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(result.value().mTeams.size() == 3600U);
}

RC_BOOST_PROP(DamagedTextNeverEndsTheProcess, ())
{
  std::string text = SmallDocument().dump();
  const auto places = *rc::gen::container<std::vector<std::size_t>>(
    rc::gen::inRange<std::size_t>(0, text.size()));
  for (const std::size_t place : places) {
    text[place] = *rc::gen::arbitrary<char>();
  }
  const DocumentResult first = ParseEnvironmentDocument(text);
  const DocumentResult second = ParseEnvironmentDocument(text);
  RC_ASSERT(first.has_value() == second.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
