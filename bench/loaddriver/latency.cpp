#include "latency.h"

#include "caller.h"
#include "fleetaccess.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

namespace medlarkeel {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kWarmUpCalls = 20;
constexpr int kCalls = 300;
constexpr std::uint32_t kShortAnswer = 4;
constexpr int kCallers = 16;
constexpr std::chrono::seconds kLoadLength{ 4 };

struct Carried
{
  std::atomic<std::uint64_t> mRequests{ 0 };
  std::atomic<std::uint64_t> mFrames{ 0 };
  std::atomic<std::uint64_t> mFailures{ 0 };
};

double
At(std::vector<double> aValues, double aShare)
{
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues.empty() ? 0 : aValues[static_cast<std::size_t>(last * aShare)];
}

/** Calls in a closed loop and sets what was served against processor time. */
json
MeasureLoad(const ClassLoad& aClass, const LatencyOptions& aOptions)
{
  Carried carried;
  const CallTarget target{ aOptions.mEntry, aOptions.mKey, "", 0 };
  const double before = ProcessorSeconds(aOptions.mEntryPids);
  const auto end = Clock::now() + kLoadLength;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int call = 0; Clock::now() < end; ++call) {
        const std::string marker =
          "load-" + std::to_string(caller) + "-" + std::to_string(call);
        const Outcome outcome = CallOnce(aClass, marker, target);
        carried.mRequests += outcome.mWhole ? 1 : 0;
        carried.mFailures += outcome.mWhole ? 0 : 1;
        carried.mFrames += outcome.mTokens;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const double used = ProcessorSeconds(aOptions.mEntryPids) - before;
  const double divisor = used > 0 ? used : 1;
  return {
    { "class", aClass.mName },
    { "requests", carried.mRequests.load() },
    { "failures", carried.mFailures.load() },
    { "processorSeconds", used },
    { "requestsPerCore", static_cast<double>(carried.mRequests) / divisor },
    { "framesPerCore", static_cast<double>(carried.mFrames) / divisor }
  };
}

json
MeasureFirstToken(const ClassLoad& aClass, const LatencyOptions& aOptions)
{
  const CallTarget straight{ aOptions.mEngine, "", "", kShortAnswer };
  const CallTarget routed{ aOptions.mEntry, aOptions.mKey, "", kShortAnswer };
  std::vector<double> direct;
  std::vector<double> through;
  std::uint64_t failures = 0;
  std::string lastFailure;
  for (int call = -kWarmUpCalls; call < kCalls; ++call) {
    const std::string marker = "first" + std::to_string(call);
    const Outcome first = CallOnce(aClass, marker + "d", straight);
    const Outcome second = CallOnce(aClass, marker + "t", routed);
    if (!first.mWhole || !second.mWhole) {
      ++failures;
      lastFailure = first.mWhole ? second.mReason : first.mReason;
    } else if (call >= 0) {
      direct.push_back(first.mFirstByte);
      through.push_back(second.mFirstByte);
    }
  }
  return { { "calls", through.size() },
           { "failures", failures },
           { "lastFailure", lastFailure },
           { "directMedianMs", At(direct, 0.5) },
           { "routedMedianMs", At(through, 0.5) },
           { "addedMedianMs", At(through, 0.5) - At(direct, 0.5) },
           { "added99Ms", At(through, 0.99) - At(direct, 0.99) } };
}

} // namespace

json
MeasureLatency(const std::vector<ClassLoad>& aClasses,
               const LatencyOptions& aOptions)
{
  const auto streams =
    std::find_if(aClasses.begin(), aClasses.end(), [](const ClassLoad& aLoad) {
      return !aLoad.mModel.empty();
    });
  const auto lookups =
    std::find_if(aClasses.begin(), aClasses.end(), [](const ClassLoad& aLoad) {
      return aLoad.mMethod == "GET";
    });
  return { { "firstToken", MeasureFirstToken(*streams, aOptions) },
           { "lookups", MeasureLoad(*lookups, aOptions) },
           { "streams", MeasureLoad(*streams, aOptions) } };
}

} // namespace medlarkeel
