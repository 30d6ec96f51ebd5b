#pragma once

#include "configurationholder.h"
#include "instancelist.h"
#include "platformclient.h"
#include "readerchoice.h"
#include "settings.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

namespace medlarkeel {

/** Told of each reading: the list, when it was asked for, when it came. */
using ListHandler =
  std::function<void(const InstanceList&, Timestamp, Timestamp)>;

/** Told when a read was sent that the service answered. */
using ConfirmationHandler = std::function<void(Timestamp)>;

/**
 * Keeps reading the platform's document and list on two threads. Only a few
 * processes read the document; the others hear of it from their peers and read
 * it themselves when they have not heard for too long.
 */
class PlatformWatcher
{
public:
  PlatformWatcher(const Settings& aSettings,
                  std::uint64_t aSeed,
                  ConfigurationHolder& aConfiguration,
                  ListHandler aOnList,
                  ConfirmationHandler aOnConfirmed);
  ~PlatformWatcher();

  PlatformWatcher(const PlatformWatcher&) = delete;
  PlatformWatcher& operator=(const PlatformWatcher&) = delete;

private:
  void WatchConfiguration();
  bool IsReadDue();
  void ReadConfiguration();
  void PollList();
  void ReadList();
  void SleepFor(Milliseconds aTime);

  const Settings mSettings;
  const PlatformClient mClient;
  ConfigurationHolder& mConfiguration;
  const ListHandler mOnList;
  const ConfirmationHandler mOnConfirmed;
  std::mutex mMutex;
  ReaderSchedule mSchedule;
  /** The last list and its entity tag; of the list's thread alone. */
  InstanceList mList;
  std::string mListTag;
  std::atomic<bool> mStopping{ false };
  std::thread mConfigurationThread;
  std::thread mListThread;
};

} // namespace medlarkeel
