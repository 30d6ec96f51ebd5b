#include "commands.h"

#include "nodes.h"
#include "reportformat.h"

#include <gflags/gflags.h>
#include <iostream>
#include <string_view>

DEFINE_string(format,
              "text",
              "format of the output: text, json or, for reports, html");

namespace medlarkeel {

namespace {

struct Format
{
  std::string_view mName;
  std::string (*mWrite)(const Report& aReport);
};

constexpr Format kFormats[] = {
  { "text", ReportText },
  { "json", ReportJson },
  { "html", ReportHtml },
};

} // namespace

int
RunReport(const Arguments& aArguments)
{
  const Format* chosen = nullptr;
  for (const Format& format : kFormats) {
    if (FLAGS_format == format.mName) {
      chosen = &format;
    }
  }
  if (chosen == nullptr || !aArguments.empty()) {
    return FailUsage("report takes --nodes and --format text, json or html");
  }
  const auto nodes = NodesFromFlags();
  if (!nodes) {
    return kExitUsage;
  }
  const NodeStatuses statuses = FetchStatuses(*nodes);
  const Report report = BuildReport(statuses.mStatuses, statuses.mSilent);
  std::cout << chosen->mWrite(report);
  const bool wentWell = report.mFaults.empty() && report.mGaps.empty();
  return wentWell ? kExitGood : kExitBad;
}

} // namespace medlarkeel
