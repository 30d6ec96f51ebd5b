// Prints what the control flows of one node cost, against the sizes on which
// they depend: text tables, or with --json one object a line.

#include "documents.h"
#include "fleet.h"
#include "requests.h"

#include <cstdio>
#include <cstring>

namespace medlarkeel {

namespace {

using MeasureFlow = std::vector<MeasuredRow> (*)();

constexpr MeasureFlow kFlows[] = { MeasureMessages, MeasureGossip,
                                   MeasureLists,    MeasureDocuments,
                                   MeasurePatches,  MeasureKeys,
                                   MeasureClaims,   MeasureLog,
                                   MeasureOrders };

void
PrintText(const MeasuredRow& aRow)
{
  std::printf(
    "%-20s %s %zu:", aRow.mFlow.c_str(), aRow.mSizeName.c_str(), aRow.mSize);
  for (const Figure& figure : aRow.mFigures) {
    std::printf("  %s %.6g", figure.mName.c_str(), figure.mValue);
  }
  std::printf("\n");
}

void
PrintJson(const MeasuredRow& aRow)
{
  nlohmann::ordered_json line{ { "flow", aRow.mFlow },
                               { aRow.mSizeName, aRow.mSize } };
  for (const Figure& figure : aRow.mFigures) {
    line[figure.mName] = figure.mValue;
  }
  std::printf("%s\n", line.dump().c_str());
}

} // namespace

} // namespace medlarkeel

int
main(int aCount, char** aArguments)
{
  const bool json = aCount > 1 && std::strcmp(aArguments[1], "--json") == 0;
  for (const medlarkeel::MeasureFlow measure : medlarkeel::kFlows) {
    for (const medlarkeel::MeasuredRow& row : measure()) {
      json ? medlarkeel::PrintJson(row) : medlarkeel::PrintText(row);
    }
    std::fflush(stdout);
  }
  return 0;
}
