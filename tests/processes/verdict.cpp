#include "verdict.h"

#include <boost/test/unit_test.hpp>

namespace medlarkeel {

Verdict
Send(const HttpCall& aCall)
{
  Verdict result;
  const auto reply = SendHttp(aCall);
  if (!reply.has_value()) {
    return result;
  }
  result.mStatus = reply.value().mStatus;
  result.mBody = reply.value().mBody;
  const auto body = nlohmann::json::parse(reply.value().mBody, nullptr, false);
  if (body.is_object() && result.mStatus != 200) {
    result.mExecuted = body.value("executed", "");
  }
  return result;
}

std::future<Verdict>
Begin(const HttpCall& aCall)
{
  return std::async(std::launch::async, [aCall] { return Send(aCall); });
}

int
Runs(const BackendPair& aService, const std::string& aId)
{
  return GetJson(aService.mBackendPort, "/stats")["runsById"].value(aId, 0);
}

int
AllRuns(const std::vector<const BackendPair*>& aServices,
        const std::string& aId)
{
  int runs = 0;
  for (const BackendPair* service : aServices) {
    runs += Runs(*service, aId);
  }
  return runs;
}

bool
WaitForRun(const BackendPair& aService, const std::string& aId)
{
  return WaitUntil(std::chrono::seconds(10),
                   [&] { return Runs(aService, aId) == 1; });
}

void
CheckTruth(const Verdict& aVerdict, int aRuns)
{
  BOOST_TEST(aRuns <= 1);
  if (aVerdict.mStatus == 200 || aVerdict.mExecuted == "yes") {
    BOOST_TEST(aRuns == 1);
  }
  if (aVerdict.mExecuted == "no") {
    BOOST_TEST(aRuns == 0);
  }
}

} // namespace medlarkeel
