#pragma once

#include "fleet.h"

#include <future>
#include <string>
#include <vector>

namespace medlarkeel {

/** What a caller knows after a call of the operation that runs at most once. */
struct Verdict
{
  int mStatus = 0;
  std::string mBody;
  /** "no", "yes" or "unknown"; empty if there is no refusal to read. */
  std::string mExecuted;
};

/** Makes the call and reads what its answer says. */
Verdict
Send(const HttpCall& aCall);

/** Makes the call on a thread of its own. */
std::future<Verdict>
Begin(const HttpCall& aCall);

/** @return How often the service ran the operation. */
int
Runs(const BackendPair& aService, const std::string& aId);

/** @return How often all the services together ran the operation. */
int
AllRuns(const std::vector<const BackendPair*>& aServices,
        const std::string& aId);

/** @return Whether the service began to run the operation within 10 s. */
bool
WaitForRun(const BackendPair& aService, const std::string& aId);

/** Checks that what a caller was told agrees with what was run. */
void
CheckTruth(const Verdict& aVerdict, int aRuns);

} // namespace medlarkeel
