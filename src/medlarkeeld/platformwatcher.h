#pragma once

#include "configurationholder.h"
#include "instancelist.h"
#include "platformclient.h"
#include "settings.h"

#include <atomic>
#include <functional>
#include <thread>

namespace medlarkeel {

/** Told of each reading: the list, when it was asked for, when it came. */
using ListHandler =
  std::function<void(const InstanceList&, Timestamp, Timestamp)>;

/** Keeps reading the platform's document and list on two threads. */
class PlatformWatcher
{
public:
  PlatformWatcher(const Settings& aSettings,
                  ConfigurationHolder& aConfiguration,
                  ListHandler aOnList);
  ~PlatformWatcher();

  PlatformWatcher(const PlatformWatcher&) = delete;
  PlatformWatcher& operator=(const PlatformWatcher&) = delete;

private:
  void WatchConfiguration();
  bool ReadConfigurationOnce(std::uint64_t& aRevision);
  void PollList();
  void SleepFor(Milliseconds aTime);

  const Settings mSettings;
  const PlatformClient mClient;
  ConfigurationHolder& mConfiguration;
  const ListHandler mOnList;
  std::atomic<bool> mStopping{ false };
  std::thread mConfigurationThread;
  std::thread mListThread;
};

} // namespace medlarkeel
