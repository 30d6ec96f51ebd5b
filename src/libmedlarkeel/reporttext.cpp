#include "reportformat.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace medlarkeel {

namespace {

constexpr int kNameWidth = 24;
constexpr int kNumberWidth = 12;
constexpr std::size_t kHashLength = 8; // characters shown

void
WriteClasses(const Report& aReport, std::ostream& aOut)
{
  aOut << "\nClasses\n"
       << std::left << std::setw(kNameWidth) << "  name" << std::right
       << std::setw(5) << "tier" << std::setw(kNumberWidth) << "requests"
       << std::setw(kNumberWidth) << "attained" << std::setw(kNumberWidth)
       << "level"
       << "  verdict\n";
  for (const ClassOutcome& outcome : aReport.mClasses) {
    aOut << std::left << std::setw(kNameWidth) << "  " + outcome.mName.Text()
         << std::right << std::setw(5) << outcome.mTier.mValue
         << std::setw(kNumberWidth) << outcome.mCounters.mRequests
         << std::setw(kNumberWidth) << PercentText(outcome.mAttainment)
         << std::setw(kNumberWidth) << PercentText(outcome.mAttainmentTarget)
         << "  " << VerdictText(outcome.mVerdict) << '\n';
  }
}

void
WriteTeams(const Report& aReport, std::ostream& aOut)
{
  aOut << "\nTeams, worst served first\n"
       << std::left << std::setw(kNameWidth) << "  name" << std::right
       << std::setw(kNumberWidth) << "requests" << std::setw(kNumberWidth)
       << "attained" << std::setw(kNumberWidth) << "over rate"
       << std::setw(kNumberWidth) << "wrongly" << '\n';
  for (const TeamOutcome& team : aReport.mTeams) {
    aOut << std::left << std::setw(kNameWidth) << "  " + team.mName.Text()
         << std::right << std::setw(kNumberWidth) << team.mCounters.mRequests
         << std::setw(kNumberWidth)
         << (team.mAttainment ? PercentText(*team.mAttainment) : "-")
         << std::setw(kNumberWidth) << team.mCounters.mRefusedForRate
         << std::setw(kNumberWidth) << team.mCounters.mRefusedInsideRate
         << '\n';
  }
}

void
WriteNodes(const Report& aReport, std::ostream& aOut)
{
  aOut << "\nDocument in force\n";
  for (const NodeOutcome& node : aReport.mNodes) {
    const DocumentStamp& stamp = node.mDocument.mStamp;
    aOut << "  " << node.mId << " (" << RoleText(node.mRole) << ", "
         << node.mZone << "): version " << stamp.mVersion << ", revision "
         << stamp.mRevision << ", " << stamp.mHash.substr(0, kHashLength)
         << ", confirmed " << ConfirmationText(node.mDocument) << '\n';
  }
}

} // namespace

std::string
PercentText(double aShare)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << aShare * 100.0 << '%';
  return text.str();
}

std::string
UtcText(std::uint64_t aUnixMs)
{
  const auto seconds = static_cast<std::time_t>(aUnixMs / 1000);
  std::tm broken{};
  std::array<char, 32> text{};
  if (gmtime_r(&seconds, &broken) == nullptr) {
    return std::to_string(aUnixMs);
  }
  std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &broken);
  return text.data();
}

std::string
ConfirmationText(const DocumentStatus& aDocument)
{
  if (!aDocument.mConfirmationAge) {
    return "never";
  }
  std::ostringstream text;
  text << std::fixed << std::setprecision(1)
       << static_cast<double>(aDocument.mConfirmationAge->count()) / 1000.0
       << " s ago";
  return text.str();
}

std::string
ReportText(const Report& aReport)
{
  std::ostringstream out;
  out << "Did it go well: " << VerdictText(aReport) << '\n';
  for (const std::string& fault : aReport.mFaults) {
    out << "  fault: " << fault << '\n';
  }
  for (const std::string& gap : aReport.mGaps) {
    out << "  gap: " << gap << '\n';
  }
  WriteClasses(aReport, out);
  WriteTeams(aReport, out);
  out << "\nGoodput: " << aReport.mGoodput << " of " << aReport.mRequests
      << " requests met their targets\n"
      << "Wasted work: " << aReport.mTokensWasted << " tokens, "
      << PercentText(WastedShare(aReport)) << " of all\n"
      << "Refused although inside their team's rate: "
      << aReport.mRefusedInsideRate << '\n';
  out << "\nRefusals by reason\n";
  for (const auto& [reason, count] : aReport.mRefused) {
    out << "  " << reason << ": " << count << '\n';
  }
  out << "\nZone changes\n";
  for (const ZoneChange& change : aReport.mZoneChanges) {
    out << "  " << UtcText(change.mAtUnixMs) << " UTC: " << change.mZone << ' '
        << ZoneStateText(change.mState) << '\n';
  }
  WriteNodes(aReport, out);
  return out.str();
}

} // namespace medlarkeel
