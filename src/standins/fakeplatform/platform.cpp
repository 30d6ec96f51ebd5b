#include "platform.h"

#include <algorithm>
#include <cstdlib>

namespace medlarkeel {

namespace {

constexpr std::size_t kLargestDocument = 1U << 20U; // bytes
constexpr auto kCallerPoll = std::chrono::milliseconds(20);
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

std::uint64_t
NumberInQuery(const HttpRequest& aRequest, const char* aName)
{
  const auto place = aRequest.mQuery.find(aName);
  if (place == aRequest.mQuery.end()) {
    return 0;
  }
  return std::strtoull(place->second.c_str(), nullptr, 10);
}

ServiceFault
ParseFault(const std::string& aText)
{
  static const std::map<std::string, ServiceFault> sFaults{
    { "down", ServiceFault::Down },
    { "stale", ServiceFault::Stale },
    { "hang", ServiceFault::Hangs }
  };
  const auto place = sFaults.find(aText);
  return place == sFaults.end() ? ServiceFault::None : place->second;
}

HttpResponse
Empty(int aStatus)
{
  HttpResponse result;
  result.mStatus = aStatus;
  return result;
}

} // namespace

Platform::Platform(double aConfigurationRate,
                   std::chrono::milliseconds aListLag)
  : mRate(aConfigurationRate)
  , mListLag(aListLag)
  , mCallsLeft(aConfigurationRate)
{
  mLists.push_back({ Clock::now() - aListLag, 0, {} });
}

/** Token bucket that holds the calls of one second. */
bool
Platform::TakeCall()
{
  const auto now = Clock::now();
  const std::chrono::duration<double> passed = now - mLastCall;
  mLastCall = now;
  mCallsLeft = std::min(mRate, mCallsLeft + passed.count() * mRate);
  if (mCallsLeft < 1) {
    ++mRefused;
    return false;
  }
  mCallsLeft -= 1;
  return true;
}

void
Platform::WaitWhileHanging(std::unique_lock<std::mutex>& aLock,
                           const ServiceFault& aFault,
                           const std::function<bool()>& aCallerLeft)
{
  while (aFault == ServiceFault::Hangs && !aCallerLeft()) {
    mChanged.wait_for(aLock, kCallerPoll);
  }
}

const Platform::Document&
Platform::VisibleDocument() const
{
  return mConfigurationFault == ServiceFault::Stale ? mStaleDocument
                                                    : mDocument;
}

HttpResponse
Platform::ReadConfiguration(const HttpRequest& aRequest)
{
  std::unique_lock<std::mutex> lock(mMutex);
  const bool watches = aRequest.mQuery.count("after") > 0;
  ++(watches ? mWatches : mReads);
  if (!TakeCall()) {
    return Empty(kTooManyRequests);
  }
  WaitWhileHanging(lock, mConfigurationFault, aRequest.mCallerLeft);
  const std::uint64_t after = NumberInQuery(aRequest, "after");
  const auto end =
    Clock::now() + std::chrono::milliseconds(NumberInQuery(aRequest, "waitMs"));
  ++mWaitingWatches;
  while (mConfigurationFault != ServiceFault::Down &&
         VisibleDocument().mRevision <= after && Clock::now() < end &&
         !aRequest.mCallerLeft()) {
    mChanged.wait_for(lock, kCallerPoll);
  }
  --mWaitingWatches;
  if (mConfigurationFault == ServiceFault::Down) {
    return Empty(kUnavailable);
  }
  const Document& document = VisibleDocument();
  if (watches && document.mRevision <= after) {
    return Empty(kNotModified);
  }
  if (document.mRevision == 0) {
    return Empty(kNotFound);
  }
  return JsonResponse(
    200,
    { { "revision", document.mRevision }, { "document", document.mText } });
}

HttpResponse
Platform::ReadInstances(const HttpRequest& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mListReads;
  if (mListFault == ServiceFault::Down || mListFault == ServiceFault::Hangs) {
    return Empty(kUnavailable);
  }
  while (mLists.size() > 1 && Clock::now() - mLists[1].mTime >= mListLag) {
    mLists.pop_front();
  }
  const ListVersion& list =
    mListFault == ServiceFault::Stale ? mStaleList : mLists.front();
  const std::string tag = '"' + std::to_string(list.mRevision) + "-" +
                          std::to_string(mViewChanges) + '"';
  const auto known = aRequest.mHeaders.find("If-None-Match");
  if (known != aRequest.mHeaders.end() && known->second == tag) {
    return Empty(kNotModified);
  }
  const auto host = aRequest.mHeaders.find("Host");
  const nlohmann::json addresses =
    host == aRequest.mHeaders.end() ? nlohmann::json() : mViews[host->second];
  nlohmann::json instances = nlohmann::json::array();
  for (const auto& [id, record] : list.mRecords) {
    instances.push_back(record);
    if (addresses.contains(id)) {
      instances.back()["address"] = addresses[id];
    }
  }
  HttpResponse response = JsonResponse(
    200, { { "revision", list.mRevision }, { "instances", instances } });
  response.mHeaders["ETag"] = tag;
  return response;
}

HttpResponse
Platform::WriteConfiguration(const std::string& aDocument)
{
  if (aDocument.size() > kLargestDocument) {
    return Empty(kTooLarge);
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mDocument = { mDocument.mRevision + 1, aDocument };
  mChanged.notify_all();
  return JsonResponse(200, { { "revision", mDocument.mRevision } });
}

void
Platform::AddListVersion(std::map<std::string, nlohmann::json> aRecords)
{
  const std::uint64_t revision = mLists.back().mRevision + 1;
  mLists.push_back({ Clock::now(), revision, std::move(aRecords) });
}

HttpResponse
Platform::WriteInstance(const std::string& aId, const nlohmann::json& aRecord)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  auto records = mLists.back().mRecords;
  nlohmann::json& record = records[aId];
  if (record.is_null()) {
    record = { { "role", "agent" }, { "state", "live" }, { "zone", "" },
               { "region", "" },    { "address", "" },   { "pool", "" } };
  }
  record.update(aRecord);
  record["id"] = aId;
  AddListVersion(std::move(records));
  return JsonResponse(200, { { "revision", mLists.back().mRevision } });
}

HttpResponse
Platform::RemoveInstance(const std::string& aId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  auto records = mLists.back().mRecords;
  records.erase(aId);
  AddListVersion(std::move(records));
  return JsonResponse(200, { { "revision", mLists.back().mRevision } });
}

HttpResponse
Platform::WriteView(const std::string& aHost, const nlohmann::json& aAddresses)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mViews[aHost].update(aAddresses);
  ++mViewChanges;
  return JsonResponse(200, nlohmann::json::object());
}

void
Platform::ApplyFault(const nlohmann::json& aFault)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aFault.contains("configuration")) {
    mConfigurationFault = ParseFault(aFault.value("configuration", ""));
    mStaleDocument = mDocument;
  }
  if (aFault.contains("list")) {
    mListFault = ParseFault(aFault.value("list", ""));
    mStaleList = mLists.front();
  }
  mChanged.notify_all();
}

nlohmann::json
Platform::Statistics() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return { { "reads", mReads },
           { "watches", mWatches },
           { "waitingWatches", mWaitingWatches },
           { "refused", mRefused },
           { "listReads", mListReads },
           { "revision", mDocument.mRevision },
           { "listRevision", mLists.back().mRevision } };
}

} // namespace medlarkeel
