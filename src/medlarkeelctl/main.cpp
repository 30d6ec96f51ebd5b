#include "commands.h"

#include <gflags/gflags.h>
#include <iostream>
#include <string_view>

DECLARE_bool(help);
DECLARE_bool(version);

namespace medlarkeel {

namespace {

struct Command
{
  std::string_view mName;
  const char* mUsage;
  int (*mRun)(const Arguments& aArguments);
};

constexpr Command kCommands[] = {
  { "check", "check [--settings] FILE...   check documents", RunCheck },
  { "diff", "diff OLD NEW                 compare two documents", RunDiff },
  { "status",
    "status --nodes IP:PORT,...   what each node acts on",
    RunStatus },
  { "explain",
    "explain REQUEST_ID --nodes IP:PORT,... | --log FILE\n"
    "                                 decisions on one request",
    RunExplain },
  { "placement",
    "placement PATH --nodes IP:PORT,... [--host NAME] [--team NAME]\n"
    "    [--prompt ID:TOKENS,...] [--usage PROMPT,OUTPUT] [--format "
    "text|json]\n"
    "                                 where a request would go, and why",
    RunPlacement },
  { "report",
    "report --nodes IP:PORT,... [--format text|json|html]\n"
    "                                 whether it went well",
    RunReport },
  { "zones",
    "zones --nodes IP:PORT,...    zone states on each node",
    RunZones },
  { "version",
    "version                      version of this build",
    RunVersion },
};

std::string
Usage()
{
  std::string text = "usage: medlarkeelctl COMMAND\n\n";
  for (const Command& command : kCommands) {
    text += std::string("  ") + command.mUsage + "\n";
  }
  text += "\n--timeout SECONDS limits the wait for each node (default 5).\n"
          "Exit codes: 0 good; 1 something is wrong or a node gave no answer;\n"
          "2 wrong command, document or settings.\n";
  return text;
}

int
Run(const Arguments& aArguments)
{
  if (FLAGS_help) {
    std::cout << Usage();
    return kExitGood;
  }
  if (FLAGS_version) {
    return RunVersion({});
  }
  if (aArguments.empty()) {
    return FailUsage("a command is missing");
  }
  for (const Command& command : kCommands) {
    if (aArguments.front() == command.mName) {
      return command.mRun({ aArguments.begin() + 1, aArguments.end() });
    }
  }
  return FailUsage("unknown command " + aArguments.front());
}

} // namespace

int
FailUsage(const std::string& aProblem)
{
  std::cerr << "medlarkeelctl: " << aProblem << "\n\n" << Usage();
  return kExitUsage;
}

} // namespace medlarkeel

int
main(int argc, char** argv) // NOLINT(readability-identifier-naming)
{
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  return medlarkeel::Run({ argv + 1, argv + argc });
}
