#include "agentnode.h"
#include "entrynode.h"
#include "settings.h"
#include "version.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <malloc.h>
#include <memory>
#include <string>

DEFINE_string(settings, "", "File with the settings of this process");
DEFINE_bool(check, false, "Check the settings and exit");

namespace medlarkeel {

namespace {

constexpr int kBadSettings = 2;

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

int
ReportProblems(const std::vector<DocumentProblem>& aProblems)
{
  for (const DocumentProblem& problem : aProblems) {
    std::fprintf(stderr, "%s\n", ProblemText(problem).c_str());
  }
  return kBadSettings;
}

std::unique_ptr<Node>
MakeNode(const Settings& aSettings)
{
  if (aSettings.mRole == InstanceRole::Entry) {
    return std::make_unique<EntryNode>(aSettings);
  }
  return std::make_unique<AgentNode>(aSettings);
}

/** Lets memory of large bodies return to the machine as soon as it is freed.
 * By default the allocator keeps blocks of up to 32 MB once some were freed. */
void
ReturnLargeBlocks()
{
#ifdef __GLIBC__
  constexpr int kLargeBlock = 131'072;
  mallopt(M_MMAP_THRESHOLD, kLargeBlock);
#endif
}

int
RunDaemon()
{
  const auto text = ReadFile(FLAGS_settings);
  if (!text) {
    std::fprintf(stderr,
                 "medlarkeeld: can't read the settings file '%s'\n",
                 FLAGS_settings.c_str());
    return kBadSettings;
  }
  const auto settings = ParseSettings(*text);
  if (!settings) {
    return ReportProblems(settings.error());
  }
  if (FLAGS_check) {
    return 0;
  }
  ReturnLargeBlocks();
  BlockEndSignals();
  return MakeNode(settings.value())->Run();
}

} // namespace

} // namespace medlarkeel

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage("router for language-model traffic");
  gflags::SetVersionString(medlarkeel::Version());
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return medlarkeel::RunDaemon();
}
