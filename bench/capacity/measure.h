#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace medlarkeel {

/** One measured value; the name ends with its unit. */
struct Figure
{
  std::string mName;
  double mValue = 0.0;
};

/** What was measured at one size. */
struct MeasuredRow
{
  std::string mFlow;
  std::string mSizeName;
  std::size_t mSize = 0;
  std::vector<Figure> mFigures;
};

/** Processor time and heap of one piece of work. */
struct Cost
{
  double mMicroseconds = 0.0;
  std::size_t mRuns = 0;
};

/** @return Mean processor time of the process for one call. */
Cost
MeasureCost(const std::function<void()>& aWork);

/** @return Bytes of the heap in use. */
std::size_t
HeapBytes();

/** @return Kilobytes of a line of /proc/self/status, such as "VmHWM". */
std::size_t
StatusKilobytes(const std::string& aName);

/** @return Heap bytes that the objects made by a function hold. */
template<typename Make>
std::size_t
HeapOf(Make aMake)
{
  const std::size_t before = HeapBytes();
  const auto made = aMake();
  const std::size_t after = HeapBytes();
  return made ? after - before : 0;
}

} // namespace medlarkeel
