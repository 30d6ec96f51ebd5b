#include "slotprojection.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace medlarkeel {

SlotProjection::SlotProjection(std::vector<Timestamp> aBusyUntil,
                               std::size_t aLimit,
                               Timestamp aNow)
  : mFreeAt(std::move(aBusyUntil))
{
  const std::size_t limit = std::max<std::size_t>(1, aLimit);
  for (Timestamp& time : mFreeAt) {
    time = std::max(time, aNow);
  }
  std::sort(mFreeAt.begin(), mFreeAt.end());
  if (mFreeAt.size() > limit) {
    const auto extra = static_cast<std::ptrdiff_t>(mFreeAt.size() - limit);
    mFreeAt.erase(mFreeAt.begin(), mFreeAt.begin() + extra);
  }
  mFreeAt.resize(limit, aNow);
  std::make_heap(mFreeAt.begin(), mFreeAt.end(), std::greater<>());
}

Timestamp
SlotProjection::NextStart() const
{
  return mFreeAt.front();
}

void
SlotProjection::Place(Microseconds aLength)
{
  std::pop_heap(mFreeAt.begin(), mFreeAt.end(), std::greater<>());
  mFreeAt.back() += aLength;
  std::push_heap(mFreeAt.begin(), mFreeAt.end(), std::greater<>());
}

void
SlotProjection::PlaceAll(const std::vector<Microseconds>& aLengths)
{
  for (const Microseconds length : aLengths) {
    Place(length);
  }
}

} // namespace medlarkeel
