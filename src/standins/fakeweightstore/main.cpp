#include "../common/standin.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>

DEFINE_int32(port, 0, "port on the loopback address; 0 for a free one");
DEFINE_double(rate, 1, "loads a second that the store bears");
DEFINE_double(burst, 1, "loads at once that the store bears");

namespace medlarkeel {

namespace {

/** Imitates the platform's store of weights, which bears a limited rate. */
class WeightStore
{
public:
  WeightStore(double aRate, double aBurst)
    : mRate(aRate)
    , mBurst(aBurst)
    , mLeft(aBurst)
  {
  }

  /** @return 200, or 429 for a load beyond the rate. */
  HttpResponse Draw()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto now = Clock::now();
    const std::chrono::duration<double> passed = now - mLast;
    mLast = now;
    mLeft = std::min(mBurst, mLeft + passed.count() * mRate);
    if (mLeft < 1) {
      ++mBreaches;
      return JsonResponse(429, { { "error", "beyond the rate" } });
    }
    mLeft -= 1;
    ++mDraws;
    return JsonResponse(200, nlohmann::json::object());
  }

  nlohmann::json Statistics() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return { { "draws", mDraws }, { "breaches", mBreaches } };
  }

private:
  using Clock = std::chrono::steady_clock;

  const double mRate;
  const double mBurst;
  mutable std::mutex mMutex;
  double mLeft;
  Clock::time_point mLast = Clock::now();
  std::uint64_t mDraws = 0;
  std::uint64_t mBreaches = 0;
};

HttpResponse
Dispatch(WeightStore& aStore, const HttpRequest& aRequest)
{
  if (aRequest.mMethod == "GET" && aRequest.mPath == "/stats") {
    return JsonResponse(200, aStore.Statistics());
  }
  if (aRequest.mMethod == "POST") {
    return aStore.Draw();
  }
  return JsonResponse(404, { { "error", "no such path" } });
}

} // namespace

} // namespace medlarkeel

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  medlarkeel::WeightStore store(FLAGS_rate, FLAGS_burst);
  return medlarkeel::ServeUntilSignal(
    FLAGS_port, [&](const medlarkeel::HttpRequest& aRequest) {
      return medlarkeel::Dispatch(store, aRequest);
    });
}
