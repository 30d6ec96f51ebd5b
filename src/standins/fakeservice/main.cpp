#include "../common/standin.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <thread>

DEFINE_int32(port, 0, "port on the loopback address; 0 for a free one");
DEFINE_double(latency_ms, 5, "time that a call takes");
DEFINE_string(journal, "", "file that gets a line for each run");

namespace medlarkeel {

namespace {

using Counts = std::map<std::string, std::uint64_t>;

/** Imitates a plain service and counts what it runs. */
class Service
{
public:
  HttpResponse Run(const HttpRequest& aRequest)
  {
    Die("dieBefore");
    const auto header = aRequest.mHeaders.find("Idempotency-Key");
    const std::string key =
      header == aRequest.mHeaders.end() ? "" : header->second;
    const nlohmann::json body = ParseObject(aRequest.mBody);
    const std::string id = body.contains("id") && body["id"].is_string()
                             ? body["id"].get<std::string>()
                             : "";
    const std::uint64_t run = Count(key, id);
    Work();
    Die("dieAfter");
    const std::lock_guard<std::mutex> lock(mMutex);
    --mRunning;
    return JsonResponse(200,
                        { { "run", run },
                          { "id", id },
                          { "key", key },
                          { "path", aRequest.mPath },
                          { "method", aRequest.mMethod } });
  }

  void ApplyFault(const nlohmann::json& aFault)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFault.update(aFault);
  }

  nlohmann::json Statistics() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return { { "runs", mRuns },
             { "runsByKey", mRunsByKey },
             { "runsById", mRunsById },
             { "running", mRunning },
             { "maximumRunning", mMaximumRunning } };
  }

private:
  template<typename T>
  T FaultValue(const char* aName, T aDefault) const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mFault.value(aName, aDefault);
  }

  void Die(const char* aFault) const
  {
    if (FaultValue(aFault, false)) {
      std::fprintf(stderr, "%s as ordered\n", aFault);
      std::_Exit(1);
    }
  }

  /** Counts a run at its start: from here on it has happened. */
  std::uint64_t Count(const std::string& aKey, const std::string& aId)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mRunsByKey[aKey];
    ++mRunsById[aId];
    ++mRunning;
    mMaximumRunning = std::max(mMaximumRunning, mRunning);
    if (!FLAGS_journal.empty()) {
      std::ofstream(FLAGS_journal, std::ios::app)
        << aKey << ' ' << aId << std::endl;
    }
    return ++mRuns;
  }

  void Work() const
  {
    const double factor = FaultValue("slow", 1.0);
    std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(FLAGS_latency_ms * factor));
    while (FaultValue("hang", false)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  mutable std::mutex mMutex;
  nlohmann::json mFault = nlohmann::json::object();
  Counts mRunsByKey;
  Counts mRunsById;
  std::uint64_t mRuns = 0;
  std::uint64_t mRunning = 0;
  std::uint64_t mMaximumRunning = 0;
};

HttpResponse
Dispatch(Service& aService, SeenTexts& aSeen, const HttpRequest& aRequest)
{
  const std::string route = aRequest.mMethod + " " + aRequest.mPath;
  if (route == "POST /fault") {
    aService.ApplyFault(ParseObject(aRequest.mBody));
    return JsonResponse(200, nlohmann::json::object());
  }
  if (route == "GET /stats") {
    nlohmann::json result = aService.Statistics();
    result["headers"] = aSeen.HeaderNames();
    return JsonResponse(200, result);
  }
  if (route == "GET /seen") {
    const auto text = aRequest.mQuery.find("text");
    const bool seen =
      text != aRequest.mQuery.end() && aSeen.Contains(text->second);
    return JsonResponse(200, { { "seen", seen } });
  }
  aSeen.Add(aRequest);
  return aService.Run(aRequest);
}

} // namespace

} // namespace medlarkeel

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  medlarkeel::Service service;
  medlarkeel::SeenTexts seen;
  return medlarkeel::ServeUntilSignal(
    FLAGS_port, [&](const medlarkeel::HttpRequest& aRequest) {
      return medlarkeel::Dispatch(service, seen, aRequest);
    });
}
