#include "platformwatcher.h"

#include "bootclock.h"

#include <utility>

namespace medlarkeel {

namespace {

constexpr Milliseconds kWatchTime{ 5000 };
constexpr Milliseconds kSleepStep{ 50 };

} // namespace

PlatformWatcher::PlatformWatcher(const Settings& aSettings,
                                 ConfigurationHolder& aConfiguration,
                                 ListHandler aOnList)
  : mSettings(aSettings)
  , mClient("http://" + EndpointText(aSettings.mPlatform))
  , mConfiguration(aConfiguration)
  , mOnList(std::move(aOnList))
  , mConfigurationThread([this] { WatchConfiguration(); })
  , mListThread([this] { PollList(); })
{
}

PlatformWatcher::~PlatformWatcher()
{
  mStopping = true;
  mConfigurationThread.join();
  mListThread.join();
}

void
PlatformWatcher::WatchConfiguration()
{
  std::uint64_t revision = 0;
  while (!mStopping) {
    if (!ReadConfigurationOnce(revision)) {
      SleepFor(mSettings.mControl.mConfigurationPoll);
    }
  }
}

bool
PlatformWatcher::ReadConfigurationOnce(std::uint64_t& aRevision)
{
  const Timestamp asked = BootNow();
  const auto shouldStop = [this] { return mStopping.load(); };
  const auto reading =
    mClient.ReadConfiguration(aRevision, kWatchTime, shouldStop);
  if (!reading) {
    return false;
  }
  const DocumentSource service{ DocumentSourceKind::Service, Microseconds(0) };
  if (!reading.value()) {
    const DocumentStamp stamp = mConfiguration.Stamp();
    if (aRevision > 0 && stamp.mRevision == aRevision) {
      mConfiguration.OfferStamp(stamp, service, asked);
    }
    return aRevision > 0;
  }
  const ConfigurationReading& document = *reading.value();
  mConfiguration.Offer(document.mText, document.mRevision, service, asked);
  const bool isNew = document.mRevision > aRevision;
  aRevision = document.mRevision;
  return isNew;
}

void
PlatformWatcher::PollList()
{
  while (!mStopping) {
    const Timestamp sentAt = BootNow();
    const auto list = mClient.ReadInstances();
    if (list) {
      mOnList(list.value(), sentAt, BootNow());
    }
    SleepFor(mSettings.mControl.mListPoll);
  }
}

void
PlatformWatcher::SleepFor(Milliseconds aTime)
{
  for (Milliseconds slept{ 0 }; slept < aTime && !mStopping;
       slept += kSleepStep) {
    std::this_thread::sleep_for(kSleepStep);
  }
}

} // namespace medlarkeel
