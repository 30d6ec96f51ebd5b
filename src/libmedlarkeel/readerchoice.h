#pragma once

#include "instancelist.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

namespace medlarkeel {

struct ReaderOptions
{
  std::size_t mReadersPerRegion = 3;
  /** Time between two reads of a reader. */
  Milliseconds mPoll{ 1000 };
  /** Age of the last confirmation after which any process reads itself. */
  Milliseconds mSilenceBound{ 10000 };
  /** Longest time between two reads of a process that suspects silence. */
  Milliseconds mLongestBackoff{ 40000 };
  /** Time over which first reads after a start are spread. */
  Milliseconds mStartSpread{ 2000 };
};

/**
 * Whether a process is one of the few of its region that read the platform's
 * service for the rest.
 *
 * @param aSelf The own instance; no reader when the list doesn't hold it live.
 * @param aList The platform's list.
 * @param aReadersWanted Readers a region.
 */
bool
IsReader(const InstanceId& aSelf,
         const InstanceList& aList,
         std::size_t aReadersWanted);

/** Decides when one process reads the platform's service. */
class ReaderSchedule
{
public:
  /** @param aSeed Spreads the reads of different processes. */
  ReaderSchedule(InstanceId aSelf, ReaderOptions aOptions, std::uint64_t aSeed);

  /** Takes in a reading of the platform's list. */
  void Update(const InstanceList& aList);

  bool IsReader() const { return mIsReader; }

  /**
   * Asked at short intervals; each true is one call to the service.
   *
   * @param aNow The present time.
   * @param aConfirmationAge Time since the service was known to hold the
   *        document in force; nothing when it never was.
   */
  bool ShouldRead(Timestamp aNow,
                  const std::optional<Microseconds>& aConfirmationAge);

private:
  Microseconds Jittered(Microseconds aLeast, Microseconds aMost);
  void BeginSuspicion(Timestamp aNow);

  InstanceId mSelf;
  ReaderOptions mOptions;
  std::mt19937_64 mRandom;
  bool mIsReader = false;
  bool mHasStarted = false;
  bool mIsSuspicious = false;
  Microseconds mBackoff{ 0 };
  Timestamp mNextRead;
};

} // namespace medlarkeel
