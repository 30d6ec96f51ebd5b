#pragma once

#include <string>
#include <vector>

namespace medlarkeel {

/** Exit codes of every subcommand. */
constexpr int kExitGood = 0;
/** Something is not as it should be, or a node gave no answer. */
constexpr int kExitBad = 1;
/** Wrong usage, document or settings. */
constexpr int kExitUsage = 2;

/** Arguments after the subcommand, without flags. */
using Arguments = std::vector<std::string>;

/** Checks documents, or settings with --settings. */
int
RunCheck(const Arguments& aArguments);

/** Says what the change from one document to another means. */
int
RunDiff(const Arguments& aArguments);

/** Prints what each node acts on. */
int
RunStatus(const Arguments& aArguments);

/** Prints what all nodes decided on one request. */
int
RunExplain(const Arguments& aArguments);

/** Prints where a request would go now according to each node. */
int
RunPlacement(const Arguments& aArguments);

/** Prints the owner's page. */
int
RunReport(const Arguments& aArguments);

/** Prints the zone states that each node acts on. */
int
RunZones(const Arguments& aArguments);

/** Prints the version of this build. */
int
RunVersion(const Arguments& aArguments);

/** Says on standard error how the program is used.
 * @return kExitUsage. */
int
FailUsage(const std::string& aProblem);

} // namespace medlarkeel
