#pragma once

#include "../common/standin.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <string>

namespace medlarkeel {

/** How one of the platform's services behaves. */
enum class ServiceFault
{
  None,
  /** Answers 503. */
  Down,
  /** Keeps serving what it had when the fault began. */
  Stale,
  /** Doesn't answer. */
  Hangs
};

/** Imitates the configuration service and the list of instances. */
class Platform
{
public:
  /**
   * @param aConfigurationRate Calls a second that the service bears.
   * @param aListLag Lag of the list.
   */
  Platform(double aConfigurationRate, std::chrono::milliseconds aListLag);

  /** Reads the configuration, or waits for one after a revision. */
  HttpResponse ReadConfiguration(const HttpRequest& aRequest);

  /** Reads the list as the caller sees it; its Host header tells who it is. */
  HttpResponse ReadInstances(const HttpRequest& aRequest);

  HttpResponse WriteConfiguration(const std::string& aDocument);
  HttpResponse WriteInstance(const std::string& aId,
                             const nlohmann::json& aRecord);
  HttpResponse RemoveInstance(const std::string& aId);

  /**
   * Gives readers that call this service under one name other addresses.
   *
   * @param aHost What these readers send as their Host header.
   * @param aAddresses Address by instance, for some or all instances.
   */
  HttpResponse WriteView(const std::string& aHost,
                         const nlohmann::json& aAddresses);
  void ApplyFault(const nlohmann::json& aFault);
  nlohmann::json Statistics() const;

private:
  using Clock = std::chrono::steady_clock;

  struct Document
  {
    std::uint64_t mRevision = 0;
    std::string mText;
  };

  struct ListVersion
  {
    Clock::time_point mTime;
    std::uint64_t mRevision = 0;
    std::map<std::string, nlohmann::json> mRecords;
  };

  bool TakeCall();
  void WaitWhileHanging(std::unique_lock<std::mutex>& aLock,
                        const ServiceFault& aFault,
                        const std::function<bool()>& aCallerLeft);
  const Document& VisibleDocument() const;
  void AddListVersion(std::map<std::string, nlohmann::json> aRecords);

  const double mRate;
  const std::chrono::milliseconds mListLag;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  double mCallsLeft;
  Clock::time_point mLastCall = Clock::now();
  Document mDocument;
  Document mStaleDocument;
  std::deque<ListVersion> mLists;
  ListVersion mStaleList;
  std::map<std::string, nlohmann::json> mViews;
  std::uint64_t mViewChanges = 0;
  ServiceFault mConfigurationFault = ServiceFault::None;
  ServiceFault mListFault = ServiceFault::None;
  std::uint64_t mReads = 0;
  std::uint64_t mWatches = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mListReads = 0;
  std::uint64_t mWaitingWatches = 0;
};

} // namespace medlarkeel
