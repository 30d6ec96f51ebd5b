#include "placementtext.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <vector>

namespace medlarkeel {

namespace {

using Json = nlohmann::ordered_json;
using Row = std::vector<std::string>;

std::string
ValueText(const Json& aValue)
{
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  return aValue.is_null() ? "none" : aValue.dump();
}

/** @return A number with at most one decimal. */
std::string
NumberText(const Json& aValue)
{
  const double number = aValue.get<double>();
  const auto tenths = std::llround(number * 10.0);
  std::string text = std::to_string(tenths / 10);
  return tenths % 10 == 0 ? text
                          : text + "." + std::to_string(std::abs(tenths % 10));
}

std::string
PercentText(const Json& aShare)
{
  return std::to_string(std::llround(100.0 * aShare.get<double>())) + " %";
}

/** Aligns the columns; the first two hold text, the others numbers, and the
 * last isn't padded. */
std::string
TableText(const std::vector<Row>& aRows)
{
  constexpr std::size_t kTextColumns = 2;
  std::vector<std::size_t> widths(aRows.front().size());
  for (const Row& row : aRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const Row& row : aRows) {
    text += "  ";
    for (std::size_t i = 0; i + 1 < row.size(); ++i) {
      const std::string padding(widths[i] - row[i].size(), ' ');
      text += i < kTextColumns ? row[i] + padding : padding + row[i];
      text += "  ";
    }
    text += row.back() + "\n";
  }
  return text;
}

std::string
NotesOf(const Json& aServer)
{
  const Json& estimate = aServer.at("estimate");
  std::string notes;
  const auto add = [&](const std::string& aNote) {
    notes += (notes.empty() ? "" : ", ") + aNote;
  };
  if (!aServer.at("excluded").is_null()) {
    add("excluded: " + aServer.at("excluded").get<std::string>());
  }
  if (estimate.at("cold").get<bool>()) {
    add("cold");
  }
  if (estimate.at("otherZone").get<bool>()) {
    add("other zone");
  }
  if (estimate.value("reservedForShort", false)) {
    add("reserved for short");
  }
  if (!estimate.value("preferred", true)) {
    add("not preferred");
  }
  return notes.empty() ? "-" : notes;
}

/** @return The names of the cost terms that aren't 0 for every server. */
std::vector<std::string>
UsedTerms(const Json& aServers)
{
  std::vector<std::string> used;
  for (const Json& server : aServers) {
    for (const auto& [name, value] : server.at("cost").at("terms").items()) {
      if (value.get<double>() != 0.0 &&
          std::find(used.begin(), used.end(), name) == used.end()) {
        used.push_back(name);
      }
    }
  }
  return used;
}

std::string
ServersText(const Json& aServers, bool aHasPrompt)
{
  if (aServers.empty()) {
    return "  the pool has no server\n";
  }
  const std::vector<std::string> terms = UsedTerms(aServers);
  Row heading{ "server", "zone", "requests", "slots", "queued" };
  if (aHasPrompt) {
    heading.emplace_back("to-read");
  }
  heading.emplace_back("cost");
  for (const std::string& term : terms) {
    heading.push_back("=" + term);
  }
  heading.emplace_back("notes");
  std::vector<Row> rows{ heading };
  for (const Json& server : aServers) {
    const Json& estimate = server.at("estimate");
    Row row{ server.at("server").get<std::string>(),
             server.at("zone").get<std::string>(),
             NumberText(estimate.at("runningRequests")),
             NumberText(estimate.at("slots")),
             NumberText(estimate.at("queuedTokens")) };
    if (aHasPrompt) {
      row.push_back(NumberText(estimate.at("prefillTokens")));
    }
    row.push_back(NumberText(server.at("cost").at("sum")));
    for (const std::string& term : terms) {
      row.push_back(NumberText(server.at("cost").at("terms").at(term)));
    }
    row.push_back(NotesOf(server));
    rows.push_back(std::move(row));
  }
  return TableText(rows);
}

std::string
AdmissionText(const Json& aAdmission)
{
  std::ostringstream text;
  text << "  admission: " << ValueText(aAdmission.at("verdict"))
       << ", first event expected after "
       << ValueText(aAdmission.at("expectedFirstEventMs")) << " ms, load "
       << PercentText(aAdmission.at("load")) << ", refused "
       << PercentText(aAdmission.at("refusedShare"));
  if (!aAdmission.at("retryAfterMs").is_null()) {
    text << ", retry after " << ValueText(aAdmission.at("retryAfterMs"))
         << " ms and up to half of that more";
  }
  text << '\n';
  return text.str();
}

std::string
DecisionText(const Json& aAnswer)
{
  if (aAnswer.contains("rule")) {
    return "  rule: " + ValueText(aAnswer.at("rule")) + ", out of " +
           ValueText(aAnswer.at("candidates")) + "\n";
  }
  std::string text = "  chosen: " + ValueText(aAnswer.at("chosen")) +
                     " out of " + ValueText(aAnswer.at("candidates"));
  text += aAnswer.at("needsPermit").get<bool>() ? ", needs a permit\n" : "\n";
  const Json& admission = aAnswer.at("admission");
  return admission.is_null() ? text : text + AdmissionText(admission);
}

} // namespace

std::string
PlacementText(const Json& aAnswer)
{
  const bool hasPrompt = aAnswer.contains("promptTokens");
  const Json& directory = aAnswer.at("directory");
  const Json& reports = aAnswer.at("peerReports");
  std::ostringstream text;
  text << "  route " << ValueText(aAnswer.at("route")) << "  pool "
       << ValueText(aAnswer.at("pool")) << "  cost "
       << ValueText(aAnswer.at("costKind")) << "  tier of team "
       << ValueText(aAnswer.at("tiers").at("team")) << ", of route "
       << ValueText(aAnswer.at("tiers").at("route")) << '\n';
  if (aAnswer.at("pools").size() > 1) {
    text << "  the pool with the largest weight of "
         << aAnswer.at("pools").size() << " pools of the route\n";
  }
  text << "  document " << ValueText(aAnswer.at("document"))
       << "  directory: " << ValueText(directory.at("ageMs")) << " ms old, era "
       << ValueText(directory.at("era")) << " revision "
       << ValueText(directory.at("revision"))
       << "  peer reports: " << ValueText(reports.at("count"))
       << ", the oldest " << ValueText(reports.at("oldestMs")) << " ms\n";
  if (hasPrompt) {
    text << "  prompt: "
         << (aAnswer.at("shortPrompt").get<bool>() ? "short" : "long") << ", "
         << ValueText(aAnswer.at("promptTokens")) << " tokens  mean backlog: "
         << NumberText(aAnswer.at("meanBacklogTokens"))
         << " tokens per server\n";
  }
  text << DecisionText(aAnswer)
       << ServersText(aAnswer.at("servers"), hasPrompt);
  return text.str();
}

} // namespace medlarkeel
