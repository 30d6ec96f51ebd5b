#include "callerdescriptors.h"

#include <algorithm>

namespace medlarkeel {

namespace {

/** Descriptors of the machine that are reserved for files. */
constexpr std::size_t kReservedForFiles = 200;

/** Descriptors of the process itself: standard streams, event queue, timer,
 * listeners, and connections to the store, other entries and those who ask for
 * readiness and metrics. */
constexpr std::size_t kReservedForProcess = 48;

/** Bound if the machine has hardly more than what is reserved. */
constexpr std::size_t kLeastBound = 16;

std::size_t
Part(std::size_t aWhole, double aShare)
{
  return static_cast<std::size_t>(static_cast<double>(aWhole) * aShare);
}

} // namespace

std::size_t
CallerDescriptorBound(std::size_t aMachineDescriptors)
{
  constexpr std::size_t kReserved = kReservedForFiles + kReservedForProcess;
  return aMachineDescriptors > kReserved + kLeastBound
           ? aMachineDescriptors - kReserved
           : kLeastBound;
}

CallerDescriptors::CallerDescriptors(const CallerDescriptorSettings& aSettings)
  : mBound(aSettings.mBound)
  , mMostCallers(Part(aSettings.mBound, aSettings.mCallerShare))
  , mMostOfAddress(Part(mMostCallers, aSettings.mAddressShare))
{
}

bool
CallerDescriptors::Add(const std::string& aAddress,
                       std::size_t aServerConnections)
{
  if (mCallers >= mMostCallers || IsFull(aAddress) ||
      !MayOpen(aServerConnections)) {
    return false;
  }
  mCallers += 1;
  mOfAddress[aAddress] += 1;
  return true;
}

bool
CallerDescriptors::IsFull(const std::string& aAddress) const
{
  const auto place = mOfAddress.find(aAddress);
  return place != mOfAddress.end() && place->second >= mMostOfAddress;
}

void
CallerDescriptors::Remove(const std::string& aAddress)
{
  const auto place = mOfAddress.find(aAddress);
  if (place == mOfAddress.end()) {
    return;
  }
  mCallers -= 1;
  place->second -= 1;
  if (place->second == 0) {
    mOfAddress.erase(place);
  }
}

bool
CallerDescriptors::MayOpen(std::size_t aServerConnections) const
{
  return mCallers + aServerConnections < mBound;
}

} // namespace medlarkeel
