#include "reportformat.h"

#include "decisionrecord.h"
#include "statusfixture.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace medlarkeel {

namespace {

Report
ReportWithAFault()
{
  NodeStatus status = EntryStatus("entry-1");
  status.mClasses[0].mCounters.mMetTarget = 90;
  return BuildReport({ status }, { "10.0.0.9:80 (<no answer>)" });
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(reportformat)

BOOST_AUTO_TEST_CASE(EveryFormatTellsTheVerdictAndWhy)
{
  const Report report = ReportWithAFault();
  for (const std::string& text :
       { ReportText(report), ReportJson(report), ReportHtml(report) }) {
    BOOST_TEST(Contains(text, "class confirmation missed its level"));
    BOOST_TEST(Contains(text, "no status from 10.0.0.9:80"));
    BOOST_TEST(Contains(text, "families"));
    BOOST_TEST(Contains(text, "shed"));
  }
  BOOST_TEST(Contains(ReportText(report), "Did it go well: no"));
  const auto json = nlohmann::json::parse(ReportJson(report));
  BOOST_TEST(json["wentWell"] == "no");
  BOOST_TEST(json["classes"][0]["attainment"] == 0.9);
}

BOOST_AUTO_TEST_CASE(HtmlStandsAloneWithoutScripts)
{
  const std::string html = ReportHtml(ReportWithAFault());
  BOOST_TEST(Contains(html, "<svg"));
  BOOST_TEST(Contains(html, "&lt;no answer&gt;"));
  for (const char* part :
       { "<script", "http://", "https://", "src=", "href=" }) {
    BOOST_TEST(!Contains(html, part));
  }
}

BOOST_AUTO_TEST_CASE(TimesAreUtc)
{
  BOOST_TEST(UtcText(86'400'000) == "1970-01-02 00:00:00");
}

BOOST_AUTO_TEST_CASE(DecisionsSurviveJson)
{
  const std::string text = DecisionsText({ { 5, 2001, "chosen agent-1" } });
  const auto records = ParseDecisions(text).value();
  BOOST_REQUIRE(records.size() == 1U);
  BOOST_TEST(records[0].mEvent == 2001);
  BOOST_TEST(records[0].mText == "chosen agent-1");
  BOOST_TEST(ParseDecisions("{}").has_error());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarkeel
