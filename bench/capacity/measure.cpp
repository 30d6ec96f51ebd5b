#include "measure.h"

#include <malloc.h>

#include <ctime>
#include <fstream>

namespace medlarkeel {

namespace {

constexpr double kMeasuredMicroseconds = 60'000.0;

double
ProcessorTime()
{
  return 1e6 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace

Cost
MeasureCost(const std::function<void()>& aWork)
{
  aWork();
  Cost cost;
  std::size_t batch = 1;
  double spent = 0.0;
  while (spent < kMeasuredMicroseconds) {
    const double begin = ProcessorTime();
    for (std::size_t run = 0; run < batch; ++run) {
      aWork();
    }
    spent += ProcessorTime() - begin;
    cost.mRuns += batch;
    batch *= 2;
  }
  cost.mMicroseconds = spent / static_cast<double>(cost.mRuns);
  return cost;
}

std::size_t
HeapBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::size_t
StatusKilobytes(const std::string& aName)
{
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word == aName + ":") {
      std::size_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes;
    }
  }
  return 0;
}

} // namespace medlarkeel
