#include "platformwatcher.h"

#include "bootclock.h"

#include <utility>

namespace medlarkeel {

namespace {

constexpr Milliseconds kSleepStep{ 50 };

ReaderOptions
OptionsFrom(const Settings& aSettings)
{
  ReaderOptions options;
  options.mPoll = aSettings.mControl.mConfigurationPoll;
  options.mSilenceBound = aSettings.mControl.mConfirmationBound;
  return options;
}

} // namespace

PlatformWatcher::PlatformWatcher(const Settings& aSettings,
                                 std::uint64_t aSeed,
                                 ConfigurationHolder& aConfiguration,
                                 ListHandler aOnList,
                                 ConfirmationHandler aOnConfirmed)
  : mSettings(aSettings)
  , mClient("http://" + EndpointText(aSettings.mPlatform))
  , mConfiguration(aConfiguration)
  , mOnList(std::move(aOnList))
  , mOnConfirmed(std::move(aOnConfirmed))
  , mSchedule(aSettings.mInstanceId, OptionsFrom(aSettings), aSeed)
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
  while (!mStopping) {
    if (IsReadDue()) {
      ReadConfiguration();
    }
    std::this_thread::sleep_for(kSleepStep);
  }
}

bool
PlatformWatcher::IsReadDue()
{
  const auto age = mConfiguration.ConfirmationAge();
  const std::lock_guard<std::mutex> lock(mMutex);
  return mSchedule.ShouldRead(BootNow(), age);
}

void
PlatformWatcher::ReadConfiguration()
{
  const Timestamp asked = BootNow();
  const auto shouldStop = [this] { return mStopping.load(); };
  const DocumentStamp known = mConfiguration.Stamp();
  const auto reading =
    mClient.ReadConfiguration(known.mRevision, Milliseconds(0), shouldStop);
  if (!reading) {
    return;
  }
  const DocumentSource service{ DocumentSourceKind::Service, Microseconds(0) };
  if (reading.value()) {
    const ConfigurationReading& document = *reading.value();
    mConfiguration.Offer(document.mText, document.mRevision, service, asked);
  } else if (known.mRevision > 0) {
    mConfiguration.OfferStamp(known, service, asked);
  }
  if (mOnConfirmed) {
    mOnConfirmed(asked);
  }
}

void
PlatformWatcher::PollList()
{
  while (!mStopping) {
    ReadList();
    SleepFor(mSettings.mControl.mListPoll);
  }
}

void
PlatformWatcher::ReadList()
{
  const Timestamp sentAt = BootNow();
  auto reading = mClient.ReadInstances(mListTag);
  if (!reading) {
    return;
  }
  mListTag = reading.value().mTag;
  if (reading.value().mList) {
    mList = std::move(*reading.value().mList);
    const std::lock_guard<std::mutex> lock(mMutex);
    mSchedule.Update(mList);
  }
  mOnList(mList, sentAt, BootNow());
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
