#include "reportformat.h"

#include <algorithm>
#include <sstream>

namespace medlarkeel {

namespace {

constexpr double kBarWidth = 240.0; // pixels
constexpr const char* kGood = "#2e7d32";
constexpr const char* kBad = "#c62828";
constexpr const char* kNeutral = "#546e7a";

constexpr const char* kHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta http-equiv="Content-Security-Policy"
 content="default-src 'none'; style-src 'unsafe-inline'">
<title>medlarkeel report</title>
<style>
body{font-family:sans-serif;max-width:60em;margin:2em auto;color:#222}
table{border-collapse:collapse}
th,td{text-align:left;padding:.2em .8em .2em 0;border-bottom:1px solid #ddd}
.number{text-align:right}
</style></head><body>
)";

std::string
Escaped(const std::string& aText)
{
  std::string escaped;
  for (const char character : aText) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

/** A bar for a share, with a line at the target if there is one. */
std::string
Bar(double aShare, const char* aColour, double aTarget = -1.0)
{
  std::ostringstream svg;
  svg << "<svg width=\"" << kBarWidth << "\" height=\"14\" role=\"img\">"
      << "<rect width=\"" << kBarWidth
      << "\" height=\"14\" fill=\"#eee\"/><rect width=\""
      << std::clamp(aShare, 0.0, 1.0) * kBarWidth << "\" height=\"14\" fill=\""
      << aColour << "\"/>";
  if (aTarget >= 0.0) {
    const double place = std::min(aTarget * kBarWidth, kBarWidth - 1.0);
    svg << "<line x1=\"" << place << "\" x2=\"" << place
        << "\" y1=\"0\" y2=\"14\" stroke=\"#000\" stroke-width=\"2\"/>";
  }
  svg << "</svg>";
  return svg.str();
}

std::string
Number(std::uint64_t aNumber)
{
  return "<td class=\"number\">" + std::to_string(aNumber) + "</td>";
}

std::string
Cell(const std::string& aText)
{
  return "<td>" + Escaped(aText) + "</td>";
}

void
WriteList(const char* aTitle,
          const std::vector<std::string>& aItems,
          std::ostream& aOut)
{
  if (aItems.empty()) {
    return;
  }
  aOut << "<h2>" << aTitle << "</h2>\n<ul>\n";
  for (const std::string& item : aItems) {
    aOut << "<li>" << Escaped(item) << "</li>\n";
  }
  aOut << "</ul>\n";
}

void
WriteClasses(const Report& aReport, std::ostream& aOut)
{
  aOut << "<h2>Classes</h2>\n<table><tr><th>Class</th><th>Tier</th>"
          "<th>Requests</th><th>Attained, line at the level</th><th></th>"
          "<th>Level</th><th>Verdict</th></tr>\n";
  for (const ClassOutcome& outcome : aReport.mClasses) {
    const bool missed = outcome.mVerdict == LevelVerdict::Missed;
    aOut << "<tr>" << Cell(outcome.mName.Text())
         << Number(static_cast<std::uint64_t>(outcome.mTier.mValue))
         << Number(outcome.mCounters.mRequests) << "<td>"
         << Bar(outcome.mAttainment,
                missed ? kBad : kGood,
                outcome.mAttainmentTarget)
         << "</td>" << Cell(PercentText(outcome.mAttainment))
         << Cell(PercentText(outcome.mAttainmentTarget))
         << Cell(VerdictText(outcome.mVerdict)) << "</tr>\n";
  }
  aOut << "</table>\n";
}

void
WriteTeams(const Report& aReport, std::ostream& aOut)
{
  aOut << "<h2>Teams, worst served first</h2>\n<table><tr><th>Team</th>"
          "<th>Requests</th><th>Attained</th><th></th><th>Over their rate</th>"
          "<th>Wrongly refused</th></tr>\n";
  for (const TeamOutcome& team : aReport.mTeams) {
    const double share = team.mAttainment.value_or(0.0);
    aOut << "<tr>" << Cell(team.mName.Text())
         << Number(team.mCounters.mRequests) << "<td>" << Bar(share, kNeutral)
         << "</td>" << Cell(team.mAttainment ? PercentText(share) : "-")
         << Number(team.mCounters.mRefusedForRate)
         << Number(team.mCounters.mRefusedInsideRate) << "</tr>\n";
  }
  aOut << "</table>\n";
}

void
WriteRefusals(const Report& aReport, std::ostream& aOut)
{
  std::uint64_t most = 1;
  for (const auto& [reason, count] : aReport.mRefused) {
    most = std::max(most, count);
  }
  aOut << "<h2>Refusals by reason</h2>\n<table>\n";
  for (const auto& [reason, count] : aReport.mRefused) {
    const double share = static_cast<double>(count) / static_cast<double>(most);
    aOut << "<tr>" << Cell(reason) << Number(count) << "<td>"
         << Bar(share, kNeutral) << "</td></tr>\n";
  }
  aOut << "</table>\n";
}

void
WriteZonesAndNodes(const Report& aReport, std::ostream& aOut)
{
  aOut << "<h2>Zone changes</h2>\n<table>\n";
  for (const ZoneChange& change : aReport.mZoneChanges) {
    aOut << "<tr>" << Cell(UtcText(change.mAtUnixMs) + " UTC")
         << Cell(change.mZone.Text()) << Cell(ZoneStateText(change.mState))
         << "</tr>\n";
  }
  aOut << "</table>\n<h2>Document in force</h2>\n<table><tr><th>Node</th>"
          "<th>Role</th><th>Zone</th><th>Version</th><th>Revision</th>"
          "<th>Confirmed</th></tr>\n";
  for (const NodeOutcome& node : aReport.mNodes) {
    aOut << "<tr>" << Cell(node.mId.Text()) << Cell(RoleText(node.mRole))
         << Cell(node.mZone.Text()) << Number(node.mDocument.mStamp.mVersion)
         << Number(node.mDocument.mStamp.mRevision)
         << Cell(ConfirmationText(node.mDocument)) << "</tr>\n";
  }
  aOut << "</table>\n";
}

} // namespace

std::string
ReportHtml(const Report& aReport)
{
  std::ostringstream out;
  out << kHead << "<h1>Did it go well: " << VerdictText(aReport) << "</h1>\n";
  WriteList("Faults", aReport.mFaults, out);
  WriteList("What this page can't tell", aReport.mGaps, out);
  WriteClasses(aReport, out);
  out << "<h2>Work</h2>\n<p>" << aReport.mGoodput << " of " << aReport.mRequests
      << " requests met their targets. " << aReport.mTokensWasted
      << " tokens were generated in vain (" << PercentText(WastedShare(aReport))
      << "). " << aReport.mRefusedInsideRate
      << " requests were refused although inside their team's rate.</p>\n";
  WriteTeams(aReport, out);
  WriteRefusals(aReport, out);
  WriteZonesAndNodes(aReport, out);
  out << "</body></html>\n";
  return out.str();
}

} // namespace medlarkeel
